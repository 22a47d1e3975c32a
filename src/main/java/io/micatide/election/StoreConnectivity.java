package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Detects whether only this controller is partitioned from the store. By itself it cannot distinguish a partition from an outage of the
 * store; a peer that the store answers shows that there is no outage. In an outage the controller has to report itself healthy, since no
 * other controller could serve users better.
 *
 * <p>Times are microseconds on the process's steady clock. Not thread-safe.
 */
public final class StoreConnectivity {
    /** An answer of the store counts for this long. */
    private static final long RECENT_MICROS = 2 * Micros.SECOND;
    /** Earlier than any relevant time, yet differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private long ownAnswerMicros = NEVER_MICROS;
    private long peerAnswerMicros = NEVER_MICROS;

    /** Creates the state in which the store has answered neither this controller nor a peer. */
    public StoreConnectivity() {}

    /**
     * Records that the store answered this controller.
     *
     * @param nowMicros current time
     */
    public void storeAnswered(long nowMicros) {
        ownAnswerMicros = nowMicros;
    }

    /**
     * Records a peer's report that the store answers it.
     *
     * @param nowMicros current time
     */
    public void peerReachedStore(long nowMicros) {
        peerAnswerMicros = nowMicros;
    }

    /**
     * Returns whether the store answered this controller within the last two seconds.
     *
     * @param nowMicros current time
     * @return false also if no request was sent to the store within that time
     */
    public boolean isConnected(long nowMicros) {
        return nowMicros - ownAnswerMicros < RECENT_MICROS;
    }

    /**
     * Returns whether the store answers a peer but not this controller, so that another controller serves users better.
     *
     * @param nowMicros current time
     * @return false in an outage of the store, and if no peer is reachable
     */
    public boolean isOnlyControllerPartitioned(long nowMicros) {
        return !isConnected(nowMicros) && nowMicros - peerAnswerMicros < RECENT_MICROS;
    }
}
