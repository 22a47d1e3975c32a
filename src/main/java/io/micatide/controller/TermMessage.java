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

/** What concerns one term only: dropped once that term is over. */
sealed interface TermMessage extends LeaderMessage {
    /** The term's token. */
    long fencingToken();

    /** Ledgers or bookings that a new leader has read. */
    record RecordsLoaded(long fencingToken, List<StoreCodec.Item> records) implements TermMessage {}

    record MachineTypesLoaded(long fencingToken, List<MachineType> types) implements TermMessage {}

    /** What the leader before told this controller when it followed. */
    record ReceivedHintsLoaded(long fencingToken, List<Hint> hints) implements TermMessage {}

    /** One of the things that a new leader reads is whole. */
    record LoadStepCompleted(long fencingToken) implements TermMessage {}

    /** Jobs that are over and that no open job needs, by a copy of the rows with this manifest. */
    record ArchivableJobsFound(long fencingToken, List<Archiver.Ended> jobs, long manifestVersion)
            implements TermMessage {}

    /** The archive has used so many changes. */
    record ArchiveWritesUsed(long fencingToken, int writes) implements TermMessage {}

    record ArchiveManifestCreated(Reply reply, long fencingToken) implements TermMessage {}

    /** Who is registered and what operators ask for. */
    record RolloutRecordsRead(Reply reply, long fencingToken) implements TermMessage {}

    record FeatureStagesWritten(
            Reply reply, long fencingToken, StoredRecord.FeatureStages stages, List<String> transitions)
            implements TermMessage {}

    record ProvisioningFenceRead(Reply reply, long fencingToken) implements TermMessage {}

    record LearnedStateWritten(Reply reply, long fencingToken, String key, StoredRecord.LearnedState state)
            implements TermMessage {}

    record LayoutWritten(Reply reply, long fencingToken, StoredRecord.Layout layout) implements TermMessage {}

    /** A worker's answer to a greeting. */
    record AnnouncementAnswered(Reply reply, long fencingToken, TermAnnouncement announcement, Http worker)
            implements TermMessage {}

    record WriteBatchAnswered(Reply reply, long fencingToken, Transaction transaction) implements TermMessage {}

    record UnresolvedKeyRead(Reply reply, long fencingToken, String key) implements TermMessage {}

    /** One of the keys that a round was refused for. */
    record ConflictingKeyRead(Reply reply, long fencingToken, String key) implements TermMessage {}

    record ConflictingKeyReadDue(long fencingToken, String key) implements TermMessage {}

    record ReadBackDue(long fencingToken) implements TermMessage {}

    record MachineTypesWritten(Reply reply, long fencingToken) implements TermMessage {}

    record CloudCallAnswered(Reply reply, long fencingToken, CloudCall call) implements TermMessage {}

    record MachinesListed(Reply reply, long fencingToken, long askedMicros, List<ListedMachine> earlierPages)
            implements TermMessage {}
}
