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
sealed interface TermMessage extends LeaderActor.Message {
    /** The term's token. */
    long fencingToken();

    /** Ledgers or bookings that a new leader has read. */
    record RowsLoaded(long fencingToken, List<StoreCodec.Item> rows) implements TermMessage {}

    record TypesLoaded(long fencingToken, List<MachineType> types) implements TermMessage {}

    /** What the leader before told this controller when it followed. */
    record HintsKept(long fencingToken, List<Hint> hints) implements TermMessage {}

    /** One of the things that a new leader reads is whole. */
    record PartLoaded(long fencingToken) implements TermMessage {}

    /** Jobs that are over and that no open job needs, by a copy of the rows with this manifest. */
    record EndedFound(long fencingToken, List<Archiver.ArchivableJob> ended, long copyOfVersion)
            implements TermMessage {}

    /** The archive has used so many changes. */
    record Spent(long fencingToken, int writes) implements TermMessage {}

    record HistoryBegun(Reply reply, long fencingToken) implements TermMessage {}

    /** Who is registered and what operators ask for. */
    record RosterRead(Reply reply, long fencingToken) implements TermMessage {}

    record Stepped(Reply reply, long fencingToken, StoredRecord.FeatureStages row, List<String> moves)
            implements TermMessage {}

    record FenceRead(Reply reply, long fencingToken) implements TermMessage {}

    record LearnedStored(Reply reply, long fencingToken, String key, StoredRecord.LearnedState row)
            implements TermMessage {}

    record LayoutMarked(Reply reply, long fencingToken, StoredRecord.Layout layout) implements TermMessage {}

    /** A worker's answer to a greeting. */
    record Greeted(Reply reply, long fencingToken, TermAnnouncement greeting, Http worker) implements TermMessage {}

    record RoundAnswered(Reply reply, long fencingToken, Transaction round) implements TermMessage {}

    record KeyRead(Reply reply, long fencingToken, String key) implements TermMessage {}

    /** One of the keys that a round was refused for. */
    record RefusedRead(Reply reply, long fencingToken, String key) implements TermMessage {}

    record RefusedDue(long fencingToken, String key) implements TermMessage {}

    record ReadBackDue(long fencingToken) implements TermMessage {}

    record TypesStored(Reply reply, long fencingToken) implements TermMessage {}

    record CloudAnswered(Reply reply, long fencingToken, CloudCall call) implements TermMessage {}

    record ListRead(Reply reply, long fencingToken, long askedMicros, List<ListedMachine> before)
            implements TermMessage {}
}
