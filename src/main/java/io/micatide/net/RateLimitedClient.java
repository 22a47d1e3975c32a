package io.micatide.net;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** A client that answers a request itself, as the service would, when the request would be above the service's rate. */
abstract class RateLimitedClient {
    private static final Reply ABOVE_RATE = new Reply(429, new byte[0], false);

    private final RateLimiter rateLimiter;
    private final LongSupplier clock;

    RateLimitedClient(double rate, double burst, LongSupplier clock) {
        this.rateLimiter = new RateLimiter(rate, burst, clock.getAsLong());
        this.clock = clock;
    }

    /** Whether more than half of what may be asked at once is left: what can wait goes on only callback. */
    public final boolean hasSpareRate() {
        return rateLimiter.remainingShare(clock.getAsLong()) > 0.5;
    }

    /** Whether the request is above the rate, in which case it has been answered. */
    final boolean rejectAboveRate(Consumer<Reply> callback) {
        if (rateLimiter.tryAcquire(clock.getAsLong())) {
            return false;
        }
        callback.accept(ABOVE_RATE);
        return true;
    }
}
