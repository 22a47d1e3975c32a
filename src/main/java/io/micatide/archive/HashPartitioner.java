package io.micatide.archive;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;

/**
 * Which segment of a run has an id: the segments share the range of a keyed hash evenly, so a run needs no index, and nobody who
 * chooses ids can fill one segment. The hash of an archive never changes: its key stands in the manifest.
 */
final class HashPartitioner {
    private static final int HALF = 32;

    private final HashFunction hash;

    HashPartitioner(StoredRecord.ArchiveManifest manifest) {
        hash = Hashing.sipHash24(manifest.saltA(), manifest.saltB());
    }

    long hash(String id) {
        return hash.hashString(id, StandardCharsets.UTF_8).asLong();
    }

    static int segmentOf(long hash, int segments) {
        return (int) (((hash >>> HALF) * segments) >>> HALF);
    }

    /** Whether segment {@code number} of {@code of} begins before the end of segment {@code before} of {@code beforeOf}. */
    static boolean startsBeforeEnd(int number, int of, int before, int beforeOf) {
        return (long) number * beforeOf < (long) (before + 1) * of;
    }
}
