package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.model.Settings;

/**
 * Whether a leader may act on what it knows, by three times: its last read of the store, the end of its lease, and when its process last went on
 * after it had stood still.
 *
 * <p>Invariants: a task is started only while the lease is certainly held and the store was read a short time ago, since cancellations are found
 * there; a read that was asked for before the process stood still never counts. Silent machines are taken for failed only after they had time to
 * report to the process that went on.
 */
final class StartGuard {
    private static final long MAX_STORE_READ_AGE_MICROS = 4 * Micros.SECOND;
    /** Longer ago than any time that is compared with it, and far enough from overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final long resumeGracePeriodMicros;
    private long storeReadMicros;
    private long leaseHeldUntilMicros = Long.MAX_VALUE;
    private long resumedMicros = NEVER_MICROS;

    /** @param nowMicros the claim of the term, which counts as a read of the store */
    StartGuard(Settings settings, long nowMicros) {
        this.resumeGracePeriodMicros = 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
        this.storeReadMicros = nowMicros;
    }

    /** The store was asked at that time, and the answer is applied. */
    void storeReadAt(long requestedMicros) {
        if (requestedMicros >= resumedMicros) {
            storeReadMicros = Math.max(storeReadMicros, requestedMicros);
        }
    }

    /** Until when the lease is certainly held, as far as is known now. */
    void leaseHeldUntil(long untilMicros) {
        leaseHeldUntilMicros = untilMicros;
    }

    /** The process stood still until now. */
    void processResumed(long nowMicros) {
        resumedMicros = nowMicros;
        storeReadMicros = Math.min(storeReadMicros, nowMicros - MAX_STORE_READ_AGE_MICROS - 1);
    }

    /** Whether tasks may be started. */
    boolean mayStartTasks(long nowMicros) {
        return nowMicros - storeReadMicros <= MAX_STORE_READ_AGE_MICROS && nowMicros < leaseHeldUntilMicros;
    }

    /** Whether a machine that is silent for too long may be taken for failed. */
    boolean mayDetectFailures(long nowMicros) {
        return nowMicros - resumedMicros > resumeGracePeriodMicros;
    }

    /** Whether machines may be rented and returned: cloud calls are not fenced. */
    boolean mayCallCloud(long nowMicros) {
        return nowMicros < leaseHeldUntilMicros && mayDetectFailures(nowMicros);
    }
}
