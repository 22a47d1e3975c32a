package io.micatide.model;

/** Conversion and clock drift of durations in whole microseconds. */
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

    /**
     * Returns the longest time that may pass on this clock while another machine's clock counts {@code micros}. Clocks drift by up to 0.05%, so two
     * of them differ by up to 0.1%; the 0.2% added here leave a safety factor of two.
     */
    public static long longestWithDrift(long micros) {
        return micros + micros / 500;
    }

    /** Returns the shortest time that may pass on this clock while another machine's clock counts {@code micros}, with the same allowance of 0.2%. */
    public static long shortestWithDrift(long micros) {
        return micros - micros / 500;
    }
}
