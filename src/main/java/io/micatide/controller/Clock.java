package io.micatide.controller;

import io.micatide.model.Micros;

/** The steady clock of this process, and the time of day for what other controllers have to understand. Usable from any thread. */
public final class Clock {
    private static final long START_NANOS = System.nanoTime();

    private Clock() {}

    /**
     * The steady clock.
     *
     * @return whole microseconds since this class was loaded, plus 1; never 0
     */
    public static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000 + 1;
    }

    /**
     * The time of day.
     *
     * @return microseconds since 1970, of a resolution of milliseconds
     */
    public static long wallClockMicros() {
        return System.currentTimeMillis() * Micros.MILLISECOND;
    }
}
