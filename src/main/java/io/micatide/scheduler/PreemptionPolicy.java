package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Settings;
import io.micatide.model.Team;

/**
 * Which waiting jobs may have other work preempted. Capacity comes free all the time, and what is first in the queue gets
 * it; so preemption is for services, for other priorities than the ordinary one, for teams that have waited for their
 * guarantee, and for what would be late otherwise. Which work is preempted is the concern of {@link Preemption}.
 */
final class PreemptionPolicy {
    private static final long DEFAULT_GUARANTEE_WAIT_MICROS = 2_500 * Micros.MILLISECOND;
    /** The share of an objective's time for which a team waits for its guarantee before others are preempted. */
    private static final double GUARANTEE_WAIT_SHARE = 0.5;

    /** A job that can be on time is urgent once its latest start is nearer than this. */
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

    /** How long a team waits for its guarantee before others are preempted, in microseconds. */
    long guaranteeWaitMicros() {
        return guaranteeWaitMicros;
    }

    /** Looks anew whether work of the lowest priority runs. Done once a plan. */
    void refresh() {
        isLowPriorityRunning = false;
        for (Job job : ledgers.jobs()) {
            if (job.priority() == Priority.LOW && !job.liveAttempts.isEmpty()) {
                isLowPriorityRunning = true;
                return;
            }
        }
    }

    /** Whether other work may be preempted for the job. */
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
     * Work of the lowest priority is preempted for what would be late otherwise, not for all that waits: hundreds of its
     * tasks of 150 s were once started over for jobs that had time.
     */
    private boolean mayPreemptLowPriority(JobQueue.QueuedJob queued, long nowMicros) {
        return isLowPriorityRunning && isUrgent(queued, nowMicros);
    }

    /** A job that has inherited its priority from a dependent may preempt only while it is urgent. */
    private static boolean mayPreemptByPriority(JobQueue.QueuedJob queued, long nowMicros) {
        Priority submitted = queued.job().spec.priority();
        boolean isInherited = submitted != queued.job().priority();
        return isInherited ? isUrgent(queued, nowMicros) : submitted != Priority.NORMAL;
    }

    /** Whether the job can be on time, but only if it starts about now. */
    private static boolean isUrgent(JobQueue.QueuedJob queued, long nowMicros) {
        return queued.canMeetDeadline() && queued.dueMicros() - nowMicros < URGENT_WITHIN_MICROS;
    }

    /** Whether there can be any work that may be preempted for a task of this job. */
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
