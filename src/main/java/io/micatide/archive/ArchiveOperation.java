package io.micatide.archive;

import io.micatide.store.Transaction;

/** A read or write of the store that an {@link Archiver} requests and whose outcome its caller then reports to it. */
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
     * @param key the key after which the search begins
     */
    record FindAfter(String key) implements ArchiveOperation {}

    /** Reads the manifest; answered by {@link Archiver#manifestRead}. */
    record ReadManifest() implements ArchiveOperation {}

    /**
     * Sends a transaction; answered by {@link Archiver#writeSucceeded}, {@link Archiver#writeConflicted},
     * {@link Archiver#outcomeUnknown} or {@link Archiver#writeRejected}.
     *
     * @param transaction the transaction, with at least one write
     */
    record Write(Transaction transaction) implements ArchiveOperation {}
}
