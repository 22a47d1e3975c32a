package io.micatide.archive;

import io.micatide.store.Transaction;

/** A read or write that an {@link Archiver} asks of the store, and whose outcome it is then told. */
public sealed interface ArchiveOperation {
    /**
     * Reads a segment; answered by {@link Archiver#segmentRead} or {@link Archiver#segmentDamaged}.
     *
     * @param key the segment's key
     */
    record ReadSegment(String key) implements ArchiveOperation {}

    /**
     * Finds the first key of the archive after another; answered by {@link Archiver#keyFound}.
     *
     * @param key the key after which to look
     */
    record FindAfter(String key) implements ArchiveOperation {}

    /** Reads the manifest; answered by {@link Archiver#manifestRead}. */
    record ReadManifest() implements ArchiveOperation {}

    /**
     * Carries out a transaction; answered by {@link Archiver#writeSucceeded}, {@link Archiver#writeConflicted},
     * {@link Archiver#outcomeUnknown} or {@link Archiver#writeRejected}.
     *
     * @param transaction what to write; never without a write
     */
    record Write(Transaction transaction) implements ArchiveOperation {}
}
