package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Settings;

/**
 * Gives capacity that came free on one machine to the next jobs of the queue, so that their tasks go out with the response
 * to the heartbeat that told of it. Planning for all machines at every heartbeat once took more than the whole share of a
 * core with 373 of them, and the leader lost its lease.
 *
 * <p>Invariant: it preempts nothing, places no gang, and goes by the order of the last plan only while that is recent.
 */
final class MachineRefill {
    private static final long MAX_QUEUE_AGE_MICROS = Micros.SECOND;
    /** A job whose image is on the machine goes before one of its rank that is due less than this before it. */
    private static final long IMAGE_PRECEDENCE_MICROS = 5 * Micros.SECOND;

    private final PlacementActions scheduler;
    private final Settings settings;
    private final JobLedgers ledgers;
    private final TeamQuota quota;

    MachineRefill(PlacementActions scheduler, Settings settings, JobLedgers ledgers, TeamQuota quota) {
        this.scheduler = scheduler;
        this.settings = settings;
        this.ledgers = ledgers;
        this.quota = quota;
    }

    /** Places pending tasks on the machine while they fit. */
    void refill(QueueSnapshot queue, Machine machine, long nowMicros) {
        if (nowMicros - queue.createdMicros() > MAX_QUEUE_AGE_MICROS || !machine.isSchedulable(nowMicros, settings)) {
            return;
        }
        if (queue.isEmpty() || !queue.mayFitIn(machine)) {
            return;
        }
        Job job = nextJob(queue, machine, nowMicros);
        while (job != null) {
            scheduler.placeTask(job, job.nextPendingTask(), machine, nowMicros);
            job = nextJob(queue, machine, nowMicros);
        }
    }

    /** The job that gets capacity on this machine next, or null. */
    private Job nextJob(QueueSnapshot queue, Machine machine, long nowMicros) {
        JobQueue.QueuedJob first = null;
        for (JobQueue.QueuedJob queued : queue.jobs()) {
            if (first != null && !mayPrecede(queued, first)) {
                break;
            }
            if (mayPlace(queued.job(), machine, nowMicros)) {
                first = first == null ? queued : first;
                if (MachineSelection.hasOrFetchesImage(machine, queued.job())) {
                    return queued.job();
                }
            }
        }
        return first == null ? null : first.job();
    }

    /** Whether a later job may go before the first if its image is on the machine. */
    private static boolean mayPrecede(JobQueue.QueuedJob later, JobQueue.QueuedJob first) {
        return first.hasSameRank(later) && later.dueMicros() - first.dueMicros() < IMAGE_PRECEDENCE_MICROS;
    }

    /** Asked of every waiting job at every heartbeat, so what rules out most for the least comes first. */
    private boolean mayPlace(Job job, Machine machine, long nowMicros) {
        return mayUseFreeCapacity(job, machine)
                && JobQueue.isStartable(job, nowMicros)
                && MachineSelection.isFeasible(job, machine, nowMicros)
                && quota.allowsTask(job)
                && mayRecord(job, machine, nowMicros)
                && MachineSelection.zoneAllows(job, machine);
    }

    private static boolean mayUseFreeCapacity(Job job, Machine machine) {
        return job.spec.kind() != JobKind.GANG
                && job.spec.taskResources().fitsIn(machine.freeCapacity())
                && job.placeableCount() > 0;
    }

    /** The job may have ended since the plan. */
    private boolean mayRecord(Job job, Machine machine, long nowMicros) {
        return ledgers.get(job.id()) == job && scheduler.mayRecordMachine(job, machine, nowMicros);
    }
}
