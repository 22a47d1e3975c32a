package io.micatide.model;

/** Why an attempt of a task exited. */
public enum ExitCause {
    /** The task completed. */
    DONE,
    /** The task was stopped by a command, or killed when the worker's lease expired. */
    STOPPED,
    /** A running gang lost another task. */
    PEERS,
    /** The other tasks of the gang did not arrive in time. */
    ALONE,
    /** The task failed. */
    ERROR,
    /** Start refused: the machine lacks the resources. */
    NO_ROOM,
    /** Start refused: another attempt of the task is on the machine. */
    BUSY,
    /** Start refused: the worker does not know the task. */
    UNKNOWN;

    /**
     * Returns whether the task never ran because the worker refused its start.
     *
     * @return true for {@link #NO_ROOM}, {@link #BUSY} and {@link #UNKNOWN}
     */
    public boolean isRefusedStart() {
        return this == NO_ROOM || this == BUSY || this == UNKNOWN;
    }
}
