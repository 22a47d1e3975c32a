package io.micatide.scheduler;

import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;

/**
 * Supplies the transactions that a leader writes, one at a time, and receives their outcomes.
 *
 * <p>Each {@link #nextWriteBatch} must be followed by exactly one outcome: {@link #writeConfirmed}, {@link #writeRejected}, {@link #writeConflicted},
 * {@link #writeNotExecuted}, or {@link #writeResolved} after all {@link #unresolvedWriteKeys} were read back. Only the leader's actor calls this
 * interface. Times are microseconds of the leader's steady clock unless said otherwise.
 */
public interface WriteBatchSource {
    /**
     * Composes the next transaction to send. Only one is in flight at a time, and its outcome must be reported.
     *
     * @param nowMicros current time
     * @param wallMicros the time of day, which the records of completed jobs keep
     * @return the transaction, or null if there is nothing to write now
     */
    Transaction nextWriteBatch(long nowMicros, long wallMicros);

    /**
     * Reports that the store executed the transaction.
     *
     * @param revision the revision of the store after the transaction
     * @param nowMicros current time
     */
    void writeConfirmed(long revision, long nowMicros);

    /**
     * Returns the keys to be read back if the outcome of the transaction is unknown.
     *
     * @return the keys to be read back before {@link #writeResolved}
     */
    List<String> unresolvedWriteKeys();

    /**
     * Reports that all keys of a transaction of unknown outcome were read back.
     *
     * @param nowMicros current time
     */
    void writeResolved(long nowMicros);

    /**
     * Reports that the store will never accept this transaction.
     *
     * @param nowMicros current time
     */
    void writeRejected(long nowMicros);

    /**
     * Reports that the transaction was certainly not executed; no key needs to be read back.
     *
     * @param nowMicros current time
     */
    void writeNotExecuted(long nowMicros);

    /**
     * Reports that the transaction was refused for the given keys and so was not executed. The next one may be sent at once, without the jobs that
     * own the keys: a user who cancels one job must not delay the other fifteen of a batch, and the keys of those need not be read. (After a restart
     * of all controllers at 1.5 times the fleet, 80 batches of a day were refused as a whole, each read back with some 30 requests.)
     *
     * @param failedKeys the keys whose versions are not the expected ones
     * @param nowMicros current time
     * @return the keys to be read back, each to be followed by {@link #keyReadBack}
     */
    List<String> writeConflicted(List<String> failedKeys, long nowMicros);

    /**
     * Reports that a key for which a transaction was refused was read back and applied.
     *
     * @param key the key that was read
     * @param nowMicros current time
     */
    void keyReadBack(String key, long nowMicros);

    /**
     * Applies a provisioning request, the fence of the requests, or a record of machines to delete that was read back.
     *
     * @param key the key that was read
     * @param record the record as stored, null if there is none
     * @param version version of the record, 0 if there is none
     */
    void cloudRecordReadBack(String key, StoredRecord record, long version);

    /**
     * Applies a ledger page that was read back.
     *
     * @param key the key that was read
     * @param ledger the ledger page as stored, null if there is none
     * @param version version of the record, 0 if there is none
     */
    void ledgerReadBack(String key, StoredRecord.Ledger ledger, long version);

    /**
     * Applies a job record that was read back: it may be done by this leader, cancelled, or still open.
     *
     * @param id id of the job
     * @param record the record as stored
     * @param version version of the record
     * @param nowMicros current time
     */
    void jobReadBack(String id, StoredRecord.JobRecord record, long version, long nowMicros);

    /**
     * Returns and clears the final job records that this leader knows to be stored. Other jobs may wait for these jobs.
     *
     * @return the final records since the last call
     */
    List<FinishedJob> takeFinishedJobs();

    /**
     * Returns how many writes of the leader's share of the write rate are available for other purposes now.
     *
     * @param nowMicros current time
     * @return the writes above four fifths of those of one second, at least 0
     */
    int spareWriteBudget(long nowMicros);

    /**
     * Reports writes that this leader sent outside of the batches, which are deducted from its budget.
     *
     * @param writes the number of writes that were sent
     */
    void otherWritesSent(int writes);
}
