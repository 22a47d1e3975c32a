package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Feasibility and ranking of machines for a job. Places nothing and evicts nothing. Invariant: lists of machines are in
 * the order in which the machines became known, so that the same state gives the same decisions, and every machine
 * that is tested for a job is counted.
 */
final class MachineSelection {
    /** Fills up spot machines first, and of those the fullest: whole machines stay free for large tasks. */
    static final Comparator<Machine> LEAST_FREE_CAPACITY_FIRST = Comparator.comparing(
                    (Machine machine) -> !machine.isSpot)
            .thenComparing(machine -> machine.freeCapacity().cpus());

    /** A machine that has to fetch the image first should take many of the tasks that need it. */
    static final Comparator<Machine> MOST_FREE_CAPACITY_FIRST =
            Comparator.comparing((Machine machine) -> -machine.freeCapacity().cpus());

    private final PlacementActions scheduler;
    private final Settings settings;
    private final Fleet fleet;
    private long machinesExamined;

    MachineSelection(PlacementActions scheduler, Settings settings, Fleet fleet) {
        this.scheduler = scheduler;
        this.settings = settings;
        this.fleet = fleet;
    }

    /** Machines examined in this term, here and in the index of free capacity. */
    long machinesExamined() {
        return machinesExamined + fleet.freeCapacityIndex().machinesExamined();
    }

    /** Machines that may be used now and have the requested capacity, whatever job it is for. */
    List<Machine> schedulableMachines(CapacityRequest request, long nowMicros) {
        List<Machine> machines = fleet.freeCapacityIndex().machinesWithCapacity(request, nowMicros);
        machinesExamined += machines.size();
        machines.removeIf(machine -> !machine.isSchedulable(nowMicros, settings));
        return machines;
    }

    /**
     * Machines that the job may use now and that have capacity for one of its tasks.
     *
     * @param source what counts as capacity
     */
    List<Machine> feasibleMachines(Job job, CapacityRequest.Source source, long nowMicros) {
        CapacityRequest request = source == CapacityRequest.Source.FREE
                ? CapacityRequest.free(job.spec.taskResources())
                : new CapacityRequest(job.spec.taskResources(), source, job.priority());
        List<Machine> machines = schedulableMachines(request, nowMicros);
        machines.removeIf(machine -> !isFeasible(job, machine, nowMicros));
        return machines;
    }

    /** Those of the machines that the job's ledger names or still can name. */
    List<Machine> recordableMachines(Job job, List<Machine> machines, long nowMicros) {
        List<Machine> recordable = new ArrayList<>();
        for (Machine machine : machines) {
            if (scheduler.mayRecordMachine(job, machine, nowMicros)) {
                recordable.add(machine);
            }
        }
        return recordable;
    }

    /** Feasible machines that the job's ledger names or still can name. */
    List<Machine> candidates(Job job, CapacityRequest.Source source, long nowMicros) {
        return recordableMachines(job, feasibleMachines(job, source, nowMicros), nowMicros);
    }

    /** Whether the job may use a machine of this kind and with this history, full as it may be now. */
    static boolean isFeasible(Job job, Machine machine, long nowMicros) {
        JobSpec spec = job.spec;
        return spec.allowsMachine(machine.type, machine.zone, machine.isSpot)
                && !job.failedMachines.contains(machine.name)
                && (spec.kind() == JobKind.SERVICE || machine.slowUntilMicros < nowMicros);
    }

    /** Whether the job's image is on the machine, or is being fetched for another task of the job. */
    static boolean hasOrFetchesImage(Machine machine, Job job) {
        return hasImage(machine, job) || job.liveMachines.contains(machine.name);
    }

    /** Whether the job's image is on the machine. */
    static boolean hasImage(Machine machine, Job job) {
        return machine.images.containsKey(job.spec.image());
    }

    /** How long the machine needs to fetch the job's image; 0 if its type tells no rate. */
    long fetchMicros(Machine machine, Job job) {
        MachineType type = fleet.machineTypes().get(machine.type);
        return type == null || type.fetchGbPerSecond() <= 0
                ? 0
                : Micros.ofSeconds(job.spec.imageGb() / type.fetchGbPerSecond());
    }

    /** Whether the job's rules on zones allow one more of its tasks on the machine. */
    static boolean zoneAllows(Job job, Machine machine) {
        if (!job.spec.singleZone() && !job.spec.spreadOverZones()) {
            return true;
        }
        int tasksInZone = 0;
        for (List<Placement> attempts : job.liveAttempts.values()) {
            for (Placement placement : attempts) {
                if (isInZone(placement.machine, machine.zone)) {
                    tasksInZone++;
                } else if (job.spec.singleZone()) {
                    return false;
                }
            }
        }
        return tasksInZone < job.spec.maxTasksPerZone();
    }

    private static boolean isInZone(Machine machine, String zone) {
        return machine.zone != null && machine.zone.equals(zone);
    }

    /**
     * The design's rule: a machine with free capacity that has the image, else the one with the most free capacity.
     *
     * @return null if none of the candidates has free capacity for one of the job's tasks
     */
    static Machine bestFitting(Job job, List<Machine> candidates) {
        Resources request = job.spec.taskResources();
        Machine best = null;
        boolean bestHasImage = false;
        for (Machine machine : candidates) {
            if (request.fitsIn(machine.freeCapacity()) && zoneAllows(job, machine)) {
                boolean hasImage = hasImage(machine, job);
                if (best == null || ranksBefore(machine, hasImage, best, bestHasImage)) {
                    best = machine;
                    bestHasImage = hasImage;
                }
            }
        }
        return best;
    }

    private static boolean ranksBefore(Machine machine, boolean hasImage, Machine best, boolean bestHasImage) {
        if (hasImage != bestHasImage) {
            return hasImage;
        }
        Comparator<Machine> order = hasImage ? LEAST_FREE_CAPACITY_FIRST : MOST_FREE_CAPACITY_FIRST;
        return order.compare(machine, best) < 0;
    }
}
