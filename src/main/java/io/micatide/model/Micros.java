package io.micatide.model;

/** Durations and instants in whole microseconds. */
public final class Micros {
    public static final long MILLISECOND = 1_000L;
    public static final long SECOND = 1_000_000L;

    private Micros() {}

    public static long ofSeconds(double seconds) {
        return Math.round(seconds * SECOND);
    }

    public static double toSeconds(long micros) {
        return micros / (double) SECOND;
    }

    /** Longest time that another machine's clock may take to count {@code micros} (clocks drift by up to 0.05%). */
    public static long longestWithDrift(long micros) {
        return micros + micros / 500;
    }

    /** Shortest time in which another machine's clock may count {@code micros}. */
    public static long shortestWithDrift(long micros) {
        return micros - micros / 500;
    }
}
