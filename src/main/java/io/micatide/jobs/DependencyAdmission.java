package io.micatide.jobs;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Whether a job that needs others can be accepted, as far as one copy of the job rows tells. */
public sealed interface DependencyAdmission {
    /** It may be stored as {@code spec} with this state. */
    record Accepted(JobState state, JobSpec spec, int taskCount) implements DependencyAdmission {
        public StoredRecord.JobRecord toRecord(long submittedWall) {
            return new StoredRecord.JobRecord(state, spec, submittedWall, taskCount);
        }
    }

    /** It can never run, if the copy is fresh. */
    record Refused(String reason) implements DependencyAdmission {}

    /** A controller of a former version may be about, which would start it at once. */
    record Deferred() implements DependencyAdmission {}

    static DependencyAdmission evaluate(JobSpec spec, JobCache jobCache) {
        return evaluate(spec, jobCache, Map.of());
    }

    /** @param archived what the archive says of the needed jobs that the copy does not hold */
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
            // Accepted all the same, and over: it never starts, so nothing of it has to be kept.
            return new Accepted(JobState.CANCELLED, null, spec.taskCount());
        }
        // Done is final, so what is done already need not be kept.
        if (openDependencies.isEmpty()) {
            return new Accepted(JobState.OPEN, spec.withDependencies(List.of()), spec.taskCount());
        }
        return jobCache.layoutVersion() == 0
                ? new Deferred()
                : new Accepted(JobState.OPEN, spec.withDependencies(openDependencies), spec.taskCount());
    }
}
