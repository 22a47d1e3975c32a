package io.micatide.controller;

import io.micatide.store.JobOutcome;

/** Receives where a job was found. */
interface JobLookupHandler {
    /** The job cache holds the job. */
    void foundInCache();

    /** The archive holds the job. */
    void foundInArchive(JobOutcome outcome);

    /** The job was never accepted, if the job cache is up to date. */
    void notFound();
}
