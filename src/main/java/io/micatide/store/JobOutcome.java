package io.micatide.store;

import io.micatide.model.JobKind;
import io.micatide.model.JobState;

/**
 * The final state of a job, as the archive keeps it for ever.
 *
 * @param state done or cancelled
 *
 * @param isService whether the job was a service, on which no other job may depend
 * @param taskCount how many tasks it had
 *
 */
public record JobOutcome(JobState state, boolean isService, int taskCount) {
    /**
     * The outcome that a job's final record tells.
     *
     * @param record a record with a final state
     * @return its outcome
     */
    public static JobOutcome of(StoredRecord.JobRecord record) {
        boolean isService = record.spec() != null && record.spec().kind() == JobKind.SERVICE;
        return new JobOutcome(record.state(), isService, record.taskCount());
    }
}
