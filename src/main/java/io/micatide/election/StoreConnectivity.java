package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Whether this controller alone is partitioned from the store. It cannot tell that from an outage of the store by itself; a peer that the
 * store answers can. In an outage it has to stay healthy, since no other controller could serve users better. Times are microseconds on
 * the process's steady clock. Not thread-safe.
 */
public final class StoreConnectivity {
    private static final long RECENT_MICROS = 2 * Micros.SECOND;
    /** Longer ago than any time that counts, and far enough from the range's end to be subtracted from. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private long ownAnswerMicros = NEVER_MICROS;
    private long peerAnswerMicros = NEVER_MICROS;

    /** Neither this controller nor a peer has had an answer yet. */
    public StoreConnectivity() {}

    /**
     * The store answered this controller.
     *
     * @param nowMicros the time
     */
    public void storeAnswered(long nowMicros) {
        ownAnswerMicros = nowMicros;
    }

    /**
     * A peer says that the store answers it.
     *
     * @param nowMicros the time
     */
    public void peerReachedStore(long nowMicros) {
        peerAnswerMicros = nowMicros;
    }

    /**
     * Whether the store has answered this controller within the last two seconds.
     *
     * @param nowMicros the time
     * @return false also if nothing was asked for as long
     */
    public boolean isConnected(long nowMicros) {
        return nowMicros - ownAnswerMicros < RECENT_MICROS;
    }

    /**
     * Whether the store answers a peer but not this controller, so that users are better off elsewhere.
     *
     * @param nowMicros the time
     * @return false in an outage of the store, and if no peer can be heard
     */
    public boolean isOnlyControllerPartitioned(long nowMicros) {
        return !isConnected(nowMicros) && nowMicros - peerAnswerMicros < RECENT_MICROS;
    }
}
