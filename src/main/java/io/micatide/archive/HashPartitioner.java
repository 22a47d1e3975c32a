package io.micatide.archive;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;

/**
 * Assigns job ids to the segments of a run. Each segment covers an equal part of the range of a keyed hash, so a run needs no index, and a
 * user who chooses ids cannot direct them all to one segment. The hash of an archive never changes: its key is part of the manifest.
 */
final class HashPartitioner {
    /** Number of upper bits of the hash that are used, so that their product with a number of segments fits a long. */
    private static final int HALF_BITS = 32;

    private final HashFunction hash;

    /** @param manifest manifest whose salt is the key of the hash */
    HashPartitioner(StoredRecord.ArchiveManifest manifest) {
        hash = Hashing.sipHash24(manifest.saltA(), manifest.saltB());
    }

    long hash(String id) {
        return hash.hashString(id, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the number, from 0, of the segment that holds an id with the given hash in a run with the given number of segments. */
    static int segmentOf(long hash, int segments) {
        return (int) (((hash >>> HALF_BITS) * segments) >>> HALF_BITS);
    }

    /** Returns whether segment {@code number} of {@code count} begins before the end of segment {@code other} of {@code otherCount}. */
    static boolean startsBeforeEnd(int number, int count, int other, int otherCount) {
        return (long) number * otherCount < (long) (other + 1) * count;
    }
}
