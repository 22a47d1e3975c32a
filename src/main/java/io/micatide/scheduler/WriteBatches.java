package io.micatide.scheduler;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;

/**
 * Composes the writes of a leader into one transaction at a time: ledgers and final records of jobs, provisioning requests, machines to delete, and
 * deletions of ledgers that belong to no open job.
 *
 * <p>Invariant: at most one batch is in flight, and the next is composed only after the outcome of the previous one was reported by exactly one of
 * {@link #confirmed}, {@link #rejected}, {@link #conflicted}, {@link #notExecuted} and {@link #resolved}.
 */
final class WriteBatches {
    private final ClusterState cluster;
    private final JobLedgers ledgers;
    private final CloudRecords cloudRecords;
    private final PlacementPlanner planner;
    private final JobOutcomes jobOutcomes;
    private final WriteBudget budget;
    /** Deletions of ledgers without an open job. */
    private final List<Transaction.Write> orphanedLedgerDeletions = new ArrayList<>();
    /** The batch whose outcome is unknown, or null. */
    private WriteBatch inFlight;

    WriteBatches(
            ClusterState cluster,
            CloudRecords cloudRecords,
            PlacementPlanner planner,
            JobOutcomes jobOutcomes,
            WriteBudget budget) {
        this.cluster = cluster;
        this.ledgers = cluster.ledgers();
        this.cloudRecords = cloudRecords;
        this.planner = planner;
        this.jobOutcomes = jobOutcomes;
        this.budget = budget;
    }

    /** Adds the deletion of a stored ledger that belongs to no open job to a later batch. */
    void deleteOrphanedLedger(String key) {
        orphanedLedgerDeletions.add(new Transaction.Write(key, null, 0));
    }

    /** Returns the number of writes that are available for other purposes now; 0 while a batch is in flight. */
    int spareWrites(long nowMicros) {
        budget.refill(nowMicros);
        return inFlight != null ? 0 : budget.spareWrites();
    }

    /** Deducts writes that this leader sent outside of the batches. */
    void spend(int writes) {
        budget.spend(writes);
    }

    /**
     * Composes the next transaction to send.
     *
     * @param nowMicros current time on the steady clock
     * @param wallMicros the time of day, which the records of completed jobs keep
     * @return the transaction, or null if there is nothing to write, no budget for it, or a batch in flight
     */
    Transaction next(long nowMicros, long wallMicros) {
        if (inFlight != null) {
            return null;
        }
        budget.refill(nowMicros);
        int limit = budget.transactionLimit();
        if (limit < 1) {
            return null;
        }
        List<Transaction.Write> deletions =
                orphanedLedgerDeletions.subList(0, Math.min(orphanedLedgerDeletions.size(), limit / 2));
        CloudRecords.BatchPart cloudRecordsPart =
                cloudRecords.nextBatchPart(cluster.fleet().machines(), deletions, limit, nowMicros);
        planner.beginWriteBatch(nowMicros);
        WriteBatch batch = ledgers.nextWriteBatch(
                        nowMicros,
                        wallMicros,
                        new WriteBatch.Limits(limit, budget.deferrableLimit()),
                        new WriteBatch.AdditionalWrites(
                                cloudRecordsPart.requests(), cloudRecordsPart.writes(), cloudRecordsPart.conditions()),
                        (job, maxMachines) -> planner.candidateMachines(job, maxMachines, nowMicros))
                .orElse(null);
        if (batch == null) {
            cloudRecords.partDiscarded(cloudRecordsPart);
            return null;
        }
        cloudRecords.partSent(cloudRecordsPart);
        budget.spend(batch.transaction().writes().size());
        inFlight = batch;
        return batch.transaction();
    }

    /** Records that the store executed the batch in flight, with this revision. */
    void confirmed(long revision, long nowMicros) {
        WriteBatch batch = takeInFlight();
        for (Transaction.Write write : batch.transaction().writes()) {
            if (MachineDeletions.owns(write.key())) {
                cloudRecords.deletionWritten(write, revision);
            } else if (write.record() == null) {
                orphanedLedgerDeletions.remove(write);
            }
        }
        recordOutcomes(batch, revision);
        ledgers.writeConfirmed(batch, revision, nowMicros);
        cloudRecords.requestsWritten(batch, revision);
    }

    private void recordOutcomes(WriteBatch batch, long revision) {
        for (WriteBatch.JobWrite jobWrite : batch.jobWrites()) {
            if (jobWrite.endsJob() && !jobWrite.job().cancelled) {
                jobOutcomes.jobCompleted(jobWrite.job());
            }
        }
        for (Transaction.Write write : batch.transaction().writes()) {
            if (write.record() instanceof StoredRecord.JobRecord record) {
                jobOutcomes.finalRecordStored(write.key().substring(StoreKeys.JOBS.length()), record, revision);
            }
        }
    }

    /** Returns the keys of the batch in flight that must be read back if its outcome is unknown. */
    List<String> unresolvedKeys() {
        return ledgers.unresolvedKeys(inFlight);
    }

    /** Records that the store will never accept the batch in flight. */
    void rejected(long nowMicros) {
        budget.transactionRejected(inFlight.transaction().writes().size());
        ledgers.writeRejected(inFlight, nowMicros);
        notExecuted(nowMicros);
    }

    /** Records that the batch in flight was certainly not executed; no key needs to be read back. */
    void notExecuted(long nowMicros) {
        cloudRecords.deletionsNotWritten(inFlight);
        resolved(nowMicros);
    }

    /** Records that all keys of the batch in flight were read back. */
    void resolved(long nowMicros) {
        WriteBatch batch = takeInFlight();
        cloudRecords.requestsResolved(batch);
        ledgers.writeResolved(batch, nowMicros);
    }

    /**
     * Records that the batch was refused because the records of these keys have other versions than expected. It was not executed; the next one may
     * be sent at once, without the jobs that own the keys.
     *
     * @return the keys to be read back
     */
    List<String> conflicted(List<String> failedKeys, long nowMicros) {
        WriteBatch batch = takeInFlight();
        cloudRecords.conflicted(batch, failedKeys);
        return ledgers.writeConflicted(batch, failedKeys, nowMicros);
    }

    private WriteBatch takeInFlight() {
        WriteBatch batch = inFlight;
        inFlight = null;
        return batch;
    }
}
