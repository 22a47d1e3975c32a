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
    UNKNOWN
}
