package io.micatide.protocol;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Splits a new job's record into as many as the size limit of a value asks for: a job may have any number of dependencies. */
public final class JobRecordSplitter {
    /** What the frame of a list of names and the number of further records take at most. */
    private static final int LIST_OVERHEAD_BYTES = 48;
    /** What a name takes besides its letters: quotes and comma. */
    private static final int NAME_OVERHEAD_BYTES = 3;

    private JobRecordSplitter() {}

    /**
     * Makes the writes of a new job: its own record and, for names of dependencies that it has no room for, further ones.
     *
     * @param jobId the job
     * @param record the whole record
     * @param maxBytes the largest value that the store takes
     * @return the writes for one transaction, or empty if the job does not fit even without its dependencies
     */
    public static Optional<List<Transaction.Write>> split(String jobId, StoredRecord.JobRecord record, int maxBytes) {
        if (StoreCodec.encodedBytes(record) <= maxBytes) {
            return Optional.of(List.of(new Transaction.Write(StoreKeys.job(jobId), record, 0)));
        }
        if (record.spec() == null) {
            return Optional.empty();
        }
        int bytesWithoutNames = StoreCodec.encodedBytes(record.withDependencies(List.of(), 0));
        int freeBytes = maxBytes - LIST_OVERHEAD_BYTES - bytesWithoutNames;
        if (freeBytes < 0) {
            return Optional.empty();
        }
        return Optional.of(
                writes(jobId, record, splitNames(record.spec().dependencies(), freeBytes, maxBytes - LIST_OVERHEAD_BYTES)));
    }

    /** The names in pieces; the first one is the part that the job's own record has room for. */
    private static List<List<String>> splitNames(List<String> names, int firstPieceBytes, int pieceBytes) {
        List<List<String>> pieces = new ArrayList<>(List.of(new ArrayList<>()));
        int freeBytes = firstPieceBytes;
        for (String name : names) {
            int nameBytes = name.length() + NAME_OVERHEAD_BYTES;
            freeBytes -= nameBytes;
            if (freeBytes < 0) {
                pieces.add(new ArrayList<>());
                freeBytes = pieceBytes - nameBytes;
            }
            pieces.get(pieces.size() - 1).add(name);
        }
        return pieces;
    }

    private static List<Transaction.Write> writes(
            String jobId, StoredRecord.JobRecord record, List<List<String>> pieces) {
        List<Transaction.Write> writes = new ArrayList<>();
        writes.add(new Transaction.Write(
                StoreKeys.job(jobId), record.withDependencies(pieces.get(0), pieces.size() - 1), 0));
        for (int piece = 1; piece < pieces.size(); piece++) {
            writes.add(new Transaction.Write(
                    StoreKeys.dependencies(jobId, piece), new StoredRecord.FurtherDependencies(pieces.get(piece)), 0));
        }
        return writes;
    }
}
