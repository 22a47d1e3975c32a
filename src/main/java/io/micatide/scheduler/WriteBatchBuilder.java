package io.micatide.scheduler;

import io.micatide.scheduler.WriteBatch.AdditionalWrites;
import io.micatide.scheduler.WriteBatch.JobWrite;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds a {@link WriteBatch}. Every batch is conditional on the fencing token of its leader, so that the store refuses a
 * write that arrives after a failover.
 */
final class WriteBatchBuilder {
    /** Estimated size in bytes up to which ledgers are added to one transaction. */
    static final int MAX_BYTES = 40_000;
    /** Estimated size of a small record with its key and condition. */
    private static final int SMALL_RECORD_BYTES = 200;
    /** Estimated size of a job's final record or of a deletion. */
    private static final int JOB_END_BYTES = 300;
    /** Estimated size of one machine name in a ledger. */
    private static final int MACHINE_NAME_BYTES = 16;

    private final AdditionalWrites additionalWrites;
    private final List<Transaction.Condition> conditions;
    private final List<Transaction.Write> writes;
    private final List<JobWrite> jobWrites = new ArrayList<>();
    private final List<String> cancelledByDependency = new ArrayList<>();
    private int estimatedBytes;

    WriteBatchBuilder(long fencingToken, AdditionalWrites additionalWrites) {
        this.additionalWrites = additionalWrites;
        this.conditions = new ArrayList<>(additionalWrites.conditions());
        this.writes = new ArrayList<>(additionalWrites.writes());
        this.estimatedBytes = additionalWrites.writes().size() * SMALL_RECORD_BYTES;
        conditions.add(new Transaction.Condition(StoreKeys.LEADER, fencingToken));
    }

    /** Estimated size of a ledger page as part of a transaction. */
    static int estimatedBytes(StoredRecord.Ledger ledger) {
        return SMALL_RECORD_BYTES
                + ledger.finishedTasks().length()
                + MACHINE_NAME_BYTES * ledger.machines().size();
    }

    int writeCount() {
        return writes.size();
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    List<JobWrite> jobWrites() {
        return jobWrites;
    }

    /** Returns whether this many more bytes fit. Into an empty batch anything fits, so that a job larger than a batch can be written. */
    boolean fits(int bytes) {
        return writes.isEmpty() || bytes <= MAX_BYTES - estimatedBytes;
    }

    /** Adds new values of ledger pages of an open job. */
    void addLedgerUpdate(LedgerPages.PageUpdate update) {
        Job job = update.jobWrite().job();
        // Without this condition a late write could recreate the ledger of a finished job: a deleted page satisfies the
        // condition of a page that was never written.
        conditions.add(new Transaction.Condition(StoreKeys.job(job.id()), job.version));
        for (int page : update.jobWrite().pages()) {
            conditions.add(new Transaction.Condition(
                    StoreKeys.ledger(job.id(), page), job.pageVersions.getOrDefault(page, 0L)));
        }
        writes.addAll(update.writes());
        jobWrites.add(update.jobWrite());
        estimatedBytes += update.estimatedBytes();
    }

    /** Adds the deletion of a finished job's ledger pages and, unless null, its final record, which is not stored yet. */
    void addJobEnd(JobWrite jobWrite, StoredRecord.JobRecord finalRecord) {
        Job job = jobWrite.job();
        if (finalRecord != null) {
            conditions.add(new Transaction.Condition(StoreKeys.job(job.id()), job.version));
            writes.add(new Transaction.Write(StoreKeys.job(job.id()), finalRecord, 0));
            estimatedBytes += JOB_END_BYTES;
        }
        for (int page : jobWrite.pages()) {
            String key = StoreKeys.ledger(job.id(), page);
            conditions.add(new Transaction.Condition(key, job.pageVersions.get(page)));
            writes.add(new Transaction.Write(key, null, 0));
            estimatedBytes += JOB_END_BYTES;
        }
        jobWrites.add(jobWrite);
    }

    /** Adds the final record of a job that never started. */
    void addCancelledByDependency(String jobId, long version, StoredRecord.JobRecord finalRecord) {
        conditions.add(new Transaction.Condition(StoreKeys.job(jobId), version));
        writes.add(new Transaction.Write(StoreKeys.job(jobId), finalRecord, 0));
        cancelledByDependency.add(jobId);
    }

    /**
     * Builds the batch.
     *
     * @param layoutVersion version of the layout record, a condition of ledgers with compressed names
     * @return the batch
     */
    WriteBatch build(long layoutVersion) {
        if (hasCompressedNames()) {
            conditions.add(new Transaction.Condition(StoreKeys.LAYOUT, layoutVersion));
        }
        return new WriteBatch(
                new Transaction(conditions, writes),
                jobWrites,
                additionalWrites.provisioningRequests(),
                cancelledByDependency);
    }

    private boolean hasCompressedNames() {
        for (Transaction.Write write : writes) {
            if (write.record() instanceof StoredRecord.Ledger ledger && ledger.compressedNames()) {
                return true;
            }
        }
        return false;
    }
}
