package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Whether this controller alone has lost the state service. It cannot tell that from an outage by itself; a sibling that
 * is served can tell it. In an outage it has to stay healthy, since nobody could serve users better.
 */
public final class StoreConnectivity {
    private static final long RECENT_MICROS = 2 * Micros.SECOND;

    private long ownAnswerMicros = Long.MIN_VALUE / 2;
    private long peerAnswerMicros = Long.MIN_VALUE / 2;

    /** The state service answered this controller. */
    public void requestServed(long nowMicros) {
        ownAnswerMicros = nowMicros;
    }

    /** A sibling says that the state service answers it. */
    public void peerServed(long nowMicros) {
        peerAnswerMicros = nowMicros;
    }

    public boolean isConnected(long nowMicros) {
        return nowMicros - ownAnswerMicros < RECENT_MICROS;
    }

    public boolean isPartitionedAlone(long nowMicros) {
        return !isConnected(nowMicros) && nowMicros - peerAnswerMicros < RECENT_MICROS;
    }
}
