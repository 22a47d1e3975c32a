package io.micatide.client;

import java.util.random.RandomGenerator;

/** How long to wait before a repetition: by chance up to a bound that doubles, so that callers do not come back together. */
final class Backoff {
    /** The protocol: after a second or more. */
    private static final long LEAST_MICROS = 1_000_000;

    private static final long MOST_MICROS = 16_000_000;
    private static final long MOST_RETRY_AFTER_MICROS = 30_000_000;
    private static final int MOST_DOUBLINGS = 10;

    private Backoff() {}

    /**
     * @param tries how many there were, 1 and on
     * @param retryAfterMicros what the service asked for, 0 for nothing; at most 30 s of it are kept to
     */
    static long delay(int tries, long retryAfterMicros, RandomGenerator random) {
        long bound = Math.min(MOST_MICROS, LEAST_MICROS << Math.min(tries - 1, MOST_DOUBLINGS));
        long asked = Math.min(retryAfterMicros, MOST_RETRY_AFTER_MICROS);
        // What the service asked for is a floor, spread by chance above it: all its callers were told the same.
        return Math.max(LEAST_MICROS, asked) + random.nextLong(bound + 1);
    }
}
