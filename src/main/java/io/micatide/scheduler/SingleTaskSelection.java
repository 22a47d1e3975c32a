package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import java.util.List;

/**
 * Finds the machine for one task of a gang or a service, and frees capacity there if the job may preempt. Invariant: a
 * machine that is returned has capacity for the task at once.
 */
final class SingleTaskSelection {
    /** Other work is preempted on a machine with the image rather than to fetch an image for longer than this. */
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
     * The best machine with free capacity, else one on which the least is lost by preemption.
     *
     * @return null if there is none; work with checkpoints has then been asked to save and end
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
     * The machine on which the least is lost, counting the time to fetch the image; null if nothing helps on any.
     *
     * @param needsImage whether only machines with the image count
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

    /** The zone that all candidates are in since the job has to be in one, or null. */
    private static String requiredZone(Job job, List<Machine> candidates) {
        return job.spec.kind() == JobKind.GANG && job.spec.singleZone() ? candidates.get(0).zone : null;
    }
}
