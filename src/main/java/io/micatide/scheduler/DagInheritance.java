package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Jobs that wait for their dependencies, and the priority and due time that the dependencies inherit from them. Users set
 * deadline and priority on the last job of a pipeline only. Each job before it must finish early enough for the longest
 * path of dependents, and has the highest priority of its dependents. Waiting jobs are kept apart from {@link JobLedgers}:
 * they take no part in the queue, team limits, guarantees or planning passes.
 */
final class DagInheritance {
    /** Time between the end of a job and the start of its dependents' tasks: two writes and the fetch of an image. */
    private static final long DEPENDENT_START_DELAY_MICROS = 4 * Micros.SECOND;
    /** Interval at which demands are computed again without a change of the jobs, because estimates of run times change. */
    private static final long REFRESH_MICROS = 5 * Micros.SECOND;
    /** Number of dependencies that are visited as often as jobs change. */
    private static final long MAX_UNPACED_DEPENDENCIES = 10_000;
    /** Pause after a refresh for each further dependency that it visited, so that a large graph takes a small share of the time. */
    private static final long PAUSE_PER_DEPENDENCY_MICROS = 2;

    /** A job that waits for its dependencies; {@code version} is that of its record, the deadline is on the steady clock. */
    private record WaitingJob(JobSpec spec, long version, long deadlineMicros) {}

    /** Priority and due time that the dependents of a job require of it. */
    private record Demand(Priority priority, long neededByMicros) {
        private static final Demand NONE = new Demand(Priority.LOW, Long.MAX_VALUE);

        /** Returns the higher priority and the earlier due time of both. */
        Demand mergedWith(Demand other) {
            if (!other.priority.isAbove(priority) && neededByMicros <= other.neededByMicros) {
                return this;
            }
            return new Demand(
                    priority.isAbove(other.priority) ? priority : other.priority,
                    Math.min(neededByMicros, other.neededByMicros));
        }
    }

    private final JobLedgers ledgers;
    private final RuntimeEstimator runtimeEstimator;
    private final Map<String, WaitingJob> waitingJobs = new LinkedHashMap<>();
    /** Open jobs that inherited a demand at the last refresh. */
    private final List<Job> jobsWithDemands = new ArrayList<>();
    /** Whether an open or waiting job was added, or a waiting one removed, since the last refresh. */
    private boolean hasNewJobs;

    private long refreshedMicros = Long.MIN_VALUE / 2;
    /** Number of dependencies visited at the last refresh. */
    private long visitedDependencies;

    DagInheritance(JobLedgers ledgers, RuntimeEstimator runtimeEstimator) {
        this.ledgers = ledgers;
        this.runtimeEstimator = runtimeEstimator;
    }

    int waitingJobCount() {
        return waitingJobs.size();
    }

    /** Adds a job that waits for its dependencies; {@code submittedMicros} is on the steady clock. */
    void addWaitingJob(JobSpec spec, long version, long submittedMicros) {
        long deadlineMicros = spec.deadlineMicros() < 0 ? Long.MAX_VALUE : submittedMicros + spec.deadlineMicros();
        waitingJobs.put(spec.id(), new WaitingJob(spec, version, deadlineMicros));
        hasNewJobs = true;
    }

    /** Records that an open job was added, from which waiting jobs may require something. */
    void openJobAdded() {
        hasNewJobs |= !waitingJobs.isEmpty();
    }

    /** Removes a job that is ready, done or cancelled; does nothing for a job that does not wait. */
    void removeWaitingJob(String id) {
        hasNewJobs |= waitingJobs.remove(id) != null;
    }

    /** Returns the time between two refreshes after the number of dependencies that the last one visited. */
    private long pauseMicros() {
        long pacedDependencies = Math.max(0, visitedDependencies - MAX_UNPACED_DEPENDENCIES);
        return Math.min(REFRESH_MICROS, pacedDependencies * PAUSE_PER_DEPENDENCY_MICROS);
    }

    /** Sets the inherited demands of the open jobs, after a change and every few seconds. Takes time linear in the edges. */
    void refresh(long nowMicros) {
        long sinceRefreshMicros = nowMicros - refreshedMicros;
        if (sinceRefreshMicros < pauseMicros()
                || (!hasNewJobs && (waitingJobs.isEmpty() || sinceRefreshMicros < REFRESH_MICROS))) {
            return;
        }
        visitedDependencies = 0;
        hasNewJobs = false;
        refreshedMicros = nowMicros;
        jobsWithDemands.forEach(job -> job.inheritFromDependents(false, Priority.LOW, Long.MAX_VALUE));
        jobsWithDemands.clear();
        // A job names only jobs accepted before it, so in descending order of versions all dependents precede it.
        List<WaitingJob> newestFirst = new ArrayList<>(waitingJobs.values());
        newestFirst.sort(Comparator.comparingLong(waitingJob -> -waitingJob.version()));
        Map<String, Demand> demands = new HashMap<>();
        for (WaitingJob waitingJob : newestFirst) {
            Demand ownDemand = new Demand(waitingJob.spec().priority(), waitingJob.deadlineMicros())
                    .mergedWith(demands.getOrDefault(waitingJob.spec().id(), Demand.NONE));
            long dependencyDueMicros = ownDemand.neededByMicros() == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : ownDemand.neededByMicros()
                            - runtimeEstimator.slowestMicros(waitingJob.spec())
                            - DEPENDENT_START_DELAY_MICROS;
            Demand dependencyDemand = new Demand(ownDemand.priority(), dependencyDueMicros);
            visitedDependencies += waitingJob.spec().dependencies().size();
            for (String dependency : waitingJob.spec().dependencies()) {
                demands.merge(dependency, dependencyDemand, Demand::mergedWith);
            }
        }
        demands.forEach((id, demand) -> {
            Job job = ledgers.get(id);
            if (job != null) {
                job.inheritFromDependents(true, demand.priority(), demand.neededByMicros());
                jobsWithDemands.add(job);
            }
        });
    }
}
