package io.micatide.scheduler;

import io.micatide.jobs.JobCache;
import io.micatide.model.Hint;
import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * Receives the stored state: all records when a term begins, and later changes.
 *
 * <p>Records of jobs come first, from a read that began after the claim of the term, then the other records in any order, then {@link
 * #allRecordsLoaded}. Called only by the leader's actor. Times are microseconds of the leader's steady clock.
 */
public interface StoredStateListener {
    /**
     * Applies a job after its record was read or its dependencies changed.
     *
     * @param view state of the job that follows from its record and those of its dependencies
     * @param wallMicros time of day, used only for the ages of jobs
     * @param nowMicros current time
     */
    void jobChanged(JobCache.View view, long wallMicros, long nowMicros);

    /**
     * Loads a ledger page of a previous leader. All records of jobs have been read before.
     *
     * @param key key of the ledger page
     * @param ledger stored value
     * @param version version of the record
     * @param nowMicros current time
     */
    void ledgerLoaded(String key, StoredRecord.Ledger ledger, long version, long nowMicros);

    /**
     * Loads a provisioning request of a previous leader.
     *
     * @param name name of the request
     * @param record stored value
     * @param version version of the record
     * @param nowMicros current time
     */
    void provisioningRequestLoaded(String name, StoredRecord.Provisioning record, long version, long nowMicros);

    /**
     * Applies the fence of the provisioning requests that was read.
     *
     * @param version version of the record, 0 if there is none
     * @param number number that the fence holds
     */
    void provisioningFenceRead(long version, long number);

    /**
     * Sets the features that all running versions of the program support, at the start of the term and after each change.
     *
     * @param version version of the record of feature stages; writes that depend on a feature are conditional on it
     * @param fencesRequests whether provisioning requests are written on condition of their versions and of their fence
     * @param recordsDeletions whether a machine is named in a record before its deletion is requested
     */
    void featureFlagsChanged(long version, boolean fencesRequests, boolean recordsDeletions);

    /**
     * Loads the names of machines that a previous leader was deleting. No task is placed on them, and their deletion is requested again.
     *
     * @param key key of the record
     * @param record stored value
     * @param version version of the record
     * @param nowMicros current time
     */
    void machineDeletionLoaded(String key, StoredRecord.MachinesToDelete record, long version, long nowMicros);

    /**
     * Applies the layout record, which is stored once every controller can read the current layout. Values that a previous version of the program
     * cannot read may be written from then on, on condition that the layout record is unchanged.
     *
     * @param version version of the record
     * @param layout stored value
     */
    void layoutMarked(long version, StoredRecord.Layout layout);

    /** Records that the deployment has an archive of the final states of jobs. */
    void archiveEnabled();

    /**
     * Adds hints of a previous leader.
     *
     * @param previousHints hints of the previous leader
     * @param isStored whether the hints come from the store; these are older than the hints sent to a standby and don't replace them
     * @param nowMicros current time
     */
    void hintsReceived(List<Hint> previousHints, boolean isStored, long nowMicros);

    /**
     * Completes the load: all records have been read, and the machines that the ledgers name are added to the fleet.
     *
     * @param nowMicros current time
     */
    void allRecordsLoaded(long nowMicros);
}
