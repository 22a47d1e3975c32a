package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.model.Settings;

/**
 * Decides whether the leader may act on the state that it knows. Three times matter: the last read of the store, the end of the lease, and the last
 * time that the process resumed after a pause.
 *
 * <p>Invariants: a task is started only while the lease is certainly held and the store, which holds the cancellations, was read recently; a read
 * that was requested before a pause of the process never counts. Machines without heartbeats are regarded as failed only after they had time to send
 * one to the resumed process.
 */
final class StartGuard {
    /** Tasks are started only if the last read of the store was requested within this time. */
    private static final long MAX_STORE_READ_AGE_MICROS = 4 * Micros.SECOND;
    /** Earlier than any time that is compared with it, and small enough in magnitude that differences don't overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final long resumeGracePeriodMicros;
    private long storeReadMicros;
    private long leaseHeldUntilMicros = Long.MAX_VALUE;
    private long resumedMicros = NEVER_MICROS;

    /** @param nowMicros time of the claim of the term, which counts as a read of the store */
    StartGuard(Settings settings, long nowMicros) {
        this.resumeGracePeriodMicros = 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
        this.storeReadMicros = nowMicros;
    }

    /** Records a read of the store that was requested at the given time and whose response has been applied. */
    void storeReadAt(long requestSentMicros) {
        if (requestSentMicros >= resumedMicros) {
            storeReadMicros = Math.max(storeReadMicros, requestSentMicros);
        }
    }

    /** Sets the time until which the lease is certainly held as it is known now. */
    void leaseHeldUntil(long untilMicros) {
        leaseHeldUntilMicros = untilMicros;
    }

    /** Records that the process resumed after a pause, which outdates all earlier reads of the store. */
    void processResumed(long nowMicros) {
        resumedMicros = nowMicros;
        storeReadMicros = Math.min(storeReadMicros, nowMicros - MAX_STORE_READ_AGE_MICROS - 1);
    }

    /** Returns whether tasks may be started. */
    boolean mayStartTasks(long nowMicros) {
        return nowMicros - storeReadMicros <= MAX_STORE_READ_AGE_MICROS && nowMicros < leaseHeldUntilMicros;
    }

    /** Returns whether a machine without recent heartbeats may be regarded as failed. */
    boolean mayDetectFailures(long nowMicros) {
        return nowMicros - resumedMicros > resumeGracePeriodMicros;
    }

    /** Returns whether machines may be rented and returned. Cloud calls are not fenced, so the lease must certainly be held. */
    boolean mayCallCloud(long nowMicros) {
        return nowMicros < leaseHeldUntilMicros && mayDetectFailures(nowMicros);
    }
}
