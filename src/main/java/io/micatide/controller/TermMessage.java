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

/** What concerns one {@link LeaderTerm} only; dropped once that term is over. Grouped by the class that handles it. */
sealed interface TermMessage extends LeaderMessage
        permits TermMessage.LoadMessage,
                TermMessage.CommitMessage,
                TermMessage.CloudMessage,
                TermMessage.RolloutStepMessage,
                TermMessage.ArchivableJobsFound,
                TermMessage.ArchiveWritesUsed,
                TermMessage.LearnedStateWritten,
                TermMessage.AnnouncementAnswered {
    /** The fencing token of the term. */
    long fencingToken();

    // ---- loading

    /** Part of what a new leader reads before its first decision; sent by {@link FailoverLoader} and {@link StandbyActor}. */
    sealed interface LoadMessage extends TermMessage {}

    /** Ledgers, provisioning requests, machine deletions or learned state were read. */
    record RecordsLoaded(long fencingToken, List<StoreCodec.Item> records) implements LoadMessage {}

    /** The machine types were read. */
    record MachineTypesLoaded(long fencingToken, List<MachineType> types) implements LoadMessage {}

    /** The hints that the former leader had sent to this controller as its standby. */
    record ReceivedHintsLoaded(long fencingToken, List<Hint> hints) implements LoadMessage {}

    /** One of the steps that the term waits for is complete. */
    record LoadStepCompleted(long fencingToken) implements LoadMessage {}

    /** The fence of the provisioning requests was read, or is known not to be there. */
    record ProvisioningFenceRead(Reply reply, long fencingToken) implements LoadMessage {}

    // ---- writes of the scheduler

    /** Concerns a write of the scheduler; handled by {@link LedgerCommitter}. */
    sealed interface CommitMessage extends TermMessage {}

    /** The store answered a transaction. */
    record WriteBatchAnswered(Reply reply, long fencingToken, Transaction transaction) implements CommitMessage {}

    /** A key of a transaction whose outcome is unknown was read. */
    record UnresolvedKeyRead(Reply reply, long fencingToken, String key) implements CommitMessage {}

    /** A key whose version a transaction did not expect was read. */
    record ConflictingKeyRead(Reply reply, long fencingToken, String key) implements CommitMessage {}

    /** A key whose version a transaction did not expect is to be read again. */
    record ConflictingKeyReadDue(long fencingToken, String key) implements CommitMessage {}

    /** The keys of a transaction whose outcome is unknown are to be read again. */
    record ReadBackDue(long fencingToken) implements CommitMessage {}

    // ---- cloud provider

    /** Concerns requests to the cloud provider; handled by {@link CloudCalls}. */
    sealed interface CloudMessage extends TermMessage {}

    /** The cloud provider answered a request. */
    record CloudCallAnswered(Reply reply, long fencingToken, CloudCall call) implements CloudMessage {}

    /**
     * The cloud provider answered with a page of the machines.
     *
     * @param requestSentMicros when the first page was asked for
     * @param earlierPages the machines of the pages before
     */
    record MachinesListed(Reply reply, long fencingToken, long requestSentMicros, List<ListedMachine> earlierPages)
            implements CloudMessage {}

    /** The store answered the write of the machine types. */
    record MachineTypesWritten(Reply reply, long fencingToken) implements CloudMessage {}

    // ---- rollout of features

    /** Concerns the leader's part in a rollout; handled by {@link RolloutDriver}. */
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
     * Jobs that are over and that no open job needs.
     *
     * @param manifestVersion the version of the archive manifest in the job cache that was searched
     */
    record ArchivableJobsFound(long fencingToken, List<Archiver.ArchivableJob> jobs, long manifestVersion)
            implements TermMessage {}

    /** The archiver has used so many writes of the store's budget. */
    record ArchiveWritesUsed(long fencingToken, int writes) implements TermMessage {}

    /** The store answered the write of learned state. */
    record LearnedStateWritten(Reply reply, long fencingToken, String key, StoredRecord.LearnedState state)
            implements TermMessage {}

    /** A worker answered the announcement of the term. */
    record AnnouncementAnswered(Reply reply, long fencingToken, TermAnnouncement announcement, Http worker)
            implements TermMessage {}
}
