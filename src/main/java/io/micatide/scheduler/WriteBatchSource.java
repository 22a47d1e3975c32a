package io.micatide.scheduler;

import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;

/**
 * Gives out what a leader writes, one transaction at a time, and is told of the outcome.
 *
 * <p>After {@link #nextWriteBatch} exactly one outcome follows: {@link #writeConfirmed}, {@link #writeRejected}, {@link #writeConflicted},
 * {@link #writeNotExecuted}, or {@link #writeResolved} after all {@link #unresolvedWriteKeys} were read back. Called by the leader's actor alone. Times are
 * microseconds of the leader's steady clock.
 */
public interface WriteBatchSource {
    /**
     * The next transaction to send. There is one at a time; its outcome must be told.
     *
     * @param nowMicros the time
     * @param wallMicros the time of day, which the records of completed jobs keep
     * @return the transaction, or null if there is nothing to write now
     */
    Transaction nextWriteBatch(long nowMicros, long wallMicros);

    /**
     * The transaction was executed.
     *
     * @param revision that the store gave it
     * @param nowMicros the time
     */
    void writeConfirmed(long revision, long nowMicros);

    /**
     * The transaction was not executed, or its outcome is unknown.
     *
     * @return the keys to be read back before {@link #writeResolved}
     */
    List<String> unresolvedWriteKeys();

    /**
     * All keys of a transaction of unknown outcome are read back.
     *
     * @param nowMicros the time
     */
    void writeResolved(long nowMicros);

    /**
     * The store will never take this transaction.
     *
     * @param nowMicros the time
     */
    void writeRejected(long nowMicros);

    /**
     * The transaction was certainly not executed; nothing needs to be read.
     *
     * @param nowMicros the time
     */
    void writeNotExecuted(long nowMicros);

    /**
     * The transaction was refused for these keys, so it was not executed. The next one may go out at once, without the jobs that they belong to: a user who
     * cancels one job must not hold up the other fifteen of a batch, nor cost the reads of all their keys (after a restart of all controllers at 1.5 times
     * the fleet 80 batches of a day were refused whole, each read back with some 30 requests).
     *
     * @param failed the keys whose versions are not as they were known
     * @param nowMicros the time
     * @return the keys to be read back, each to be followed by {@link #keyReadBack}
     */
    List<String> writeConflicted(List<String> failed, long nowMicros);

    /**
     * A key that a transaction was refused for was read back and applied.
     *
     * @param key that was read
     * @param nowMicros the time
     */
    void keyReadBack(String key, long nowMicros);

    /**
     * A provisioning request, their fence or a record of machines to delete was read back.
     *
     * @param key that was read
     * @param record as stored, null if there is none
     * @param version of the record, 0 if there is none
     */
    void cloudRecordReadBack(String key, StoredRecord record, long version);

    /**
     * A ledger was read back.
     *
     * @param key that was read
     * @param ledger as stored, null if there is none
     * @param version of the record, 0 if there is none
     */
    void ledgerReadBack(String key, StoredRecord.Ledger ledger, long version);

    /**
     * A record of a job was read back: our own completion of it, a cancellation, or still open.
     *
     * @param id of the job
     * @param record as stored
     * @param version of the record
     * @param nowMicros the time
     */
    void jobReadBack(String id, StoredRecord.JobRecord record, long version, long nowMicros);

    /**
     * Final records that this leader knows to be stored: other jobs may wait for them.
     *
     * @return those since the last call
     */
    List<FinishedJob> takeEndedJobs();

    /**
     * How many writes of the leader's share of the rate are left over for other purposes now.
     *
     * @param nowMicros the time
     * @return what is above four fifths of a second's worth, at least 0
     */
    int spareWriteBudget(long nowMicros);

    /**
     * Something else that this leader writes took so many of its writes.
     *
     * @param writes that were sent
     */
    void writesSpent(int writes);
}
