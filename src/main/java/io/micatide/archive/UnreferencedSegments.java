package io.micatide.archive;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Segments in the store that the manifest does not name, and the sweep over all keys of the archive that finds those of earlier leaders.
 *
 * <p>Invariant: a segment is added only when no manifest names its run, now or later: names of runs are never used again.
 */
final class UnreferencedSegments {
    /** Comes after every segment key of a run. */
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

    /** The key after which the sweep goes on. */
    String sweepCursor() {
        return sweepCursor;
    }

    /**
     * Takes the sweep one step further.
     *
     * @param key the first key after {@link #sweepCursor}, null if there is none
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

    /** The first segments of a run, to be deleted. */
    void addRun(String run, int segments) {
        for (int number = 0; number < segments; number++) {
            keys.add(StoreKeys.segment(run, number));
        }
    }

    /** A run was given up: a write of it may still arrive, so there is another sweep after the manifest's next change. */
    void requireSweep() {
        isSweepRequired = true;
    }

    /**
     * The manifest has a new version. Every segment's write has the version as a condition, so what was given up before cannot arrive any
     * more and a sweep now finds all of it.
     */
    void manifestChanged() {
        if (isSweepRequired) {
            isSweepRequired = false;
            isSweepComplete = false;
            sweepCursor = StoreKeys.ARCHIVE_SEGMENTS;
        }
    }

    /** Deletes of the segments that were found first. */
    List<Transaction.Write> planDeletes(int maxWrites) {
        List<Transaction.Write> writes = new ArrayList<>();
        for (String key : keys) {
            if (writes.size() < maxWrites) {
                writes.add(new Transaction.Write(key, null, 0));
            }
        }
        return writes;
    }

    /** A segment is gone from the store. */
    void segmentDeleted(String key) {
        keys.remove(key);
    }
}
