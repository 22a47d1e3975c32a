package io.micatide.core;

/** What a worker says of a task. */
public enum TaskState {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
}
