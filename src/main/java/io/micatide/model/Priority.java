package io.micatide.model;

/** Priorities, highest first. */
public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    public boolean above(Priority other) {
        return ordinal() < other.ordinal();
    }
}
