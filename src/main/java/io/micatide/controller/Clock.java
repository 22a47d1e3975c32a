package io.micatide.controller;

import io.micatide.model.Micros;

/** The steady clock, and the time of day for what has to hold over a change of controllers. */
public final class Clock {
    private static final long START_NANOS = System.nanoTime();

    private Clock() {}

    /** Whole microseconds since the start; never 0. */
    public static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000 + 1;
    }

    public static long wall() {
        return System.currentTimeMillis() * Micros.MILLISECOND;
    }
}
