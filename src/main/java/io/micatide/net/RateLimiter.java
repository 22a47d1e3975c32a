package io.micatide.net;

import io.micatide.model.Micros;

/**
 * Keeps a client under a service's rate. Guava's limiter blocks its caller, which an event loop cannot afford.
 */
public final class RateLimiter {
    private final double tokensPerSecond;
    private final double burst;
    private double tokens;
    private long refilledMicros;

    public RateLimiter(double rate, double burst, long nowMicros) {
        this.tokensPerSecond = rate;
        this.burst = burst;
        this.tokens = burst;
        this.refilledMicros = nowMicros;
    }

    /** The share of the burst that is left. */
    public double remainingShare(long nowMicros) {
        refill(nowMicros);
        return tokens / burst;
    }

    private void refill(long nowMicros) {
        tokens = Math.min(burst, tokens + tokensPerSecond * Micros.toSeconds(nowMicros - refilledMicros));
        refilledMicros = nowMicros;
    }

    public boolean tryAcquire(long nowMicros) {
        refill(nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
