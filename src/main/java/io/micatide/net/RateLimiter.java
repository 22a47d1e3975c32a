package io.micatide.net;

import io.micatide.model.Micros;

/**
 * Token bucket that keeps a client below the rate limit of a service. It never blocks, unlike Guava's limiter, which therefore cannot be
 * used on an event loop. Times are in microseconds.
 */
public final class RateLimiter {
    private final double tokensPerSecond;
    private final double burst;
    private double tokens;
    /** Time up to which tokens were added. */
    private long refilledMicros;

    /**
     * Creates a full bucket.
     *
     * @param rate tokens that are added per second
     * @param burst capacity in tokens
     * @param nowMicros the present time
     */
    public RateLimiter(double rate, double burst, long nowMicros) {
        this.tokensPerSecond = rate;
        this.burst = burst;
        this.tokens = burst;
        this.refilledMicros = nowMicros;
    }

    /** Returns the tokens that are left as a share of the burst, from 0 to 1. */
    public double remainingShare(long nowMicros) {
        refill(nowMicros);
        return tokens / burst;
    }

    private void refill(long nowMicros) {
        tokens = Math.min(burst, tokens + tokensPerSecond * Micros.toSeconds(nowMicros - refilledMicros));
        refilledMicros = nowMicros;
    }

    /** Takes one token; returns false and takes none if less than one is left. */
    public boolean tryAcquire(long nowMicros) {
        refill(nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
