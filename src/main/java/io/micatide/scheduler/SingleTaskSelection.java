package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import java.util.List;

/**
 * Finds the machine for one task of a gang or a service, and frees capacity there if the job may preempt.
 *
 * <p>Invariant: a returned machine has capacity for the task immediately.
 */
final class SingleTaskSelection {
    /** If fetching the image takes longer than this, other work is preempted on a machine that has the image. */
    private static final long LONG_FETCH_MICROS = 1_500 * Micros.MILLISECOND;

    private final MachineSelection selection;
    private final Preemption preemption;
    private final PreemptionExecutor preemptionExecutor;

    SingleTaskSelection(PlanningContext context) {
        this.selection = context.selection();
        this.preemption = context.preemption();
        this.preemptionExecutor = context.preemptionExecutor();
    }

    /**
     * Returns the best machine with free capacity, else the machine on which preemption loses the least work.
     *
     * @return null if there is none; work with checkpoints has then been requested to save and end
     */
    Machine findOrPreempt(Job job, List<Machine> candidates, long nowMicros) {
        Machine fitting = MachineSelection.bestFitting(job, candidates);
        if (fitting != null && !needsLongFetch(job, fitting)) {
            return fitting;
        }
        Machine cheapest = cheapestToPreempt(job, candidates, fitting != null, nowMicros);
        if (cheapest != null) {
            preemptionExecutor.freeCapacity(job, cheapest, Preemption.Scope.SAME_PRIORITY, nowMicros);
            return cheapest;
        }
        if (fitting == null) {
            preemptionExecutor.requestCheckpoints(job, requiredZone(job, candidates), nowMicros);
        }
        return fitting;
    }

    private boolean needsLongFetch(Job job, Machine machine) {
        return !MachineSelection.hasImage(machine, job) && selection.fetchMicros(machine, job) > LONG_FETCH_MICROS;
    }

    /**
     * Returns the machine on which preemption loses the least, including the time to fetch the image; null if there is
     * none.
     *
     * @param needsImage whether only machines with the image are considered
     */
    private Machine cheapestToPreempt(Job job, List<Machine> candidates, boolean needsImage, long nowMicros) {
        Machine cheapest = null;
        long leastLossMicros = Preemption.IMPOSSIBLE;
        for (Machine machine : candidates) {
            boolean hasImage = MachineSelection.hasImage(machine, job);
            if ((hasImage || !needsImage) && MachineSelection.zoneAllows(job, machine)) {
                long lossMicros = preemption.lostWork(job, machine, Preemption.Scope.SAME_PRIORITY, nowMicros);
                if (lossMicros != Preemption.IMPOSSIBLE && !hasImage) {
                    lossMicros += selection.fetchMicros(machine, job);
                }
                if (lossMicros < leastLossMicros) {
                    leastLossMicros = lossMicros;
                    cheapest = machine;
                }
            }
        }
        return cheapest;
    }

    /** Returns the zone of the candidates if all tasks of the gang have to be in one zone, else null. */
    private static String requiredZone(Job job, List<Machine> candidates) {
        return job.spec.kind() == JobKind.GANG && job.spec.singleZone() ? candidates.get(0).zone : null;
    }
}
