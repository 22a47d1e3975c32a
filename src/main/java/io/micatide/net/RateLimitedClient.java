package io.micatide.net;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Client that keeps its requests below the rate limit of a service. It answers a request above the limit itself with status 429, as the
 * service would, without sending it.
 */
abstract class RateLimitedClient {
    private static final Reply ABOVE_RATE = new Reply(429, new byte[0], false);

    private final RateLimiter rateLimiter;
    private final LongSupplier clock;

    /**
     * Creates a client that may use the full burst at once.
     *
     * @param rate requests per second
     * @param burst requests that may be sent at once after a pause
     * @param clock the present time in microseconds
     */
    RateLimitedClient(double rate, double burst, LongSupplier clock) {
        this.rateLimiter = new RateLimiter(rate, burst, clock.getAsLong());
        this.clock = clock;
    }

    /** Returns whether more than half of the burst is left. Work that can be postponed is done only then. */
    public final boolean hasSpareRate() {
        return rateLimiter.remainingShare(clock.getAsLong()) > 0.5;
    }

    /** Returns true and answers the callback with status 429 if a request now is above the rate; else counts the request. */
    final boolean rejectAboveRate(Consumer<Reply> callback) {
        if (rateLimiter.tryAcquire(clock.getAsLong())) {
            return false;
        }
        callback.accept(ABOVE_RATE);
        return true;
    }
}
