package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines the order in which jobs with pending tasks get capacity: by priority, then services first, then jobs
 * within the guarantee of their team, then jobs that can meet their deadline, then by the latest start that still meets
 * it. Does not choose machines.
 *
 * <p>Invariant: the order depends only on the ledgers, the settings, the machines and the estimated run times.
 */
final class JobQueue {
    /**
     * A job without an objective, or one that can no longer meet any of its objectives, is due this long after it
     * became ready.
     */
    private static final long DUE_WITHOUT_OBJECTIVE_MICROS = 900 * Micros.SECOND;
    /** Maximum age since becoming ready that counts for {@link #DUE_WITHOUT_OBJECTIVE_MICROS}. */
    private static final long MAX_READY_AGE_MICROS = 600 * Micros.SECOND;
    /** Average share of its run time that a running task still has left. */
    private static final double REMAINING_SHARE_OF_RUNNING_TASK = 0.5;

    private static final Comparator<QueuedJob> ORDER = Comparator.comparing(
                    (QueuedJob queued) -> queued.job().priority())
            .thenComparing(queued -> !queued.isService())
            .thenComparing(queued -> !queued.isGuaranteed())
            .thenComparing(queued -> !queued.canMeetDeadline())
            .thenComparing(QueuedJob::dueMicros)
            .thenComparing(queued -> queued.job().readyMicros);

    private final Settings settings;
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final RuntimeEstimator runtimeEstimator;

    JobQueue(Settings settings, Fleet fleet, JobLedgers ledgers, RuntimeEstimator runtimeEstimator) {
        this.settings = settings;
        this.fleet = fleet;
        this.ledgers = ledgers;
        this.runtimeEstimator = runtimeEstimator;
    }

    /**
     * A job with tasks to place, and the values that determine its position in the queue.
     *
     * @param job the job
     * @param pendingTasks number of tasks to place
     * @param isGuaranteed whether everything that its team requests, up to and including this job, is within the team's
     *     guarantee
     * @param canMeetDeadline whether the job can still finish by the time at which it is due
     * @param dueMicros latest start with which the job still meets its deadline, for a service the time at which it
     *     became ready; earlier times come first
     */
    record QueuedJob(Job job, int pendingTasks, boolean isGuaranteed, boolean canMeetDeadline, long dueMicros) {
        /** Returns whether the two jobs have the same rank, so that only their times determine which comes first. */
        boolean hasSameRank(QueuedJob other) {
            return job.priority() == other.job.priority()
                    && isService() == other.isService()
                    && isGuaranteed == other.isGuaranteed
                    && canMeetDeadline == other.canMeetDeadline;
        }

        private boolean isService() {
            return job.spec.kind() == JobKind.SERVICE;
        }
    }

    /** Returns whether tasks of the job may be started now, considering only the state of the job itself. */
    static boolean isStartable(Job job, long nowMicros) {
        return !job.cancelled && job.backoffUntilMicros <= nowMicros && !job.hasUnreconciledMachines();
    }

    /** Returns the jobs with pending tasks in the order in which they get capacity. */
    List<QueuedJob> order(long nowMicros) {
        Map<String, Resources> requestedByTeam = new HashMap<>();
        List<QueuedJob> result = new ArrayList<>();
        Map<Job, DeadlineFeasibility.JobEstimate> deadlines = new HashMap<>();
        for (DeadlineFeasibility.JobEstimate entry : assessDeadlines(nowMicros)) {
            deadlines.put(entry.job, entry);
        }
        for (Job job : ledgers.jobs()) {
            if (job.cancelled) {
                continue;
            }
            if (job.quarantined) {
                addProbe(job, result);
                continue;
            }
            Resources requested = requestedByTeam.merge(
                    job.spec.team(), job.spec.taskResources().times(job.unfinishedCount()), Resources::plus);
            if (job.pendingCount() > 0) {
                result.add(toQueuedJob(job, isWithinGuarantee(job, requested), deadlines.get(job)));
            }
        }
        result.sort(ORDER);
        return result;
    }

    private boolean isWithinGuarantee(Job job, Resources requested) {
        Team team = settings.teams().get(job.spec.team());
        return team != null && team.guaranteedCpus() > 0 && team.isWithinGuarantee(requested);
    }

    /** @param deadline null for a service, which never ends */
    private static QueuedJob toQueuedJob(Job job, boolean isGuaranteed, DeadlineFeasibility.JobEstimate deadline) {
        return deadline == null
                ? new QueuedJob(job, job.pendingCount(), isGuaranteed, true, job.readyMicros)
                : new QueuedJob(
                        job, job.pendingCount(), isGuaranteed, deadline.isFeasible, deadline.latestStartMicros());
    }

    /**
     * Adds a quarantined job as a probe that ranks last among the services or the other jobs of its priority: a job
     * that fails on every machine must not use its team's guarantee or delay jobs that can meet their deadline.
     */
    private static void addProbe(Job job, List<QueuedJob> queue) {
        if (job.placeableCount() > 0) {
            queue.add(new QueuedJob(job, job.placeableCount(), false, false, Long.MAX_VALUE));
        }
    }

