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
     * Returns the longest time that may pass on this clock while another machine's clock counts {@code micros}. The steady clocks of different
     * machines drift apart by up to 0.05%; the 0.2% allowed here is more than that.
     */
    public static long longestWithDrift(long micros) {
        return micros + micros / 500;
    }

    /**
     * Returns the shortest time that may pass on this clock while another machine's clock counts {@code micros}. The steady clocks of different
     * machines drift apart by up to 0.05%; the 0.2% allowed here is more than that.
     */
    public static long shortestWithDrift(long micros) {
        return micros - micros / 500;
    }
}
