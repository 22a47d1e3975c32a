package io.micatide.store;

import io.micatide.model.JobKind;
import io.micatide.model.JobState;

/**
 * What is told of a job that is over, for ever.
 *
 * @param state done or cancelled
 * @param service it was a service, which no other job may need
 * @param tasks how many it had
 */
public record JobOutcome(JobState state, boolean service, int tasks) {
    /** Of a job's final row. */
    public static JobOutcome of(StoredRecord.JobRecord row) {
        return new JobOutcome(row.state(), row.spec() != null && row.spec().kind() == JobKind.SERVICE, row.taskCount());
    }
}
