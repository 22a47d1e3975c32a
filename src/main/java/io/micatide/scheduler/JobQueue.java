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
 * The order in which jobs with pending tasks get capacity: by priority, services first, then what is within its team's
 * guarantee, then what can be on time, by the latest start with which it still is. Decides nothing about machines.
 * Invariant: the order depends only on the ledgers, the settings and what is known of run times.
 */
final class JobQueue {
    /** A job without an objective, or beyond all of them, is due so long after it became ready. */
    private static final long DUE_WITHOUT_OBJECTIVE_MICROS = 900 * Micros.SECOND;
    /** For which it counts as ready so long ago at most. */
    private static final long MAX_READY_AGE_MICROS = 600 * Micros.SECOND;
    /** Of a task that runs, on average so much is left. */
    private static final double REMAINING_SHARE_OF_RUNNING_TASK = 0.5;

    private static final Comparator<QueuedJob> ORDER = Comparator.comparing(
                    (QueuedJob queued) -> queued.job().priority())
            .thenComparing(queued -> !queued.isService())
            .thenComparing(queued -> !queued.guaranteed())
            .thenComparing(queued -> !queued.canMeetDeadline())
            .thenComparing(QueuedJob::dueMicros)
            .thenComparing(queued -> queued.job().readyMicros);

    private final Settings settings;
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final RuntimeEstimator runTimes;

    JobQueue(Settings settings, Fleet fleet, JobLedgers ledgers, RuntimeEstimator runTimes) {
        this.settings = settings;
        this.fleet = fleet;
        this.ledgers = ledgers;
        this.runTimes = runTimes;
    }

    /**
     * A job with tasks to place and where it stands in the queue.
     *
     * @param pendingTasks how many tasks are to be placed
     * @param guaranteed whether all that its team requests up to this job is within the team's guarantee
     * @param canMeetDeadline whether it can be on time
     * @param dueMicros the latest start with which it is on time; earlier is better
     */
    record QueuedJob(Job job, int pendingTasks, boolean guaranteed, boolean canMeetDeadline, long dueMicros) {
        /** Whether only the times tell which of the two goes first. */
        boolean sameRank(QueuedJob other) {
            return job.priority() == other.job.priority()
                    && isService() == other.isService()
                    && guaranteed == other.guaranteed
                    && canMeetDeadline == other.canMeetDeadline;
        }

        private boolean isService() {
            return job.spec.kind() == JobKind.SERVICE;
        }
    }

    /** Whether tasks of the job may be started now, as far as the job itself goes. */
    static boolean isStartable(Job job, long nowMicros) {
        return !job.cancelled && job.backoffUntilMicros <= nowMicros && !job.hasUnreconciledMachines();
    }

    /** Jobs with pending tasks in the order in which they get capacity. */
    List<QueuedJob> order(long nowMicros) {
        Map<String, Resources> requestedByTeam = new HashMap<>();
        List<QueuedJob> result = new ArrayList<>();
        Map<Job, DeadlineFeasibility.Entry> deadlines = new HashMap<>();
        for (DeadlineFeasibility.Entry entry : assessDeadlines(nowMicros)) {
            deadlines.put(entry.job, entry);
        }
        for (Job job : ledgers.jobs()) {
            if (job.cancelled) {
                continue;
            }
            if (job.quarantined) {
                queueProbe(job, result);
                continue;
            }
            Resources requested = requestedByTeam.merge(
                    job.spec.team(), job.spec.taskResources().times(job.unfinishedCount()), Resources::plus);
            if (job.pendingCount() > 0) {
                result.add(queued(job, isWithinGuarantee(job, requested), deadlines.get(job)));
            }
        }
        result.sort(ORDER);
        return result;
    }

    private boolean isWithinGuarantee(Job job, Resources requested) {
        Team team = settings.teams().get(job.spec.team());
        return team != null && team.guaranteedCpus() > 0 && team.isWithinGuarantee(requested);
    }

