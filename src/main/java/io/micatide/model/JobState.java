package io.micatide.model;

/** What is stored of a job; whether an open one is queued or running is only known to the leader. */
public enum JobState {
    OPEN,
    DONE,
    CANCELLED;

    public boolean isFinal() {
        return this != OPEN;
    }
}
