package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.model.CloudCall;
import io.micatide.model.Hint;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.TermAnnouncement;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;

/** A message that concerns one {@link LeaderTerm} only; dropped if that term has ended. Messages are grouped by the class that handles them. */
sealed interface TermMessage extends LeaderMessage
        permits TermMessage.LoadMessage,
                TermMessage.CommitMessage,
                TermMessage.CloudMessage,
                TermMessage.RolloutStepMessage,
                TermMessage.ArchivableJobsFound,
                TermMessage.ArchiveWritesUsed,
                TermMessage.LearnedStateWritten,
                TermMessage.AnnouncementAnswered {
    /** Returns the fencing token of the term. */
    long fencingToken();

    // ---- loading

    /** A message about what a new leader loads; sent by {@link FailoverLoader} and {@link StandbyActor}. */
    sealed interface LoadMessage extends TermMessage {}

    /** Ledgers, provisioning requests, machine deletions or learned state were read. */
    record RecordsLoaded(long fencingToken, List<StoreCodec.Item> records) implements LoadMessage {}

    /** The machine types were read. */
    record MachineTypesLoaded(long fencingToken, List<MachineType> types) implements LoadMessage {}

    /** The hints that the previous leader had sent to this controller as its standby. */
    record ReceivedHintsLoaded(long fencingToken, List<Hint> hints) implements LoadMessage {}

    /** One of the steps of loading for which the term waits is complete. */
    record LoadStepCompleted(long fencingToken) implements LoadMessage {}

    /** The fence of the provisioning requests was read, or is known not to exist. */
    record ProvisioningFenceRead(Reply reply, long fencingToken) implements LoadMessage {}

    // ---- writes of the scheduler

    /** A message about a write of the scheduler; handled by {@link LedgerCommitter}. */
    sealed interface CommitMessage extends TermMessage {}

    /** The store answered a transaction. */
    record WriteBatchAnswered(Reply reply, long fencingToken, Transaction transaction) implements CommitMessage {}

    /** A key of a transaction whose outcome is unknown was read. */
    record UnresolvedKeyRead(Reply reply, long fencingToken, String key) implements CommitMessage {}

    /** A key on which a transaction conflicted, since it had another version than expected, was read. */
    record ConflictingKeyRead(Reply reply, long fencingToken, String key) implements CommitMessage {}

    /** The retry of the read of a key on which a transaction conflicted is due. */
    record ConflictingKeyReadDue(long fencingToken, String key) implements CommitMessage {}

    /** The retry of reading back a key of a transaction whose outcome is unknown is due. */
    record ReadBackDue(long fencingToken) implements CommitMessage {}

    // ---- cloud provider

    /** A message about requests to the cloud provider; handled by {@link CloudCalls}. */
    sealed interface CloudMessage extends TermMessage {}

    /** The cloud provider answered a request. */
    record CloudCallAnswered(Reply reply, long fencingToken, CloudCall call) implements CloudMessage {}

    /**
     * The cloud provider answered the request for a page of the list of machines.
     *
     * @param requestSentMicros the time at which the request for the first page was sent
     * @param earlierPages the machines on the previous pages
     */
    record MachinesListed(Reply reply, long fencingToken, long requestSentMicros, List<ListedMachine> earlierPages)
            implements CloudMessage {}

    /** The store answered the write of the machine types. */
    record MachineTypesWritten(Reply reply, long fencingToken) implements CloudMessage {}

    // ---- rollout of features

    /** A message about the leader's part in a rollout; handled by {@link RolloutDriver}. */
    sealed interface RolloutStepMessage extends TermMessage {}

    /** The store answered the write of the first archive manifest. */
    record ArchiveManifestCreated(Reply reply, long fencingToken) implements RolloutStepMessage {}

    /** The registrations of the controllers and the operators' requests were read. */
    record RolloutRecordsRead(Reply reply, long fencingToken) implements RolloutStepMessage {}

    /** The store answered the write of the stages of features. */
    record FeatureStagesWritten(
            Reply reply, long fencingToken, StoredRecord.FeatureStages stages, List<String> transitions)
            implements RolloutStepMessage {}

    /** The store answered the write of the layout. */
    record LayoutWritten(Reply reply, long fencingToken, StoredRecord.Layout layout) implements RolloutStepMessage {}

    // ---- others

    /**
     * The job cache was searched for finished jobs that no open job depends on, and for records of jobs that are already archived.
     *
     * @param manifestVersion the version of the archive manifest that the job cache held
     */
    record ArchivableJobsFound(long fencingToken, List<Archiver.ArchivableJob> jobs, long manifestVersion)
            implements TermMessage {}

    /** The archiver has used the given number of writes of the store's write budget. */
    record ArchiveWritesUsed(long fencingToken, int writes) implements TermMessage {}

    /** The store answered the write of a record of learned state. */
    record LearnedStateWritten(Reply reply, long fencingToken, String key, StoredRecord.LearnedState state)
            implements TermMessage {}

    /** A worker answered the announcement of the term. */
    record AnnouncementAnswered(Reply reply, long fencingToken, TermAnnouncement announcement, Http worker)
            implements TermMessage {}
}
