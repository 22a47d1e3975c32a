package io.micatide.store;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * A queue of keys that are read one after another, with at most one request in flight, also after failures. Without this limit a
 * controller that could not reach the store ran out of memory, since each failed read started two more.
 */
public final class PendingReads {
    private final Deque<String> unreadKeys;
    private boolean readInFlight;

    /**
     * Creates a queue of the given keys.
     *
     * @param keys in the order in which they are read
     */
    public PendingReads(Collection<String> keys) {
        unreadKeys = new ArrayDeque<>(keys);
    }

    /**
     * Returns the key to read now and marks its read as in flight.
     *
     * @return null while a read is in flight or when no key is left
     */
    public String startNextRead() {
        if (readInFlight || unreadKeys.isEmpty()) {
            return null;
        }
        readInFlight = true;
        return unreadKeys.peekFirst();
    }

    /** Removes the key of the read in flight, whose answer was applied. */
    public void readCompleted() {
        if (readInFlight) {
            readInFlight = false;
            unreadKeys.removeFirst();
        }
    }

    /** Marks the read in flight as failed. The same key is read next; the caller waits before it retries. */
    public void readFailed() {
        readInFlight = false;
    }

    /**
     * Returns whether every key was read.
     *
     * @return true once no key is left
     */
    public boolean isFinished() {
        return unreadKeys.isEmpty();
    }
}
