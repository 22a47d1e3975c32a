package io.micatide.controller;

import io.micatide.store.JobOutcome;

/** Where a job is. */
interface JobLookup {
    /** The copy holds it. */
    void inCopy();

    void archived(JobOutcome outcome);

    /** It was never accepted, as far as the copy is fresh. */
    void nowhere();
}
