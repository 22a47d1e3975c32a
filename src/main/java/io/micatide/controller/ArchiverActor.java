package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.archive.DamagedSegmentException;
import io.micatide.archive.SegmentCodec;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Carries out the steps of a leader's {@link Archiver}, one at a time, with the changes and the requests that are left over. Owned by
 * a term: what is answered after it is dropped.
 */
final class ArchiverActor extends Actor<ArchiverActor.Message> {
    sealed interface Message {}

    /** A term whose leader keeps the archive begins, or the archive itself does. */
    record Begin(long fencingToken, StoredRecord.ArchiveManifest manifest, long version) implements Message {}

    record End() implements Message {}

    /** What may be archived, by a copy that had this manifest. */
    record Offer(long fencingToken, List<Archiver.Ended> ended, long copyOfVersion, boolean anyway)
            implements Message {}

    /** So many changes are left over now. */
    record Spare(long fencingToken, int writes) implements Message {}

    record Answered(Reply reply, long fencingToken, Archiver.Step step) implements Message {}

    /** After a step that failed, so that an outage is not asked all the time. */
    private static final long PAUSE_MICROS = Micros.SECOND;

    private final Settings settings;
    private final int worthARun;
    private final Archiver.Maker maker;
    private final StoreClient state;
    private final LeaderActor leader;
    private long fencingToken;
    private Archiver archivist;
    private long resumesMicros;

    ArchiverActor(
            ActorExecutor loop,
            Settings settings,
            int worthARun,
            Archiver.Maker maker,
            StoreClient state,
            LeaderActor leader) {
        super(loop);
        this.settings = settings;
        this.worthARun = worthARun;
        this.maker = maker;
        this.state = state;
        this.leader = leader;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin m) {
            fencingToken = m.fencingToken();
            archivist = maker.make(
                    fencingToken,
                    settings.maxWritableValueBytes(),
                    settings.maxTransactionWrites(),
                    worthARun,
                    m.manifest(),
                    m.version());
        } else if (message instanceof End) {
            fencingToken = 0;
            archivist = null;
        } else if (message instanceof Offer m && m.fencingToken() == fencingToken) {
            archivist.offer(m.ended(), m.copyOfVersion(), m.anyway());
        } else if (message instanceof Spare m && m.fencingToken() == fencingToken) {
            spare(m.writes());
        } else if (message instanceof Answered m && m.fencingToken() == fencingToken) {
            try {
                answered(m.step(), m.reply());
            } catch (MalformedException e) {
                log.error("archive: {}", e.getMessage());
                archivist.repeat();
            }
        }
    }

    private void spare(int writes) {
        if (now() < resumesMicros || !state.idle()) {
            return;
        }
        Archiver.Step step = archivist.next(writes);
        if (step instanceof Archiver.Write write) {
            leader.tell(new TermMessage.Spent(
                    fencingToken, write.transaction().writes().size()));
            state.transaction(write.transaction(), then(step));
        } else if (step instanceof Archiver.ReadSegment read) {
            state.read(read.key(), then(step));
        } else if (step instanceof Archiver.FindAfter find) {
            state.after(StoreKeys.ARCHIVE_SEGMENTS, find.key(), then(step));
        } else if (step instanceof Archiver.ReadManifest) {
            state.read(StoreKeys.ARCHIVE_MANIFEST, then(step));
        }
    }

    private java.util.function.Consumer<Reply> then(Archiver.Step step) {
        long term = fencingToken;
        return answer(r -> new Answered(r, term, step));
    }

    private void answered(Archiver.Step step, Reply reply) throws MalformedException {
        if (!reply.ok() && !(reply.status() == 409 || reply.status() == 404 || reply.status() == 400)) {
            resumesMicros = now() + PAUSE_MICROS;
            archivist.repeat();
        } else if (step instanceof Archiver.Write write) {
            written(write.transaction(), reply);
        } else if (step instanceof Archiver.ReadSegment read) {
            segment(read.key(), reply);
        } else if (step instanceof Archiver.FindAfter && reply.ok()) {
            List<StoreCodec.Item> items = StoreCodec.page(reply.body()).items();
            archivist.listed(items.isEmpty() ? null : items.get(0).key());
        } else if (step instanceof Archiver.ReadManifest && reply.ok()) {
            StoreCodec.Item item = StoreCodec.item(reply.body());
            archivist.manifestRead((StoredRecord.ArchiveManifest) item.record(), item.version());
        } else {
            resumesMicros = now() + PAUSE_MICROS;
            archivist.repeat();
        }
    }

    private void written(Transaction transaction, Reply reply) throws MalformedException {
        if (reply.ok()) {
            archivist.written(StoreCodec.revision(reply.body()));
        } else if (reply.status() == 409) {
            List<String> failed = StoreCodec.failedKeys(reply.body());
            if (failed.contains(StoreKeys.LEADER)) {
                // Fenced; the leader finds out by itself.
                resumesMicros = now() + PAUSE_MICROS;
                archivist.repeat();
            } else {
                archivist.conflict(failed);
            }
        } else {
            log.warn(
                    "the state service takes no such change of the archive: {}; first of {}: {}",
                    new String(reply.body(), StandardCharsets.UTF_8),
                    transaction.writes().size(),
                    transaction.writes().get(0).key());
            if (!archivist.refused()) {
                resumesMicros = now() + 10 * PAUSE_MICROS;
            }
        }
    }

    private void segment(String key, Reply reply) {
        try {
            if (reply.ok()) {
                archivist.segment(key, SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment)
                        StoreCodec.item(reply.body()).record()));
                return;
            }
            log.error("archive: {} is missing", key);
        } catch (MalformedException | DamagedSegmentException e) {
            log.error("archive: {}", e.getMessage());
        }
        archivist.damaged(key);
    }
}
