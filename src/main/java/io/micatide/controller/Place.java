package io.micatide.controller;

import io.micatide.store.Outcome;

/** Where a job is. */
interface Place {
    /** The copy holds it. */
    void inCopy();

    void archived(Outcome outcome);

    /** It was never accepted, as far as the copy is fresh. */
    void nowhere();
}
