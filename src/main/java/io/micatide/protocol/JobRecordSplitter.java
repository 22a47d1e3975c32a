package io.micatide.protocol;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Splits the record of a new job so that each part fits the store's limit on values: a job may have any number of dependencies. */
public final class JobRecordSplitter {
    /** Upper bound, in bytes, of the JSON around a list of names, including the count of further records. */
    private static final int LIST_OVERHEAD_BYTES = 48;
    /** Bytes of the JSON around a name: two quotes and a comma. */
    private static final int NAME_OVERHEAD_BYTES = 3;

    private JobRecordSplitter() {}

    /**
     * Returns the writes of a new job: its own record and, if its dependencies do not fit in there, further records with the rest.
     *
     * @param jobId id of the job
     * @param record the record with all dependencies
     * @param maxBytes largest value that the store accepts, in bytes
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
        return Optional.of(writes(
                jobId, record, splitNames(record.spec().dependencies(), freeBytes, maxBytes - LIST_OVERHEAD_BYTES)));
    }

    /** Splits the names into pieces in their order. The first piece fits in the job's own record and may be empty. */
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
                    StoreKeys.furtherDependencies(jobId, piece),
                    new StoredRecord.FurtherDependencies(pieces.get(piece)),
                    0));
        }
        return writes;
    }
}
