package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.List;

/**
 * Gives newly freed capacity of one machine to the next jobs in the queue, so that their tasks are sent in the response
 * to the heartbeat that reported the capacity. Planning for all machines at every heartbeat took more than the leader's
 * whole share of a core at 373 machines, and the leader lost its lease.
 *
 * <p>Invariant: it preempts nothing, places no gangs, and uses the order of the last plan only while that plan is at
 * most {@link #MAX_QUEUE_AGE_MICROS} old.
 */
final class MachineRefill {
    private static final long MAX_QUEUE_AGE_MICROS = Micros.SECOND;
    /** A job whose image is on the machine precedes jobs of the same rank that are due earlier by less than this. */
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
        // A job that may not be placed on the machine may not be placed there later in this call either.
        int first = firstPlaceable(queue.jobs(), 0, machine, nowMicros);
        while (first < queue.jobs().size()) {
            Job job = firstWithImage(queue.jobs(), first, machine, nowMicros);
            scheduler.placeTask(job, job.nextPendingTask(), machine, nowMicros);
            first = firstPlaceable(queue.jobs(), first, machine, nowMicros);
        }
    }

    /** Returns the position of the first job from the given one on that may be placed on the machine, or the size of the queue. */
    private int firstPlaceable(List<JobQueue.QueuedJob> jobs, int from, Machine machine, long nowMicros) {
        int position = from;
        while (position < jobs.size() && !mayPlace(jobs.get(position).job(), machine, nowMicros)) {
            position++;
        }
        return position;
    }

    /** Returns the first job, or a later one that may precede it since its image is on the machine. */
    private Job firstWithImage(List<JobQueue.QueuedJob> jobs, int first, Machine machine, long nowMicros) {
        for (int position = first; position < jobs.size(); position++) {
            JobQueue.QueuedJob queued = jobs.get(position);
            if (position > first && !mayPrecede(queued, jobs.get(first))) {
                break;
            }
            if (MachineSelection.hasOrFetchesImage(machine, queued.job())
                    && mayPlace(queued.job(), machine, nowMicros)) {
                return queued.job();
            }
        }
        return jobs.get(first).job();
    }

    /** Returns whether a later job may precede the first one if its image is on the machine. */
    private static boolean mayPrecede(JobQueue.QueuedJob later, JobQueue.QueuedJob first) {
        return first.hasSameRank(later) && later.dueMicros() - first.dueMicros() < IMAGE_PRECEDENCE_MICROS;
    }

    /** Called for every job in the queue at every heartbeat, so cheap checks that rule out many jobs come first. */
    private boolean mayPlace(Job job, Machine machine, long nowMicros) {
        return mayUseFreeCapacity(job, machine)
                && JobQueue.isStartable(job, nowMicros)
                && MachineSelection.isFeasible(job, machine, nowMicros)
                && quota.allowsTask(job)
                && mayRecord(job, machine, nowMicros)
                && MachineSelection.allowsTask(job, machine);
    }

    private static boolean mayUseFreeCapacity(Job job, Machine machine) {
        return job.spec.kind() != JobKind.GANG
                && job.spec.taskResources().fitsIn(machine.freeCapacity())
                && job.placeableCount() > 0;
    }

    /**
     * Returns whether the job is still open, since it may have finished after the plan, and its ledger can name the
     * machine.
     */
    private boolean mayRecord(Job job, Machine machine, long nowMicros) {
        return ledgers.get(job.id()) == job && scheduler.mayRecordMachine(job, machine, nowMicros);
    }
}