    /** @param deadline null for a job that never ends */
    private static QueuedJob queued(Job job, boolean guaranteed, DeadlineFeasibility.Entry deadline) {
        return deadline == null
                ? new QueuedJob(job, job.pendingCount(), guaranteed, true, job.readyMicros)
                : new QueuedJob(job, job.pendingCount(), guaranteed, deadline.feasible, deadline.latestStartMicros());
    }

    /** A job that fails wherever it is tried holds no guarantee and no place among what can be on time. */
    private static void queueProbe(Job job, List<QueuedJob> queue) {
        if (job.placeableCount() > 0) {
            queue.add(new QueuedJob(job, job.placeableCount(), false, false, Long.MAX_VALUE));
        }
    }

    /**
     * What can be on time: first within each team's limit, since capacity beyond it helps none of the team's jobs, then with
     * all processors.
     */
    private List<DeadlineFeasibility.Entry> assessDeadlines(long nowMicros) {
        double cpus = cpusForFiniteJobs(nowMicros);
        Map<String, List<DeadlineFeasibility.Entry>> byTeam = new LinkedHashMap<>();
        List<DeadlineFeasibility.Entry> lowPriority = new ArrayList<>();
        for (DeadlineFeasibility.Entry entry : finiteJobs(nowMicros)) {
            if (entry.job.priority() == Priority.LOW) {
                // It gets what is left: a large job of a rare class would count for more than many of the others.
                lowPriority.add(entry);
            } else {
                byTeam.computeIfAbsent(entry.job.spec.team(), team -> new ArrayList<>())
                        .add(entry);
            }
        }
        List<DeadlineFeasibility.Entry> result = new ArrayList<>();
        List<DeadlineFeasibility.Entry> onTimeInTeam = new ArrayList<>();
        byTeam.forEach((team, entries) -> {
            for (DeadlineFeasibility.Entry entry :
                    DeadlineFeasibility.markFeasible(entries, Math.min(cpus, cpuLimit(team)), nowMicros)) {
                (entry.feasible ? onTimeInTeam : result).add(entry);
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

    /** What is left of every job that ends. */
    List<DeadlineFeasibility.Entry> finiteJobs(long nowMicros) {
        List<DeadlineFeasibility.Entry> result = new ArrayList<>();
        for (Job job : ledgers.jobs()) {
            if (!job.cancelled && !job.quarantined && job.spec.kind() != JobKind.SERVICE && job.unfinishedCount() > 0) {
                long slowestMicros = runTimes.slowestMicros(job);
                result.add(new DeadlineFeasibility.Entry(
                        job,
                        remainingWork(job),
                        slowestMicros,
                        dueMicros(job, slowestMicros, nowMicros),
                        weight(job.spec.jobClass())));
            }
        }
        return result;
    }

    /** In thousandths of a processor times microseconds. */
    private double remainingWork(Job job) {
        int pending = job.pendingCount();
        return job.spec.taskResources().cpus()
                * (double) runTimes.expectedMicros(job)
                * (pending + REMAINING_SHARE_OF_RUNNING_TASK * (job.unfinishedCount() - pending));
    }

    /** Objectives are shares of a class: the fewer jobs it has, and the more objectives, the more one of them counts. */
    private double weight(String jobClass) {
        int objectives = 1;
        for (Settings.Objective objective : settings.objectives()) {
            objectives += jobClass.equals(objective.jobClass()) ? 1 : 0;
        }
        return objectives / (double) Math.max(1, ledgers.jobsSeenOfClass(jobClass));
    }

    /** Processors, in thousandths, that are there for jobs that end. */
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

    /** The earliest time at which users expect the job and that it can still reach. */
    private long dueMicros(Job job, long lengthMicros, long nowMicros) {
        JobSpec spec = job.spec;
        long reachableMicros = nowMicros + lengthMicros;
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
        // Without an objective, or beyond all of them: soon, but after what can still be on time.
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
