package io.micatide.jobs;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The decision whether a job with dependencies can be accepted, according to one job cache. */
public sealed interface DependencyAdmission {
    /**
     * The job may be stored.
     *
     * @param state state of the job's record
     * @param spec description to store, null for a job that is cancelled at once
     * @param taskCount number of tasks
     */
    record Accepted(JobState state, JobSpec spec, int taskCount) implements DependencyAdmission {
        public StoredRecord.JobRecord toRecord(long submittedWall) {
            return new StoredRecord.JobRecord(state, spec, submittedWall, taskCount);
        }
    }

    /**
     * The job can never run. Holds only if the cache was up to date.
     *
     * @param reason message to the user
     */
    record Refused(String reason) implements DependencyAdmission {}

    /** The job has to wait: a controller of a previous version may be running, which would ignore its dependencies and start it at once. */
    record Deferred() implements DependencyAdmission {}

    /** Evaluates a job whose dependencies are all in the cache; any other is refused as unknown. */
    static DependencyAdmission evaluate(JobSpec spec, JobCache jobCache) {
        return evaluate(spec, jobCache, Map.of());
    }

    /**
     * Evaluates a job.
     *
     * @param spec description of the job
     * @param jobCache the known jobs
     * @param archived archived outcomes of those dependencies that the cache does not hold, by job id
     * @return the decision, never null
     */
    static DependencyAdmission evaluate(JobSpec spec, JobCache jobCache, Map<String, JobOutcome> archived) {
        List<String> openDependencies = new ArrayList<>();
        boolean hasCancelledDependency = false;
        for (String dependency : spec.dependencies()) {
            JobCache.Entry entry = jobCache.get(dependency);
            JobOutcome outcome = entry == null ? archived.get(dependency) : null;
            if (outcome != null) {
                if (outcome.isService()) {
                    return new Refused("awaits: " + dependency + " is a service and never done");
                }
                hasCancelledDependency |= outcome.state() == JobState.CANCELLED;
                continue;
            }
            if (entry == null) {
                return new Refused("awaits: " + dependency + " was never accepted");
            }
            if (entry.record().spec() != null && entry.record().spec().kind() == JobKind.SERVICE) {
                return new Refused("awaits: " + dependency + " is a service and never done");
            }
            JobState state = jobCache.state(dependency);
            hasCancelledDependency |= state == JobState.CANCELLED;
            if (state == JobState.OPEN) {
                openDependencies.add(dependency);
            }
        }
        if (hasCancelledDependency) {
            // The job is accepted as cancelled. It never starts, so its description is not stored.
            return new Accepted(JobState.CANCELLED, null, spec.taskCount());
        }
        // Done is a final state, so dependencies that are done already are not stored.
        if (openDependencies.isEmpty()) {
            return new Accepted(JobState.OPEN, spec.withDependencies(List.of()), spec.taskCount());
        }
        return jobCache.layoutVersion() == 0
                ? new Deferred()
                : new Accepted(JobState.OPEN, spec.withDependencies(openDependencies), spec.taskCount());
    }
}
