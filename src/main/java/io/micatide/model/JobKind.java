package io.micatide.model;

/** How the tasks of a job belong together. */
public enum JobKind {
    ARRAY,
    GANG,
    SERVICE
}
