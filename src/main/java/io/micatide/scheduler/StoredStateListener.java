package io.micatide.scheduler;

import io.micatide.jobs.JobCache;
import io.micatide.model.Hint;
import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * Is told of the stored state: all of it when a term begins, and what changes of it later.
 *
 * <p>Records of jobs come first, by a read that began after the claim of the term, then the others in any order, then {@link #allRecordsLoaded}. Called by the
 * leader's actor alone. Times are microseconds of the leader's steady clock.
 */
public interface StoredStateListener {
    /**
     * A record of a job was read, or what it depends on has changed.
     *
     * @param view the job as its record and those of its dependencies show it
     * @param wallMicros the time of day, used only for the ages of jobs
     * @param nowMicros the time
     */
    void jobChanged(JobCache.View view, long wallMicros, long nowMicros);

    /**
     * A ledger of an earlier leader was read; all records of jobs were before.
     *
     * @param key of the ledger's page
     * @param ledger as stored
     * @param version of the record
     * @param nowMicros the time
     */
    void ledgerLoaded(String key, StoredRecord.Ledger ledger, long version, long nowMicros);

    /**
     * A provisioning request of an earlier leader was read.
     *
     * @param name of the request
     * @param record as stored
     * @param version of the record
     * @param nowMicros the time
     */
    void provisioningRequestLoaded(String name, StoredRecord.Provisioning record, long version, long nowMicros);

    /**
     * The fence of the provisioning requests was read.
     *
     * @param version of the record, 0 if there is none
     * @param number that it holds
     */
    void provisioningFenceRead(long version, long number);

    /**
     * The features that the running versions of the program have in common are known, or have changed.
     *
     * @param version of the record of feature stages, a condition of what depends on them
     * @param fencesRequests whether provisioning requests are written on condition of their versions and of their fence
     * @param recordsDeletions whether a machine is named in a record before its deletion is asked for
     */
    void featureFlagsChanged(long version, boolean fencesRequests, boolean recordsDeletions);

    /**
     * Machines that an earlier leader was deleting: nothing is placed on them, and their deletion is asked for again.
     *
     * @param key of the record
     * @param record as stored
     * @param version of the record
     * @param nowMicros the time
     */
    void machineDeletionLoaded(String key, StoredRecord.MachinesToDelete record, long version, long nowMicros);

    /**
     * Every controller reads the present layout: what an older one could not read may be written, on that condition.
     *
     * @param version of the record
     * @param layout as stored
     */
    void layoutMarked(long version, StoredRecord.Layout layout);

    /** There is an archive of final states. */
    void archiveEnabled();

    /**
     * What an earlier leader had learned.
     *
     * @param previousHints its hints
     * @param isStored whether they come from the store: older than what a standby was sent, which they leave as it is
     * @param nowMicros the time
     */
    void hintsReceived(List<Hint> previousHints, boolean isStored, long nowMicros);

    /**
     * All records are read: machines that the ledgers name are known of from here on.
     *
     * @param nowMicros the time
     */
    void allRecordsLoaded(long nowMicros);
}
