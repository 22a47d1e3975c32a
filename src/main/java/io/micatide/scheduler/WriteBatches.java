package io.micatide.scheduler;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;

/**
 * What a leader writes, composed into one transaction at a time: ledgers and ends of jobs, provisioning requests, machines to delete, and ledgers
 * that belong to no job any more.
 *
 * <p>Invariant: at most one batch is in flight, and the next is composed only after the outcome of the one before was told by exactly one of
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
    /** Null if none is. */
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

    /** Has a stored ledger removed that belongs to no open job. */
    void deleteOrphanedLedger(String key) {
        orphanedLedgerDeletions.add(new Transaction.Write(key, null, 0));
    }

    /** How many writes are left over for other purposes now: none while a batch is in flight. */
    int spareWrites(long nowMicros) {
        budget.refill(nowMicros);
        return inFlight != null ? 0 : budget.spareWrites();
    }

    /** Something else that this leader writes took so many of its writes. */
    void spend(int writes) {
        budget.spend(writes);
    }

    /**
     * The next transaction to send, null if there is nothing to write, no budget for it, or a batch in flight.
     *
     * @param nowMicros the time, steady clock
     * @param wallMicros the time of day, which the records of completed jobs keep
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
        List<Transaction.Write> orphans =
                orphanedLedgerDeletions.subList(0, Math.min(orphanedLedgerDeletions.size(), limit / 2));
        CloudRecords.BatchPart cloudPart =
                cloudRecords.nextBatchPart(cluster.fleet().machines(), orphans, limit, nowMicros);
        planner.beginWriteBatch(nowMicros);
        WriteBatch batch = ledgers.nextWriteBatch(
                        nowMicros,
                        wallMicros,
                        new WriteBatch.Limits(limit, budget.deferrableLimit()),
                        new WriteBatch.AdditionalWrites(
                                cloudPart.requests(), cloudPart.writes(), cloudPart.conditions()),
                        (job, maxMachines) -> planner.candidateMachines(job, maxMachines, nowMicros))
                .orElse(null);
        if (batch == null) {
            cloudRecords.partDiscarded(cloudPart);
            return null;
        }
        cloudRecords.partSent(cloudPart);
        budget.spend(batch.transaction().writes().size());
        inFlight = batch;
        return batch.transaction();
    }

    /** The batch was executed with this revision. */
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

    /** The keys of the batch in flight, which have to be read back if its outcome is unknown. */
    List<String> unresolvedKeys() {
        return ledgers.unresolvedKeys(inFlight);
    }

    /** The store will never take this batch. */
    void rejected(long nowMicros) {
        budget.transactionRejected(inFlight.transaction().writes().size());
        ledgers.writeRejected(inFlight, nowMicros);
        notExecuted(nowMicros);
    }

    /** The batch was certainly not executed; nothing needs to be read. */
    void notExecuted(long nowMicros) {
        cloudRecords.deletionsNotWritten(inFlight);
        resolved(nowMicros);
    }

    /** All keys of the batch are read back. */
    void resolved(long nowMicros) {
        WriteBatch batch = takeInFlight();
        cloudRecords.requestsResolved(batch);
        ledgers.writeResolved(batch, nowMicros);
    }

    /**
     * The batch was refused since the records of these keys are not as they were known. It was not executed; the next one may go out at once, without
     * the jobs that they belong to.
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
