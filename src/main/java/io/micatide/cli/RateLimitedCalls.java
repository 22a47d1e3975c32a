package io.micatide.cli;

import io.micatide.model.Micros;
import io.micatide.net.HttpClient;
import io.micatide.net.Reply;
import io.micatide.snapshot.StoreCalls;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Blocking requests of a command to the store: one at a time, and at most a given number a second. */
final class RateLimitedCalls implements StoreCalls, AutoCloseable {
    /** Time after which a request without an answer has failed. */
    private static final long REQUEST_TIMEOUT_MICROS = 10 * Micros.SECOND;

    private static final long RETRY_DELAY_MILLIS = 500;
    /** The changes since the first page of a prefix are read in one response. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient http;
    /** Minimum time between the starts of two requests. */
    private final long intervalNanos;
    /** Earliest time of the next request, on the clock of {@link System#nanoTime}. */
    private long nextCallNanos = System.nanoTime();

    RateLimitedCalls(String endpoint, double callsPerSecond) {
        this.http = new HttpClient(group.next(), endpoint, 1, MAX_RESPONSE_BYTES);
        this.intervalNanos = (long) (1e9 / callsPerSecond);
    }

    @Override
    public Reply get(String path) {
        return call(callback -> http.get(path, REQUEST_TIMEOUT_MICROS, callback));
    }

    @Override
    public Reply post(String path, byte[] body) {
        return call(callback -> http.post(path, body, REQUEST_TIMEOUT_MICROS, callback));
    }

    /** Sends a request on the event loop when the rate limit permits, and waits for its reply. */
    private Reply call(Consumer<Consumer<Reply>> request) {
        sleepNanos(nextCallNanos - System.nanoTime());
        nextCallNanos = Math.max(System.nanoTime(), nextCallNanos) + intervalNanos;
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        group.next().execute(() -> request.accept(reply::complete));
        return reply.join();
    }

    @Override
    public void pause() {
        sleepNanos(TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS));
    }

    private static void sleepNanos(long nanos) {
        if (nanos > 0) {
            try {
                TimeUnit.NANOSECONDS.sleep(nanos);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
