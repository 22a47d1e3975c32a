package io.micatide.archive;

import io.micatide.store.JobOutcome;

/** A job in a segment. */
public record ArchivedJob(String id, JobOutcome outcome) {}
