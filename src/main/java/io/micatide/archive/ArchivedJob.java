package io.micatide.archive;

import io.micatide.store.JobOutcome;

/**
 * A job in a segment of the archive.
 *
 * @param id the job's id
 * @param outcome the job's final state and the details that users see
 */
public record ArchivedJob(String id, JobOutcome outcome) {}
