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
 * Jobs that wait for others, and what they ask of those. Users set deadline and priority on the last job of a pipeline only;
 * each job before it has to be over early enough for what follows on the longest way, and has the highest priority of what
 * needs it. Waiting jobs are kept apart from {@link JobLedgers}: they take no part in queue, limits, guarantees or rounds.
 */
final class DagInheritance {
    /** What lies between the end of a job and the start of the next one's tasks: two writes and the fetch of an image. */
    private static final long DEPENDENT_START_DELAY_MICROS = 4 * Micros.SECOND;
    /** Run times are learned meanwhile. */
    private static final long REFRESH_MICROS = 5 * Micros.SECOND;

    /** A job that waits. */
    private record WaitingJob(JobSpec spec, long version, long deadlineMicros) {}

    /** What those after a job ask of it. */
    private record Demand(Priority priority, long neededByMicros) {
        private static final Demand NONE = new Demand(Priority.LOW, Long.MAX_VALUE);

        Demand mergedWith(Demand other) {
            return new Demand(
                    priority.isAbove(other.priority) ? priority : other.priority,
                    Math.min(neededByMicros, other.neededByMicros));
        }
    }

    private final JobLedgers ledgers;
    private final RuntimeEstimator runtimeEstimator;
    private final Map<String, WaitingJob> waitingJobs = new LinkedHashMap<>();
    private final List<Job> jobsWithDemands = new ArrayList<>();
    private boolean openJobAdded;
    private long refreshedMicros = Long.MIN_VALUE / 2;

    DagInheritance(JobLedgers ledgers, RuntimeEstimator runTimes) {
        this.ledgers = ledgers;
        this.runtimeEstimator = runTimes;
    }

    int waitingJobCount() {
        return waitingJobs.size();
    }

    void addWaitingJob(JobSpec spec, long version, long submittedMicros) {
        long deadline = spec.deadlineMicros() < 0 ? Long.MAX_VALUE : submittedMicros + spec.deadlineMicros();
        waitingJobs.put(spec.id(), new WaitingJob(spec, version, deadline));
        openJobAdded = true;
    }

    /** A job under way was added, of which those that wait may ask something. */
    void openJobAdded() {
        openJobAdded |= !waitingJobs.isEmpty();
    }

    /** Ready, done or cancelled. */
    void removeWaitingJob(String id) {
        openJobAdded |= waitingJobs.remove(id) != null;
    }

    /** Tells the jobs under way what is asked of them. Linear in the edges, after a change and every few seconds. */
    void refresh(long nowMicros) {
        if (!openJobAdded && (waitingJobs.isEmpty() || nowMicros - refreshedMicros < REFRESH_MICROS)) {
            return;
        }
        openJobAdded = false;
        refreshedMicros = nowMicros;
        jobsWithDemands.forEach(job -> job.inheritFromDependents(false, Priority.LOW, Long.MAX_VALUE));
        jobsWithDemands.clear();
        // A job names only jobs accepted before it, so from the newest row to the oldest all after a job come before
        // it.
        List<WaitingJob> order = new ArrayList<>(waitingJobs.values());
        order.sort(Comparator.comparingLong(each -> -each.version()));
        Map<String, Demand> demands = new HashMap<>();
        for (WaitingJob each : order) {
            Demand own = new Demand(each.spec().priority(), each.deadlineMicros())
                    .mergedWith(demands.getOrDefault(each.spec().id(), Demand.NONE));
            long by = own.neededByMicros() == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : own.neededByMicros() - runtimeEstimator.slowestMicros(each.spec()) - DEPENDENT_START_DELAY_MICROS;
            Demand before = new Demand(own.priority(), by);
            for (String need : each.spec().dependencies()) {
                demands.merge(need, before, Demand::mergedWith);
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
