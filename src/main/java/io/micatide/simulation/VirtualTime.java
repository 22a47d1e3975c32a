package io.micatide.simulation;

import io.micatide.controller.ActorExecutor;
import java.util.PriorityQueue;

/** Time that passes only when there is nothing left to do at its present moment; the same events in the same order each time. */
public final class VirtualTime {
    private record Event(long atMicros, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Time of day at the beginning; any will do. */
    private static final long WALL_MICROS = 1_790_000_000_000_000L;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now = 1;
    private long number;

    public long now() {
        return now;
    }

    public void at(long micros, Runnable what) {
        events.add(new Event(Math.max(now, micros), number++, what));
    }

    /** Lets so much time pass. */
    public void run(long micros) {
        long end = now + micros;
        while (!events.isEmpty() && events.peek().atMicros() <= end) {
            Event next = events.poll();
            now = next.atMicros();
            next.what().run();
        }
        now = end;
    }

    /** A process: what it still had to do is dropped when it ends. */
    public final class Process implements ActorExecutor {
        private boolean hasEnded;
        private long standsUntil;
        private long busyNanos;
        private long longestNanos;

        /** What one piece of its work took at most since the last call. */
        public long longestNanos() {
            long longest = longestNanos;
            longestNanos = 0;
            return longest;
        }

        /** What it has taken of this machine's time so far. */
        public long busyNanos() {
            return busyNanos;
        }

        /** Stands still for so long while its clocks run on; what would have happened to it meanwhile happens after it. */
        public void pause(long micros) {
            standsUntil = Math.max(standsUntil, now + micros);
        }

        public void end() {
            hasEnded = true;
        }

        public boolean hasEnded() {
            return hasEnded;
        }

        @Override
        public void execute(Runnable what) {
            executeLater(what, 0);
        }

        @Override
        public void executeLater(Runnable what, long delayMicros) {
            at(now + Math.max(0, delayMicros), () -> run(what));
        }

        private void run(Runnable what) {
            if (hasEnded) {
                return;
            }
            if (now < standsUntil) {
                at(standsUntil, () -> run(what));
            } else {
                long began = System.nanoTime();
                what.run();
                long took = System.nanoTime() - began;
                busyNanos += took;
                longestNanos = Math.max(longestNanos, took);
            }
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public long wallClockMicros() {
            return WALL_MICROS + now;
        }
    }
}
