package io.micatide.client;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many requests may be under way: one more for each window of answers, half of them when the service is overloaded, at most once in a
 * second. Those above it wait in their order. Safe for any thread.
 */
final class CallLimit {
    private static final double HALF = 0.5;
    private static final long ONCE_MICROS = 1_000_000;

    private final int most;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private double limit;
    private int underWay;
    private long loweredMicros = Long.MIN_VALUE / 2;

    CallLimit(int first, int most) {
        this.limit = Math.min(first, most);
        this.most = most;
    }

    /** Begins it now or when there is room; {@link #forget} takes it back while it waits. */
    void begin(Runnable what) {
        synchronized (this) {
            if (underWay >= (int) limit) {
                waiting.addLast(what);
                return;
            }
            underWay++;
        }
        what.run();
    }

    /** Whether it waited and does not any more. */
    synchronized boolean forget(Runnable what) {
        return waiting.remove(what);
    }

    /** A request is over; {@code overloaded}: it was refused for that (429), or not answered in time. */
    void ended(boolean overloaded, long nowMicros) {
        Runnable next;
        synchronized (this) {
            underWay--;
            if (!overloaded) {
                limit = Math.min(most, limit + 1 / limit);
            } else if (nowMicros - loweredMicros >= ONCE_MICROS) {
                loweredMicros = nowMicros;
                limit = Math.max(1, limit * HALF);
            }
            next = underWay < (int) limit ? waiting.pollFirst() : null;
            if (next != null) {
                underWay++;
            }
        }
        if (next != null) {
            next.run();
        }
    }

    synchronized int limit() {
        return (int) limit;
    }

    synchronized int underWay() {
        return underWay;
    }
}
