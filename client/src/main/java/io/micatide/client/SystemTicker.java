package io.micatide.client;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** This machine's clock, and one thread for what is due; it does not keep a program from ending. */
public final class SystemTicker implements Ticker, AutoCloseable {
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(runnable -> {
        Thread thread = new Thread(runnable, "micatide-client");
        thread.setDaemon(true);
        return thread;
    });

    @Override
    public long now() {
        return System.nanoTime() / 1_000;
    }

    @Override
    public Runnable after(long delayMicros, Runnable what) {
        ScheduledFuture<?> due = timers.schedule(what, delayMicros, TimeUnit.MICROSECONDS);
        return () -> due.cancel(false);
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }
}
