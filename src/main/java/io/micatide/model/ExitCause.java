package io.micatide.model;

/** Why a task exited; the last three are refused starts. */
public enum ExitCause {
    DONE,
    STOPPED,
    PEERS,
    ALONE,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN;

    /**
     * Whether the task never ran, since the worker refused its start.
     *
     * @return true for the last three causes
     */
    public boolean isRefusedStart() {
        return this == NO_ROOM || this == BUSY || this == UNKNOWN;
    }
}
