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
 * In which order jobs with waiting tasks get room: by priority, services first, then what is within its team's guarantee, then what can be
 * on time, by the latest start that still is. Decides nothing about machines.
 */
final class JobQueue {
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

    /** A job with tasks to place and where it stands in the queue; earlier is better. */
    record QueuedJob(Job job, int pendingTasks, boolean guaranteed, boolean canMeetDeadline, long dueMicros) {
        boolean sameRank(QueuedJob other) {
            return job.priority() == other.job.priority()
                    && (job.spec.kind() == JobKind.SERVICE) == (other.job.spec.kind() == JobKind.SERVICE)
                    && guaranteed == other.guaranteed
                    && canMeetDeadline == other.canMeetDeadline;
        }
    }

    /** Jobs with waiting tasks in the order in which they get room. */
    List<QueuedJob> order(long nowMicros) {
        Map<String, Resources> asked = new HashMap<>();
        List<QueuedJob> result = new ArrayList<>();
        Map<Job, DeadlineFeasibility.Entry> entries = new HashMap<>();
        for (DeadlineFeasibility.Entry entry : decide(nowMicros)) {
            entries.put(entry.job, entry);
        }
        for (Job job : ledgers.jobs()) {
            if (job.cancelled) {
                continue;
            }
            if (job.quarantined) {
                queueProbe(job, result);
                continue;
            }
            Team team = settings.teams().get(job.spec.team());
            Resources total = asked.merge(
                    job.spec.team(), job.spec.taskResources().times(job.unfinishedCount()), Resources::plus);
            boolean guaranteed = team != null && team.guaranteedCpus() > 0 && team.isWithinGuarantee(total);
            int waiting = job.pendingCount();
            if (waiting > 0) {
                DeadlineFeasibility.Entry entry = entries.get(job);
                result.add(new QueuedJob(
                        job,
                        waiting,
                        guaranteed,
                        entry == null || entry.feasible,
                        entry == null ? job.readyMicros : entry.latestStartMicros()));
            }
        }
        result.sort(Comparator.comparing((QueuedJob q) -> q.job().priority())
                .thenComparing(q -> q.job().spec.kind() == JobKind.SERVICE ? 0 : 1)
                .thenComparing(q -> !q.guaranteed())
                .thenComparing(q -> !q.canMeetDeadline())
                .thenComparing(QueuedJob::dueMicros)
                .thenComparing(q -> q.job().readyMicros));
        return result;
    }

    /** A job that fails wherever it is tried holds no guarantee and no place among what can be on time. */
    private static void queueProbe(Job job, List<QueuedJob> queue) {
        if (job.placeableCount() > 0) {
            queue.add(new QueuedJob(job, job.placeableCount(), false, false, Long.MAX_VALUE));
        }
    }

    /**
     * What can be on time: first within each team's limit, since room beyond it helps none of the team's jobs, then
     * with all processors.
     */
    private List<DeadlineFeasibility.Entry> decide(long nowMicros) {
        double cpus = arrayCpus(nowMicros);
        Map<String, List<DeadlineFeasibility.Entry>> perTeam = new LinkedHashMap<>();
        List<DeadlineFeasibility.Entry> result = new ArrayList<>();
        List<DeadlineFeasibility.Entry> lowest = new ArrayList<>();
        for (DeadlineFeasibility.Entry entry : arrays(nowMicros)) {
            if (entry.job.priority() == Priority.LOW) {
                // It gets what is left: a large job of a rare class would count for more than many of the others.
                lowest.add(entry);
                continue;
            }
            perTeam.computeIfAbsent(entry.job.spec.team(), k -> new ArrayList<>())
                    .add(entry);
        }
        List<DeadlineFeasibility.Entry> possible = new ArrayList<>();
        perTeam.forEach((name, entries) -> {
            Team team = settings.teams().get(name);
            double most = team == null || team.maxCpus() == 0 ? cpus : Math.min(cpus, (double) team.maxCpus());
            for (DeadlineFeasibility.Entry entry : DeadlineFeasibility.markFeasible(entries, most, nowMicros)) {
                (entry.feasible ? possible : result).add(entry);
            }
        });
        result.addAll(DeadlineFeasibility.markFeasible(possible, cpus, nowMicros));
        result.addAll(DeadlineFeasibility.markFeasible(lowest, cpus, nowMicros));
        return result;
    }

    /** What is left of every job that ends. */
    List<DeadlineFeasibility.Entry> arrays(long nowMicros) {
        List<DeadlineFeasibility.Entry> result = new ArrayList<>();
        for (Job job : ledgers.jobs()) {
            if (!job.cancelled && !job.quarantined && job.spec.kind() != JobKind.SERVICE && job.unfinishedCount() > 0) {
                long length = runTimes.expectedMicros(job);
                int waiting = job.pendingCount();
                double work = job.spec.taskResources().cpus()
                        * (double) length
                        * (waiting + 0.5 * (job.unfinishedCount() - waiting));
                long slowest = runTimes.slowestMicros(job);
                result.add(new DeadlineFeasibility.Entry(
                        job, work, slowest, due(job, slowest, nowMicros), weight(job.spec.jobClass())));
            }
        }
        return result;
    }

    /** Aims are shares of a class: the fewer jobs it has, and the more aims, the more one of them counts. */
    private double weight(String jobClass) {
        int aims = 1;
        for (Settings.Objective objective : settings.objectives()) {
            aims += jobClass.equals(objective.jobClass()) ? 1 : 0;
        }
        return aims / (double) Math.max(1, ledgers.countOf(jobClass));
    }

    /** Processors, in thousandths, that are there for work that ends. */
    double arrayCpus(long nowMicros) {
        double cpus = 0;
        for (Machine machine : fleet.machines()) {
            if (machine.capacity() != null
                    && !machine.deletionRequested
                    && !machine.quarantined
                    && machine.spotNoticeEndsMicros < 0
                    && machine.slowUntilMicros < nowMicros
                    && machine.isResponsive(nowMicros, settings)) {
                cpus += machine.cpusBesideReplicas();
            }
        }
        return cpus;
    }

    /** The earliest time at which users expect the job and that it can still reach. */
    private long due(Job job, long length, long nowMicros) {
        JobSpec spec = job.spec;
        long reachable = nowMicros + length;
        long due = Long.MAX_VALUE;
        if (spec.deadlineMicros() >= 0 && job.deadlineMicros() >= reachable) {
            due = job.deadlineMicros();
        }
        if (job.dependentsDueMicros >= reachable) {
            due = Math.min(due, job.dependentsDueMicros);
        }
        for (Settings.Objective objective : settings.objectives()) {
            if (objective.withinMicros() > 0
                    && objective.kind().equals("finished")
                    && objective.jobClass().equals(spec.jobClass())) {
                long candidate = job.readyMicros + objective.withinMicros();
                if (candidate >= reachable) {
                    due = Math.min(due, candidate);
                }
            }
        }
        // Without an aim, or beyond all of them: soon, but after what can still be on time.
        return due < Long.MAX_VALUE
                ? due
                : Math.max(job.readyMicros, nowMicros - 600 * Micros.SECOND) + 900 * Micros.SECOND;
    }
}
