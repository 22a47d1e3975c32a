package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import java.util.ArrayList;
import java.util.List;

/**
 * Carries out preemption: evicts the attempts that {@link Preemption} selected, and requests that work with checkpoints
 * saves and ends.
 *
 * <p>Invariant: an attempt that was never sent is removed and loses no work; an attempt that was sent is stopped, since
 * it may be running.
 */
final class PreemptionExecutor {
    /**
     * Added to the time that the work needs to save; until both have passed, the job requests no further checkpoints.
     */
    private static final long CHECKPOINT_MARGIN_MICROS = 5 * Micros.SECOND;

    private final PlacementActions scheduler;
    private final MachineSelection selection;
    private final Preemption preemption;
    private int evictionsForServices;
    private int evictionsForOtherJobs;
    /** Evictions of attempts that were never sent, which change the usage of their teams at once. */
    private int unsentEvictions;

    PreemptionExecutor(PlacementActions scheduler, MachineSelection selection, Preemption preemption) {
        this.scheduler = scheduler;
        this.selection = selection;
        this.preemption = preemption;
    }

    /** Returns the number of attempts evicted in this term, for the log: for services, and for gangs and arrays. */
    String evictionCounts() {
        return evictionsForServices + "/" + evictionsForOtherJobs;
    }

    /**
     * Frees capacity on the machine for up to as many tasks of the job as requested.
     *
     * @param scope which work may be preempted
     * @param tasks number of tasks; if fewer fit, capacity is freed for those
     * @return whether the machine has the capacity for at least one task now
     */
    boolean freeCapacity(Job job, Machine machine, Preemption.Scope scope, int tasks, long nowMicros) {
        List<Placement> victims = preemption.selectVictims(job, machine, scope, tasks);
        if (victims == null) {
            return false;
        }
        evict(job, victims, nowMicros);
        return true;
    }

    /** Frees capacity on a candidate by preempting work of lower and of the same priority. */
    void freeCapacity(JobCandidates candidates, int position, int tasks, long nowMicros) {
        int removedBefore = unsentEvictions;
        freeCapacity(candidates.job(), candidates.machine(position), Preemption.Scope.SAME_PRIORITY, tasks, nowMicros);
        if (unsentEvictions > removedBefore) {
            candidates.teamUsageChanged();
        }
    }

    private void evict(Job job, List<Placement> victims, long nowMicros) {
        if (job.spec.kind() == JobKind.SERVICE) {
            evictionsForServices += victims.size();
        } else {
            evictionsForOtherJobs += victims.size();
        }
        for (Placement victim : victims) {
            if (victim.isUnsent()) {
                unsentEvictions++;
                scheduler.remove(victim);
            } else {
                scheduler.stop(victim, 0, nowMicros);
            }
        }
    }

    /**
     * Requests that work with checkpoints on one machine saves and ends, so that one task of the job fits there later.
     * No further requests are made for the job until that capacity can have become free.
     *
     * @param zone the only zone in which the job can use the capacity, or null for any
     */
    void requestCheckpoints(Job job, String zone, long nowMicros) {
        if (job.capacityAwaitedUntilMicros > nowMicros) {
            return;
        }
        for (Machine machine : selection.candidates(job, CapacityRequest.Source.CHECKPOINTABLE, nowMicros)) {
            if (zone == null || zone.equals(machine.zone())) {
                List<Placement> victims = checkpointableVictims(job, machine);
                if (!victims.isEmpty()) {
                    checkpointAndStop(job, victims, nowMicros);
                    return;
                }
            }
        }
    }

    /**
     * Returns work of lower priorities that has to save and end so that a task fits; empty if that would not be enough.
     */
    private static List<Placement> checkpointableVictims(Job job, Machine machine) {
        Resources request = job.spec.taskResources();
        Resources available = machine.freeCapacity();
        List<Placement> victims = new ArrayList<>();
        for (Placement placement : machine.placements) {
            JobSpec running = placement.job.spec;
            if (!request.fitsIn(available)
                    && running.kind() != JobKind.SERVICE
                    && !placement.isStopping()
                    && job.priority().isAbove(placement.job.priority())) {
                victims.add(placement);
                available = available.plus(running.taskResources());
            }
        }
        return request.fitsIn(available) ? victims : List.of();
    }

    private void checkpointAndStop(Job job, List<Placement> victims, long nowMicros) {
        for (Placement victim : victims) {
            job.capacityAwaitedUntilMicros = Math.max(
                    job.capacityAwaitedUntilMicros,
                    nowMicros + victim.job.spec.saveMicros() + CHECKPOINT_MARGIN_MICROS);
            scheduler.stopWithCheckpoint(victim, nowMicros);
        }
    }
}
