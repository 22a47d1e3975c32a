package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Determines which machines are feasible for a job and ranks them. Places and evicts nothing.
 *
 * <p>Invariant: lists of machines are in the order in which the machines were added, so that the same state gives the
 * same decisions, and every machine that is checked for a job is counted.
 */
final class MachineSelection {
    /**
     * Orders spot machines first, then by least free capacity: filling machines up keeps whole machines free for large
     * tasks.
     */
    static final Comparator<Machine> LEAST_FREE_CAPACITY_FIRST = Comparator.comparing(
                    (Machine machine) -> !machine.isSpot)
            .thenComparing(machine -> machine.freeCapacity().cpus());

    /**
     * Orders by most free capacity: a machine that has to fetch the image first should take many of the tasks that need
     * it.
     */
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

    /** Returns the number of machines examined in this term, by this class and by the free capacity index. */
    long machinesExamined() {
        return machinesExamined + fleet.freeCapacityIndex().machinesExamined();
    }

    /** Returns the machines that may be used now and have the requested capacity, for any job. */
    List<Machine> schedulableMachines(CapacityRequest request, long nowMicros) {
        List<Machine> machines = fleet.freeCapacityIndex().machinesWithCapacity(request, nowMicros);
        machinesExamined += machines.size();
        machines.removeIf(machine -> !machine.isSchedulable(nowMicros, settings));
        return machines;
    }

    /**
     * Returns the machines that the job may use now and that have capacity for one of its tasks.
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

    /** Returns those of the given machines that the job's ledger already names or has space to name. */
    List<Machine> recordableMachines(Job job, List<Machine> machines, long nowMicros) {
        List<Machine> recordable = new ArrayList<>();
        for (Machine machine : machines) {
            if (scheduler.mayRecordMachine(job, machine, nowMicros)) {
                recordable.add(machine);
            }
        }
        return recordable;
    }

    /** Returns the feasible machines that the job's ledger already names or has space to name. */
    List<Machine> candidates(Job job, CapacityRequest.Source source, long nowMicros) {
        return recordableMachines(job, feasibleMachines(job, source, nowMicros), nowMicros);
    }

    /**
     * Returns whether the job may use the machine, considering its type, zone, speed and earlier failures of the job
     * there, but not its free capacity.
     */
    static boolean isFeasible(Job job, Machine machine, long nowMicros) {
        JobSpec spec = job.spec;
        return spec.allowsMachine(machine.type, machine.zone(), machine.isSpot)
                && !job.failedMachines.isExcluded(machine.name, nowMicros)
                && (spec.kind() == JobKind.SERVICE || machine.slowUntilMicros < nowMicros);
    }

    /** Returns whether the machine has the job's image, or is fetching it for another task of the job. */
    static boolean hasOrFetchesImage(Machine machine, Job job) {
        return hasImage(machine, job) || job.liveMachines.contains(machine.name);
    }

    /** Returns whether the machine has the job's image. */
    static boolean hasImage(Machine machine, Job job) {
        return machine.images.containsKey(job.spec.image());
    }

    /** Returns how long the machine needs to fetch the job's image; 0 if the fetch rate of its type is not known. */
    long fetchMicros(Machine machine, Job job) {
        MachineType type = fleet.machineTypes().get(machine.type);
        return type == null || type.fetchGbPerSecond() <= 0
                ? 0
                : Micros.ofSeconds(job.spec.imageGb() / type.fetchGbPerSecond());
    }

    /** Returns whether zone rules and the size of heartbeats allow one more of the job's tasks on the machine. */
    static boolean allowsTask(Job job, Machine machine) {
        return zoneAllows(job, machine) && HeartbeatSpace.allowsTask(job, machine);
    }

    private static boolean zoneAllows(Job job, Machine machine) {
        int tasksInZone = job.liveAttemptsInZone(machine.zone());
        if (job.spec.singleZone() && tasksInZone < job.liveAttemptCount()) {
            return false;
        }
        return tasksInZone < job.spec.maxTasksPerZone();
    }
}
