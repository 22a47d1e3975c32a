package io.micatide.archive;

import io.micatide.store.JobOutcome;

/**
 * A job as a segment of the archive holds it.
 *
 * @param id the job's id
 * @param outcome its final state and what users are shown of it
 */
public record ArchivedJob(String id, JobOutcome outcome) {}
