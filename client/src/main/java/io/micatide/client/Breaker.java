package io.micatide.client;

/**
 * Whether a controller is worth a try. After failures in a row it is left alone for a while that doubles, and then tried by one call
 * first. Not an answer is a failure, and so are statuses that say nothing of the request (5xx but 503 with an answer of the service). Safe for
 * any thread.
 */
final class Breaker {
    private static final int FAILURES = 3;
    private static final long FIRST_PAUSE_MICROS = 1_000_000;
    private static final long MOST_PAUSE_MICROS = 16_000_000;

    private int failures;
    private long pauseMicros = FIRST_PAUSE_MICROS;
    private long closedUntilMicros = Long.MIN_VALUE / 2;
    private boolean probing;

    /** Whether a call may go there now. */
    synchronized boolean allows(long nowMicros) {
        return failures < FAILURES || nowMicros >= closedUntilMicros && !probing;
    }

    /** A call goes there. */
    synchronized void begins() {
        probing = failures >= FAILURES;
    }

    synchronized void succeeded() {
        failures = 0;
        probing = false;
        pauseMicros = FIRST_PAUSE_MICROS;
    }

    synchronized void failed(long nowMicros) {
        probing = false;
        if (++failures >= FAILURES) {
            closedUntilMicros = nowMicros + pauseMicros;
            pauseMicros = Math.min(MOST_PAUSE_MICROS, 2 * pauseMicros);
        }
    }

    /** The call was given up by its caller, which says nothing of the controller. */
    synchronized void givenUp() {
        probing = false;
    }
}
