package io.micatide.net;

import io.micatide.model.Micros;

/**
 * Keeps a client under a service's rate. Guava's limiter blocks its caller, which an event loop cannot afford.
 */
public final class RateLimiter {
    private final double rate;
    private final double burst;
    private double tokens;
    private long atMicros;

    public RateLimiter(double rate, double burst, long nowMicros) {
        this.rate = rate;
        this.burst = burst;
        this.tokens = burst;
        this.atMicros = nowMicros;
    }

    /** The share of the burst that is left. */
    public double left(long nowMicros) {
        fill(nowMicros);
        return tokens / burst;
    }

    private void fill(long nowMicros) {
        tokens = Math.min(burst, tokens + rate * Micros.toSeconds(nowMicros - atMicros));
        atMicros = nowMicros;
    }

    public boolean take(long nowMicros) {
        fill(nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
