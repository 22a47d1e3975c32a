package io.micatide.archive;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tracks segments in the store that the manifest does not name and that are to be deleted, and the sweep over all keys of the archive that
 * finds those which previous leaders left behind.
 *
 * <p>Invariant: a segment is added only when no manifest names its run, now or later: names of runs are never reused.
 */
final class UnreferencedSegments {
    /** Suffix that, appended to the name of a run, sorts after all segment keys of the run. */
    private static final String AFTER_LAST_SEGMENT = "/~";

    private final Deque<String> keys = new ArrayDeque<>();
    private String sweepCursor = StoreKeys.ARCHIVE_SEGMENTS;
    private boolean isSweepComplete;
    private boolean isSweepRequired;

    boolean isEmpty() {
        return keys.isEmpty();
    }

    boolean isSweepComplete() {
        return isSweepComplete;
    }

    /** Returns the key after which the sweep continues. */
    String sweepCursor() {
        return sweepCursor;
    }

    /**
     * Advances the sweep by one key; skips the other segments of a run that the manifest names.
     *
     * @param key the first key after {@link #sweepCursor}, or null if there is none
     * @param manifest the current manifest
     */
    void keyFound(String key, StoredRecord.ArchiveManifest manifest) {
        if (key == null || !key.startsWith(StoreKeys.ARCHIVE_SEGMENTS)) {
            isSweepComplete = true;
            return;
        }
        int slash = key.indexOf('/', StoreKeys.ARCHIVE_SEGMENTS.length());
        String run = slash < 0 ? "" : key.substring(StoreKeys.ARCHIVE_SEGMENTS.length(), slash);
        if (manifest.runs().stream().anyMatch(named -> named.name().equals(run))) {
            sweepCursor = StoreKeys.ARCHIVE_SEGMENTS + run + AFTER_LAST_SEGMENT;
        } else {
            keys.add(key);
            sweepCursor = key;
        }
    }

    /** Adds the first {@code segments} segments of a run. */
    void addRun(String run, int segments) {
        for (int number = 0; number < segments; number++) {
            keys.add(StoreKeys.segment(run, number));
        }
    }

    /** Notes that a run was abandoned: one of its writes may still reach the store, so another sweep follows the manifest's next change. */
    void requireSweep() {
        isSweepRequired = true;
    }

    /**
     * Notes that the manifest has a new version and starts the required sweep, if any. Every write of a segment has the manifest's version as
     * a condition, so late writes of runs abandoned before now fail, and the sweep finds all of their segments.
     */
    void manifestChanged() {
        if (isSweepRequired) {
            isSweepRequired = false;
            isSweepComplete = false;
            sweepCursor = StoreKeys.ARCHIVE_SEGMENTS;
        }
    }

    /** Returns deletes of up to {@code maxWrites} segments, in the order in which the segments were added. */
    List<Transaction.Write> planDeletes(int maxWrites) {
        List<Transaction.Write> writes = new ArrayList<>();
        for (String key : keys) {
            if (writes.size() < maxWrites) {
                writes.add(new Transaction.Write(key, null, 0));
            }
        }
        return writes;
    }

    /** Notes that a segment was deleted from the store. */
    void segmentDeleted(String key) {
        keys.remove(key);
    }
}
