package io.micatide.model;

/** Priorities, highest first. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    public boolean isAbove(Priority other) {
        return ordinal() < other.ordinal();
    }
}
