package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Settings;
import io.micatide.model.Team;

/**
 * Decides which jobs in the queue may have other work preempted. Capacity becomes free continuously and goes to the
 * first job in the queue, so preemption is limited to services, jobs of a priority other than normal, teams that have
 * waited for their guarantee, and jobs that would otherwise be late. {@link Preemption} selects the work to preempt.
 */
final class PreemptionPolicy {
    private static final long DEFAULT_GUARANTEE_WAIT_MICROS = 2_500 * Micros.MILLISECOND;
    /** Share of the time of the objective for guarantees for which a team waits before work of others is preempted. */
    private static final double GUARANTEE_WAIT_SHARE = 0.5;

    /** A job that can meet its deadline is urgent if its latest start is less than this away. */
    static final long URGENT_WITHIN_MICROS = 5 * Micros.SECOND;

    private final PlacementActions scheduler;
    private final Settings settings;
    private final JobLedgers ledgers;
    private final long guaranteeWaitMicros;
    private boolean isLowPriorityRunning;

    PreemptionPolicy(PlacementActions scheduler, Settings settings, JobLedgers ledgers) {
        this.scheduler = scheduler;
        this.settings = settings;
        this.ledgers = ledgers;
        this.guaranteeWaitMicros = guaranteeWaitMicros(settings);
    }

    private static long guaranteeWaitMicros(Settings settings) {
        long waitMicros = DEFAULT_GUARANTEE_WAIT_MICROS;
        for (Settings.Objective objective : settings.objectives()) {
            if (objective.kind().equals("guarantee") && objective.withinMicros() > 0) {
                waitMicros = Math.round(objective.withinMicros() * GUARANTEE_WAIT_SHARE);
            }
        }
        return waitMicros;
    }

    /** Returns how long a team waits for its guarantee before work of others is preempted, in microseconds. */
    long guaranteeWaitMicros() {
        return guaranteeWaitMicros;
    }

    /** Determines whether work of the lowest priority is running. Called once per plan. */
    void refresh() {
        isLowPriorityRunning = false;
        for (Job job : ledgers.jobs()) {
            if (job.priority() == Priority.LOW && !job.liveAttempts.isEmpty()) {
                isLowPriorityRunning = true;
                return;
            }
        }
    }

    /** Returns whether other work may be preempted for the job. */
    boolean mayPreempt(JobQueue.QueuedJob queued, long nowMicros) {
        Job job = queued.job();
        if (job.quarantined) {
            return false;
        }
        return job.spec.kind() == JobKind.SERVICE
                || mayPreemptAfterWait(queued, nowMicros)
                || mayPreemptByPriority(queued, nowMicros);
    }

    private boolean mayPreemptAfterWait(JobQueue.QueuedJob queued, long nowMicros) {
        return nowMicros - queued.job().readyMicros > guaranteeWaitMicros
                && (queued.isGuaranteed() || mayPreemptLowPriority(queued, nowMicros));
    }

    /**
     * Returns whether work of the lowest priority may be preempted for the job: only for jobs that would otherwise be
     * late. When it was preempted for any queued job, hundreds of tasks of 150 s were restarted for jobs that had time
     * left.
     */
    private boolean mayPreemptLowPriority(JobQueue.QueuedJob queued, long nowMicros) {
        return isLowPriorityRunning && isUrgent(queued, nowMicros);
    }

    /** A job that inherited its priority from a dependent may preempt only while it is urgent. */
    private static boolean mayPreemptByPriority(JobQueue.QueuedJob queued, long nowMicros) {
        Priority submitted = queued.job().spec.priority();
        boolean isInherited = submitted != queued.job().priority();
        return isInherited ? isUrgent(queued, nowMicros) : submitted != Priority.NORMAL;
    }

    /** Returns whether the job can meet its deadline, but only if it starts about now. */
    private static boolean isUrgent(JobQueue.QueuedJob queued, long nowMicros) {
        return queued.canMeetDeadline() && queued.dueMicros() - nowMicros < URGENT_WITHIN_MICROS;
    }

    /** Returns whether any work may exist that can be preempted for a task of this job. */
    boolean isAnyWorkPreemptible(Job job) {
        if (job.priority() != Priority.NORMAL || isLowPriorityRunning) {
            return true;
        }
        for (Team team : settings.teams().values()) {
            if (!team.name().equals(job.spec.team()) && !team.isWithinGuarantee(scheduler.teamUsage(team.name()))) {
                return true;
            }
        }
        return false;
    }
}
