package io.micatide.store;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * A queue of keys that are read one after another, with one request in flight whatever the answers are. A controller
 * that was cut off from the store once ran out of memory here: each failed read asked for two more.
 */
public final class PendingReads {
    private final Deque<String> unreadKeys;
    private boolean readInFlight;

    /**
     * Makes a queue of keys.
     *
     * @param keys in the order in which they are read
     */
    public PendingReads(Collection<String> keys) {
        unreadKeys = new ArrayDeque<>(keys);
    }

    /**
     * Takes the key to read now.
     *
     * @return null while a read is in flight or everything is read
     */
    public String startNextRead() {
        if (readInFlight || unreadKeys.isEmpty()) {
            return null;
        }
        readInFlight = true;
        return unreadKeys.peekFirst();
    }

    /** The answer to the read in flight was applied. */
    public void readCompleted() {
        if (readInFlight) {
            readInFlight = false;
            unreadKeys.removeFirst();
        }
    }

    /** The read in flight failed; the same key is next, after a pause that the caller makes. */
    public void readFailed() {
        readInFlight = false;
    }

    /**
     * Whether every key was read.
     *
     * @return true once no key is left
     */
    public boolean isFinished() {
        return unreadKeys.isEmpty();
    }
}
