package io.micatide.scheduler;

import io.micatide.store.StoredRecord;

/**
 * A job whose final record is in the store.
 *
 * @param id id of the job
 * @param record the final record
 * @param version version of the record
 */
public record FinishedJob(String id, StoredRecord.JobRecord record, long version) {}
