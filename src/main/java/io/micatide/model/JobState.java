package io.micatide.model;

/** Stored state of a job. Only the leader knows whether an open job is queued or running. */
public enum JobState {
    OPEN,
    DONE,
    CANCELLED;

    public boolean isFinal() {
        return this != OPEN;
    }
}
