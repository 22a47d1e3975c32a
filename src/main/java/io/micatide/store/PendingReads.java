package io.micatide.store;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * Reads keys one after another, one request at a time, whatever the answers are. A controller that was cut off from the
 * state service once ran out of memory here: each failed read asked for two more.
 */
public final class PendingReads {
    private final Deque<String> unreadKeys;
    private boolean readInFlight;

    public PendingReads(Collection<String> keys) {
        unreadKeys = new ArrayDeque<>(keys);
    }

    /** The key to read now, or null while a read is under way or everything is read. */
    public String next() {
        if (readInFlight || unreadKeys.isEmpty()) {
            return null;
        }
        readInFlight = true;
        return unreadKeys.peekFirst();
    }

    /** The answer to the read that is under way was taken in. */
    public void keyRead() {
        if (readInFlight) {
            readInFlight = false;
            unreadKeys.removeFirst();
        }
    }

    /** The read that is under way failed; the same key is next, after a pause that the caller makes. */
    public void keyFailed() {
        readInFlight = false;
    }

    public boolean isFinished() {
        return unreadKeys.isEmpty();
    }
}
