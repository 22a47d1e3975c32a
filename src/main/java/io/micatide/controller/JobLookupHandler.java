package io.micatide.controller;

import io.micatide.store.JobOutcome;

/** Where a job is. */
interface JobLookupHandler {
    /** The copy holds it. */
    void foundInCache();

    void foundInArchive(JobOutcome outcome);

    /** It was never accepted, as far as the copy is fresh. */
    void notFound();
}
