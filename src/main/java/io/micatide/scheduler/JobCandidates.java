package io.micatide.scheduler;

import java.util.List;
import java.util.function.ToLongFunction;

/**
 * The machines on which tasks of one job may be placed within one plan, ranked for the choices that are made for each task.
 * Machines are referred to by their position in the list of candidates; -1 stands for none.
 *
 * <p>Invariant: each answer is the one that a scan over all candidates would give, as long as {@link #machineChanged} is
 * called for each machine on which a task was placed or work was preempted, and {@link #teamUsageChanged} after a placement
 * of another job was removed.
 */
final class JobCandidates {
    /** Exceeds the free CPUs of any machine, in thousandths, and is small enough to be multiplied. */
    private static final long RANK_STEP = 1L << 48;

    private final Job job;
    private final List<Machine> machines;
    private final RankedMachines byFit;
    private RankedMachines byLoss;
    private RankedMachines byLossWithImage;
    private RankedMachines byColocation;

    /**
     * Creates the candidates of a job.
     *
     * @param machines feasible machines in the order in which they were added; must not change
     */
    JobCandidates(Job job, List<Machine> machines) {
        this.job = job;
        this.machines = machines;
        this.byFit = new RankedMachines(machines, this::fitRank);
    }

    int size() {
        return machines.size();
    }

    Machine machine(int position) {
        return machines.get(position);
    }

    List<Machine> machines() {
        return machines;
    }

    Job job() {
        return job;
    }

    /**
     * Returns the best machine by the rule of the design: a machine with free capacity that has the image, else the
     * machine with the most free capacity.
     *
     * @return -1 if none of the candidates has free capacity for one of the job's tasks
     */
    int bestFitting() {
        return byFit.first(this::allowsTask);
    }

    /**
     * Ranks as {@link MachineSelection#LEAST_FREE_CAPACITY_FIRST} the machines with the image, and then as {@link
     * MachineSelection#MOST_FREE_CAPACITY_FIRST} those without.
     */
    private long fitRank(Machine machine) {
        if (!job.spec.taskResources().fitsIn(machine.freeCapacity())) {
            return RankedMachines.EXCLUDED;
        }
        long freeCpus = machine.freeCapacity().cpus();
        if (!MachineSelection.hasImage(machine, job)) {
            return 3 * RANK_STEP - freeCpus;
        }
        return machine.isSpot ? freeCpus : RANK_STEP + freeCpus;
    }

    /**
     * Returns the machine with the least loss.
     *
     * @param needsImage whether only machines with the image are considered
     * @param loss returns the loss of one task on a machine, or {@link RankedMachines#EXCLUDED}; the same function in
     *     each call for this object
     */
    int leastLoss(boolean needsImage, ToLongFunction<Machine> loss) {
        if (needsImage) {
            if (byLossWithImage == null) {
                byLossWithImage = new RankedMachines(
                        machines,
                        machine -> MachineSelection.hasImage(machine, job)
                                ? loss.applyAsLong(machine)
                                : RankedMachines.EXCLUDED);
            }
            return byLossWithImage.first(this::allowsTask);
        }
        if (byLoss == null) {
            byLoss = new RankedMachines(machines, loss);
        }
        return byLoss.first(this::allowsTask);
    }

    /**
     * Returns the machine with the lowest rank for colocation.
     *
     * @param rank returns the rank of a machine, or {@link RankedMachines#EXCLUDED}; the same function in each call for
     *     this object
     */
    int bestColocation(ToLongFunction<Machine> rank) {
        if (byColocation == null) {
            byColocation = new RankedMachines(machines, rank);
        }
        return byColocation.first(this::allowsTask);
    }

    private boolean allowsTask(Machine machine) {
        return MachineSelection.allowsTask(job, machine);
    }

    /** Ranks a machine again, on which a task was placed or work was preempted. */
    void machineChanged(int position) {
        byFit.update(position);
        if (byLoss != null) {
            byLoss.update(position);
        }
        if (byLossWithImage != null) {
            byLossWithImage.update(position);
        }
        if (byColocation != null) {
            byColocation.update(position);
        }
    }

    /** Discards the ranks that depend on what other teams use, since that decides which of their work may be preempted. */
    void teamUsageChanged() {
        byLoss = null;
        byLossWithImage = null;
        byColocation = null;
    }
}
