package io.micatide.scheduler;

import io.micatide.model.Resources;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Places the tasks of arrays. Fills one machine before it uses the next, since each additional machine has to fetch the
 * image and to be recorded in the ledger.
 *
 * <p>Invariant: within a plan, arrays are placed only on machines that had free capacity for some pending task when the
 * plan began. A machine that is full after the turn of an array gets no further array tasks by this class in the plan,
 * even if work is preempted there.
 */
final class ArrayPlacement {
    private final PlacementActions scheduler;
    private final TeamQuota quota;
    private final MachineSelection selection;
    private final UnschedulableClasses unschedulable;
    private final PlanningPass pass;
    private final Set<Machine> machinesWithCapacity = new HashSet<>();
    /** Machines on which a task was placed since the last turn of an array and that were full afterwards. */
    private final Set<Machine> filledMachines = new HashSet<>();

    ArrayPlacement(PlanningContext context) {
        this.scheduler = context.scheduler();
        this.quota = context.quota();
        this.selection = context.selection();
        this.unschedulable = context.unschedulable();
        this.pass = context.pass();
    }

    /** Begins a plan. */
    void beginPlan(QueueSnapshot queue, long nowMicros) {
        machinesWithCapacity.clear();
        filledMachines.clear();
        machinesWithCapacity.addAll(
                selection.schedulableMachines(CapacityRequest.free(queue.smallestRequest()), nowMicros));
    }

    /** Records that a task of any job was placed on the machine. */
    void taskPlaced(QueueSnapshot queue, Machine machine) {
        if (!queue.mayFitIn(machine)) {
            filledMachines.add(machine);
        }
    }

    /**
     * Ends the turn of an array: excludes the machines that are full now from array placement for the rest of the plan.
     */
    void excludeFilledMachines(QueueSnapshot queue) {
        for (Machine machine : filledMachines) {
            if (!queue.mayFitIn(machine)) {
                machinesWithCapacity.remove(machine);
            }
        }
        filledMachines.clear();
    }

    /** Places as many pending tasks of the array as fit into free capacity. */
    void place(Job job, long nowMicros) {
        EquivalenceClass equivalenceClass = EquivalenceClass.of(job.spec);
        if (job.placeableCount() == 0 || !quota.allowsTask(job) || unschedulable.isFull(equivalenceClass)) {
            return;
        }
        List<Machine> machines = rankedMachines(job, nowMicros);
        for (Machine machine : machines) {
            if (!fill(job, machine, nowMicros)) {
                return;
            }
        }
        if (job.failedMachines.isEmpty() && !fitsAny(job, machines)) {
            unschedulable.markFull(equivalenceClass);
        }
    }

    /**
     * Returns machines with the image, those with the least free capacity first, then the others, those with the most
     * first.
     */
    private List<Machine> rankedMachines(Job job, long nowMicros) {
        List<Machine> withImage = new ArrayList<>();
        List<Machine> withoutImage = new ArrayList<>();
        for (Machine machine : selection.feasibleMachines(job, CapacityRequest.Source.FREE, nowMicros)) {
            if (machinesWithCapacity.contains(machine)) {
                (MachineSelection.hasOrFetchesImage(machine, job) ? withImage : withoutImage).add(machine);
            }
        }
        withImage.sort(MachineSelection.LEAST_FREE_CAPACITY_FIRST);
        withoutImage.sort(MachineSelection.MOST_FREE_CAPACITY_FIRST);
        withImage.addAll(withoutImage);
        return withImage;
    }

    /**
     * Places tasks on the machine while they fit; returns false once the job may place no more tasks on any machine in this plan.
     */
    private boolean fill(Job job, Machine machine, long nowMicros) {
        Resources request = job.spec.taskResources();
        while (request.fitsIn(machine.freeCapacity())
                && MachineSelection.allowsTask(job, machine)
                && scheduler.mayRecordMachine(job, machine, nowMicros)) {
            if (job.placeableCount() == 0 || !quota.allowsTask(job) || pass.hasPlacedMaxTasks()) {
                return false;
            }
            scheduler.placeTask(job, job.nextPendingTask(), machine, nowMicros);
        }
        return true;
    }

    private static boolean fitsAny(Job job, List<Machine> machines) {
        for (Machine machine : machines) {
            if (job.spec.taskResources().fitsIn(machine.freeCapacity())) {
                return true;
            }
        }
        return false;
    }
}
