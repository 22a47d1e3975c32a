package io.micatide.model;

/** Priorities of jobs, highest first. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    /** Returns whether this priority is higher than the given one. */
    public boolean isAbove(Priority other) {
        return ordinal() < other.ordinal();
    }
}
