package io.micatide.store;

import io.micatide.model.JobKind;
import io.micatide.model.JobState;

/**
 * What is told of a job that is over, for ever.
 *
 * @param state done or cancelled
 * @param isService it was a service, which no other job may need
 * @param taskCount how many it had
 */
public record JobOutcome(JobState state, boolean isService, int taskCount) {
    /** Of a job's final row. */
    public static JobOutcome of(StoredRecord.JobRecord row) {
        return new JobOutcome(row.state(), row.spec() != null && row.spec().kind() == JobKind.SERVICE, row.taskCount());
    }
}
