package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;

/**
 * Finds the machine for one task of a gang or a service, and frees capacity there if the job may preempt.
 *
 * <p>Invariant: the machine at a returned position has capacity for the task immediately.
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
     * Returns the position of the best machine with free capacity, else of the machine on which preemption loses the least
     * work.
     *
     * @param missing number of tasks of the job that are still to be placed, this one included
     * @return -1 if there is none; work with checkpoints has then been requested to save and end
     */
    int findOrPreempt(JobCandidates candidates, int missing, long nowMicros) {
        Job job = candidates.job();
        int fitting = candidates.bestFitting();
        if (fitting >= 0 && !needsLongFetch(job, candidates.machine(fitting))) {
            return fitting;
        }
        int cheapest = candidates.leastLoss(fitting >= 0, machine -> lossMicros(job, machine, nowMicros));
        if (cheapest >= 0) {
            int tasks = Preemption.tasksPerEviction(missing, candidates.size());
            preemptionExecutor.freeCapacity(candidates, cheapest, tasks, nowMicros);
            return cheapest;
        }
        if (fitting < 0) {
            preemptionExecutor.requestCheckpoints(job, requiredZone(candidates), nowMicros);
        }
        return fitting;
    }

    private boolean needsLongFetch(Job job, Machine machine) {
        return !MachineSelection.hasImage(machine, job) && selection.fetchMicros(machine, job) > LONG_FETCH_MICROS;
    }

    /** Returns the work that preemption loses on the machine, plus the time to fetch the image. */
    private long lossMicros(Job job, Machine machine, long nowMicros) {
        long lossMicros = preemption.lostWork(job, machine, Preemption.Scope.SAME_PRIORITY, nowMicros);
        return lossMicros == Preemption.IMPOSSIBLE || MachineSelection.hasImage(machine, job)
                ? lossMicros
                : lossMicros + selection.fetchMicros(machine, job);
    }

    /** Returns the zone of the candidates if all tasks of the gang have to be in one zone, else null. */
    private static String requiredZone(JobCandidates candidates) {
        JobSpec spec = candidates.job().spec;
        return spec.kind() == JobKind.GANG && spec.singleZone()
                ? candidates.machine(0).zone()
                : null;
    }
}
