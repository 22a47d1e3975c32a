package io.micatide.model;

/** State of an attempt of a task, as reported by its worker. */
public enum TaskState {
    /** The machine fetches the image. */
    FETCHING,
    /** The task waits for the other tasks of its gang. */
    WAITING,
    /** The task runs. */
    RUNNING,
    /** The task saves a checkpoint before it exits. */
    SAVING,
    /** The attempt has ended, with an {@link ExitCause}. */
    EXITED
}
