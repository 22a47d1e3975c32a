package io.micatide.store;

import io.micatide.model.JobKind;
import io.micatide.model.JobState;

/**
 * The final state of a job, as the archive keeps it permanently.
 *
 * @param state done or cancelled
 * @param isService whether the job was a service, on which no other job may depend
 * @param taskCount number of tasks of the job
 */
public record JobOutcome(JobState state, boolean isService, int taskCount) {
    /**
     * Returns the outcome that is recorded in the given job record.
     *
     * @param record a record with a final state
     * @return the outcome of its job
     */
    public static JobOutcome of(StoredRecord.JobRecord record) {
        boolean isService = record.spec() != null && record.spec().kind() == JobKind.SERVICE;
        return new JobOutcome(record.state(), isService, record.taskCount());
    }
}
