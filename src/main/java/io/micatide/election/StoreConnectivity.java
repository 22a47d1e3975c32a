package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Whether this controller alone has lost the state service. It cannot tell that from an outage by itself; a sibling that
 * is served can tell it. In an outage it has to stay healthy, since nobody could serve users better.
 */
public final class StoreConnectivity {
    private static final long PATIENCE_MICROS = 2 * Micros.SECOND;

    private long servedMicros = Long.MIN_VALUE / 2;
    private long siblingServedMicros = Long.MIN_VALUE / 2;

    /** The state service answered this controller. */
    public void requestServed(long nowMicros) {
        servedMicros = nowMicros;
    }

    /** A sibling says that the state service answers it. */
    public void peerServed(long nowMicros) {
        siblingServedMicros = nowMicros;
    }

    public boolean isConnected(long nowMicros) {
        return nowMicros - servedMicros < PATIENCE_MICROS;
    }

    public boolean isPartitionedAlone(long nowMicros) {
        return !isConnected(nowMicros) && nowMicros - siblingServedMicros < PATIENCE_MICROS;
    }
}