    /**
     * Determines which jobs can meet their deadline: first within the limit of each team, since capacity beyond it
     * helps none of the team's jobs, then with all CPUs.
     */
    private List<DeadlineFeasibility.JobEstimate> assessDeadlines(long nowMicros) {
        double cpus = cpusForFiniteJobs(nowMicros);
        Map<String, List<DeadlineFeasibility.JobEstimate>> byTeam = new LinkedHashMap<>();
        List<DeadlineFeasibility.JobEstimate> lowPriority = new ArrayList<>();
        for (DeadlineFeasibility.JobEstimate entry : finiteJobs(nowMicros)) {
            if (entry.job.priority() == Priority.LOW) {
                // Low priority gets the remaining CPUs: one large job of a rare class would otherwise outweigh many
                // other jobs.
                lowPriority.add(entry);
            } else {
                byTeam.computeIfAbsent(entry.job.spec.team(), team -> new ArrayList<>())
                        .add(entry);
            }
        }
        List<DeadlineFeasibility.JobEstimate> result = new ArrayList<>();
        List<DeadlineFeasibility.JobEstimate> onTimeInTeam = new ArrayList<>();
        byTeam.forEach((team, entries) -> {
            for (DeadlineFeasibility.JobEstimate entry :
                    DeadlineFeasibility.markFeasible(entries, Math.min(cpus, cpuLimit(team)), nowMicros)) {
                (entry.isFeasible ? onTimeInTeam : result).add(entry);
            }
        });
        result.addAll(DeadlineFeasibility.markFeasible(onTimeInTeam, cpus, nowMicros));
        result.addAll(DeadlineFeasibility.markFeasible(lowPriority, cpus, nowMicros));
        return result;
    }

    private double cpuLimit(String teamName) {
        Team team = settings.teams().get(teamName);
        return team == null || team.maxCpus() == 0 ? Double.MAX_VALUE : team.maxCpus();
    }

    /** Returns the remaining work of every unfinished job that is not a service. */
    List<DeadlineFeasibility.JobEstimate> finiteJobs(long nowMicros) {
        List<DeadlineFeasibility.JobEstimate> result = new ArrayList<>();
        for (Job job : ledgers.jobs()) {
            if (!job.cancelled && !job.quarantined && job.spec.kind() != JobKind.SERVICE && job.unfinishedCount() > 0) {
                long slowestTaskMicros = runtimeEstimator.slowestMicros(job);
                result.add(new DeadlineFeasibility.JobEstimate(
                        job,
                        remainingWork(job),
                        slowestTaskMicros,
                        dueMicros(job, slowestTaskMicros, nowMicros),
                        weight(job.spec.jobClass())));
            }
        }
        return result;
    }

    /** Returns the remaining work in thousandths of a CPU times microseconds. */
    private double remainingWork(Job job) {
        int pending = job.pendingCount();
        return job.spec.taskResources().cpus()
                * (double) runtimeEstimator.expectedMicros(job)
                * (pending + REMAINING_SHARE_OF_RUNNING_TASK * (job.unfinishedCount() - pending));
    }

    /**
     * Returns the weight of one job of the class. Objectives are shares of a class, so a job counts for more the fewer
     * jobs and the more objectives its class has.
     */
    private double weight(String jobClass) {
        int objectives = 1;
        for (Settings.Objective objective : settings.objectives()) {
            objectives += jobClass.equals(objective.jobClass()) ? 1 : 0;
        }
        return objectives / (double) Math.max(1, ledgers.jobsSeenOfClass(jobClass));
    }

    /** Returns the CPUs available to jobs other than services, in thousandths. */
    double cpusForFiniteJobs(long nowMicros) {
        double cpus = 0;
        for (Machine machine : fleet.machines()) {
            if (isAvailable(machine, nowMicros)) {
                cpus += machine.cpusNotUsedByReplicas();
            }
        }
        return cpus;
    }

    private boolean isAvailable(Machine machine, long nowMicros) {
        return machine.capacity() != null
                && !machine.deletionRequested
                && !machine.quarantined
                && machine.spotNoticeEndsMicros < 0
                && machine.slowUntilMicros < nowMicros
                && machine.isResponsive(nowMicros, settings);
    }

    /** Returns the earliest time at which users expect the job and that it can still reach. */
    private long dueMicros(Job job, long slowestTaskMicros, long nowMicros) {
        JobSpec spec = job.spec;
        long reachableMicros = nowMicros + slowestTaskMicros;
        long dueMicros = Long.MAX_VALUE;
        if (spec.deadlineMicros() >= 0 && job.deadlineMicros() >= reachableMicros) {
            dueMicros = job.deadlineMicros();
        }
        if (job.dependentsDueMicros >= reachableMicros) {
            dueMicros = Math.min(dueMicros, job.dependentsDueMicros);
        }
        for (Settings.Objective objective : settings.objectives()) {
            if (isCompletionObjective(objective, spec.jobClass())) {
                long objectiveMicros = job.readyMicros + objective.withinMicros();
                if (objectiveMicros >= reachableMicros) {
                    dueMicros = Math.min(dueMicros, objectiveMicros);
                }
            }
        }
        // Without an objective that can still be met, the job is due soon, but later than jobs that can meet theirs.
        return dueMicros < Long.MAX_VALUE
                ? dueMicros
                : Math.max(job.readyMicros, nowMicros - MAX_READY_AGE_MICROS) + DUE_WITHOUT_OBJECTIVE_MICROS;
    }

    private static boolean isCompletionObjective(Settings.Objective objective, String jobClass) {
        return objective.withinMicros() > 0
                && objective.kind().equals("finished")
                && objective.jobClass().equals(jobClass);
    }
}
