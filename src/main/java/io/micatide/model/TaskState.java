package io.micatide.model;

/** What a worker says of a task. */
public enum TaskState {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
}
