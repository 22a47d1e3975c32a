package io.micatide.controller;

import io.micatide.model.Micros;

/** The steady clock of this process, and the time of day for times that are stored or sent to other processes. Thread-safe. */
public final class Clock {
    private static final long START_NANOS = System.nanoTime();

    private Clock() {}

    /**
     * Returns the time on the steady clock.
     *
     * @return whole microseconds since this class was loaded, plus 1; never 0
     */
    public static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000 + 1;
    }

    /**
     * Returns the time of day.
     *
     * @return microseconds since 1970, with a resolution of one millisecond
     */
    public static long wallClockMicros() {
        return System.currentTimeMillis() * Micros.MILLISECOND;
    }
}
