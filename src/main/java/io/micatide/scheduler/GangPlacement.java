package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Places the tasks of gangs, which start together.
 *
 * <p>Invariant: either all missing tasks of a gang are placed at once or none, since a partially placed gang would
 * occupy its machines without making progress.
 */
final class GangPlacement {
    /** A gang with more missing tasks than this is not tried again at once after it was found not to fit after all. */
    private static final int LARGE_GANG_TASKS = 1_000;

    private static final long LARGE_GANG_BACKOFF_MICROS = Micros.SECOND;

    private final PlacementActions scheduler;
    private final TeamQuota quota;
    private final MachineSelection selection;
    private final Preemption preemption;
    private final UnschedulableClasses unschedulable;
    private final SingleTaskSelection singleTasks;

    GangPlacement(PlanningContext context, SingleTaskSelection singleTasks) {
        this.scheduler = context.scheduler();
        this.quota = context.quota();
        this.selection = context.selection();
        this.preemption = context.preemption();
        this.unschedulable = context.unschedulable();
        this.singleTasks = singleTasks;
    }

    /**
     * Places the missing tasks of a gang if all of them fit.
     *
     * @param source {@link CapacityRequest.Source#FREE}, or {@link CapacityRequest.Source#SAME_PRIORITY} if other work
     *     may be preempted
     */
    void place(JobQueue.QueuedJob queued, CapacityRequest.Source source, long nowMicros) {
        Job job = queued.job();
        int missing = queued.pendingTasks();
        if (isEnding(job) || !quota.allowsTasks(job, missing) || isKnownNotToFit(job, missing, source)) {
            return;
        }
        List<Machine> feasible = selection.feasibleMachines(job, source, nowMicros);
        List<Machine> candidates = selection.recordableMachines(job, feasible, nowMicros);
        ZoneCapacity capacity = zoneCapacity(job, candidates, source);
        Map<String, Long> tasksPerZone = capacity.tasksPerZone();
        // The result applies to other jobs of the class only if it does not depend on this job's ledger and failures.
        if (candidates.size() == feasible.size() && job.failedMachines.isEmpty() && !capacity.isLimitedByHeartbeats()) {
            unschedulable.recordTasksFittingPerZone(job, source, tasksPerZone);
        }
        String zone = job.liveAttempts.isEmpty() ? zoneThatFits(missing, tasksPerZone) : zoneOfLiveAttempts(job);
        if (!fits(job.spec, missing, zone, tasksPerZone)) {
            return;
        }
        if (job.spec.singleZone()) {
            candidates.removeIf(machine -> !machine.zone().equals(zone));
        }
        placeAllOrNone(new JobCandidates(job, candidates), missing, source, nowMicros);
    }

    /** Returns whether the gang lost a task, or has started and still has live attempts that must end first. */
    private static boolean isEnding(Job job) {
        return job.gangAttemptEnded || (job.gangStarted && !job.liveAttempts.isEmpty());
    }

    /** Returns whether this plan has already recorded that a gang of this class has too little capacity. */
    private boolean isKnownNotToFit(Job job, int missing, CapacityRequest.Source source) {
        if (!job.liveAttempts.isEmpty()) {
            return false;
        }
        Map<String, Long> maxTasksPerZone = unschedulable.tasksFittingPerZone(job, source);
        return maxTasksPerZone != null
                && !fits(job.spec, missing, zoneThatFits(missing, maxTasksPerZone), maxTasksPerZone);
    }

    private void placeAllOrNone(JobCandidates candidates, int missing, CapacityRequest.Source source, long nowMicros) {
        Job job = candidates.job();
        for (int remaining = missing; remaining > 0; remaining--) {
            int index = job.nextPendingTask();
            int position = index < 0 ? -1 : findMachine(candidates, remaining, source, nowMicros);
            if (position < 0) {
                removeUnsentPlacements(job);
                if (missing > LARGE_GANG_TASKS) {
                    job.backoffUntilMicros = nowMicros + LARGE_GANG_BACKOFF_MICROS;
                }
                return;
            }
            scheduler.placeTask(job, index, candidates.machine(position), nowMicros);
            candidates.machineChanged(position);
        }
    }

    private int findMachine(JobCandidates candidates, int remaining, CapacityRequest.Source source, long nowMicros) {
        return source == CapacityRequest.Source.FREE
                ? candidates.bestFitting()
                : singleTasks.findOrPreempt(candidates, remaining, nowMicros);
    }

    private void removeUnsentPlacements(Job job) {
        for (List<Placement> attempts : List.copyOf(job.liveAttempts.values())) {
            for (Placement placement : List.copyOf(attempts)) {
                if (placement.isUnsent()) {
                    scheduler.remove(placement);
                }
            }
        }
    }

    /**
     * How many tasks of a gang fit.
     *
     * @param tasksPerZone number of tasks by zone
     * @param isLimitedByHeartbeats whether a machine has capacity for more tasks than its heartbeat has space for, which
     *     depends on the job
     */
    private record ZoneCapacity(Map<String, Long> tasksPerZone, boolean isLimitedByHeartbeats) {}

    private ZoneCapacity zoneCapacity(Job job, List<Machine> machines, CapacityRequest.Source source) {
        Map<String, Long> tasksPerZone = new HashMap<>();
        boolean isLimitedByHeartbeats = false;
        for (Machine machine : machines) {
            long fitting = tasksFitting(job, machine, source);
            long listable = HeartbeatSpace.maxTasks(job, machine);
            isLimitedByHeartbeats |= listable < fitting;
            tasksPerZone.merge(machine.zone(), Math.min(fitting, listable), Long::sum);
        }
        return new ZoneCapacity(tasksPerZone, isLimitedByHeartbeats);
    }

    private long tasksFitting(Job job, Machine machine, CapacityRequest.Source source) {
        return source == CapacityRequest.Source.FREE
                ? job.spec.taskResources().timesFittingIn(machine.freeCapacity())
                : preemption.tasksFittingAfterPreemption(job, machine);
    }

    /** Returns a zone with capacity for the given number of tasks, or null. */
    private static String zoneThatFits(int tasks, Map<String, Long> tasksPerZone) {
        for (Map.Entry<String, Long> entry : tasksPerZone.entrySet()) {
            if (entry.getValue() >= tasks) {
                return entry.getKey();
            }
        }
        return null;
    }

    private static String zoneOfLiveAttempts(Job job) {
        return job.liveAttempts.values().iterator().next().get(0).machine.zone();
    }

    /**
     * Returns whether the missing tasks fit under the zone rules of the gang.
     *
     * @param zone the zone of all tasks if the gang requires a single zone; null if no zone has the capacity
     */
    private static boolean fits(JobSpec spec, int missing, String zone, Map<String, Long> tasksPerZone) {
        if (spec.singleZone()) {
            return zone != null && tasksPerZone.getOrDefault(zone, 0L) >= missing;
        }
        long tasks = 0;
        for (long tasksInZone : tasksPerZone.values()) {
            tasks += Math.min(tasksInZone, spec.maxTasksPerZone());
        }
        return tasks >= missing;
    }
}
