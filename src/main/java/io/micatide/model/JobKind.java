package io.micatide.model;

/** How the tasks of a job relate to each other. */
public enum JobKind {
    /** Independent tasks. */
    ARRAY,
    /** Tasks that start, run and finish together. */
    GANG,
    /** Replicas that run until the job is cancelled. */
    SERVICE
}
