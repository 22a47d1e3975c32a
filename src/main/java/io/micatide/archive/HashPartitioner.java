package io.micatide.archive;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;

/**
 * Assigns ids to the segments of a run: the segments share the range of a keyed hash evenly, so a run needs no index, and nobody who
 * chooses ids can fill one segment. The hash of an archive never changes: its key stands in the manifest.
 */
final class HashPartitioner {
    /** The upper half of the hash decides; the product with a number of segments then fits a long. */
    private static final int HALF_BITS = 32;

    private final HashFunction hash;

    /** @param manifest whose salt is the key of the hash */
    HashPartitioner(StoredRecord.ArchiveManifest manifest) {
        hash = Hashing.sipHash24(manifest.saltA(), manifest.saltB());
    }

    long hash(String id) {
        return hash.hashString(id, StandardCharsets.UTF_8).asLong();
    }

    /** The number of the segment, from 0, that holds an id of this hash in a run of so many segments. */
    static int segmentOf(long hash, int segments) {
        return (int) (((hash >>> HALF_BITS) * segments) >>> HALF_BITS);
    }

    /** Whether segment {@code number} of {@code count} begins before the end of segment {@code other} of {@code otherCount}. */
    static boolean startsBeforeEnd(int number, int count, int other, int otherCount) {
        return (long) number * otherCount < (long) (other + 1) * count;
    }
}
