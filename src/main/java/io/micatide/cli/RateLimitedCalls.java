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

/** Calls of a state service from a command line: one after the other, no more than so many a second. */
final class RateLimitedCalls implements StoreCalls, AutoCloseable {
    private static final long REQUEST_TIMEOUT_MICROS = 10 * Micros.SECOND;
    private static final long RETRY_DELAY_MILLIS = 500;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient http;
    private final long intervalNanos;
    private long nextCallNanos = System.nanoTime();

    RateLimitedCalls(String endpoint, double callsASecond) {
        this.http = new HttpClient(group.next(), endpoint, 1);
        this.intervalNanos = (long) (1e9 / callsASecond);
    }

    @Override
    public Reply get(String path) {
        return call(then -> http.get(path, REQUEST_TIMEOUT_MICROS, then));
    }

    @Override
    public Reply post(String path, byte[] body) {
        return call(then -> http.post(path, body, REQUEST_TIMEOUT_MICROS, then));
    }

    private Reply call(Consumer<Consumer<Reply>> what) {
        sleepNanos(nextCallNanos - System.nanoTime());
        nextCallNanos = Math.max(System.nanoTime(), nextCallNanos) + intervalNanos;
        CompletableFuture<Reply> answer = new CompletableFuture<>();
        group.next().execute(() -> what.accept(answer::complete));
        return answer.join();
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
