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
    record StartTerm(long fencingToken, StoredRecord.ArchiveManifest manifest, long version) implements Message {}

    record EndTerm() implements Message {}

    /** What may be archived, by a copy that had this manifest. */
    record CandidatesFound(long fencingToken, List<Archiver.ArchivableJob> ended, long copyOfVersion, boolean anyway)
            implements Message {}

    /** So many changes are left over now. */
    record WriteBudget(long fencingToken, int writes) implements Message {}

    record OperationAnswered(Reply reply, long fencingToken, Archiver.StoreOperation operation) implements Message {}

    /** After a step that failed, so that an outage is not asked all the time. */
    private static final long PAUSE_MICROS = Micros.SECOND;

    private final Settings settings;
    private final int batchSize;
    private final Archiver.Factory factory;
    private final StoreClient store;
    private final LeaderActor leader;
    private long fencingToken;
    private Archiver archiver;
    private long pausedUntilMicros;

    ArchiverActor(
            ActorExecutor loop,
            Settings settings,
            int worthARun,
            Archiver.Factory maker,
            StoreClient state,
            LeaderActor leader) {
        super(loop);
        this.settings = settings;
        this.batchSize = worthARun;
        this.factory = maker;
        this.store = state;
        this.leader = leader;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof StartTerm m) {
            fencingToken = m.fencingToken();
            archiver = factory.create(
                    fencingToken,
                    settings.maxWritableValueBytes(),
                    settings.maxTransactionWrites(),
                    batchSize,
                    m.manifest(),
                    m.version());
        } else if (message instanceof EndTerm) {
            fencingToken = 0;
            archiver = null;
        } else if (message instanceof CandidatesFound m && m.fencingToken() == fencingToken) {
            archiver.offerCandidates(m.ended(), m.copyOfVersion(), m.anyway());
        } else if (message instanceof WriteBudget m && m.fencingToken() == fencingToken) {
            startNextOperation(m.writes());
        } else if (message instanceof OperationAnswered m && m.fencingToken() == fencingToken) {
            try {
                operationAnswered(m.operation(), m.reply());
            } catch (MalformedException e) {
                log.error("archive: {}", e.getMessage());
                archiver.outcomeUnknown();
            }
        }
    }

    private void startNextOperation(int writes) {
        if (now() < pausedUntilMicros || !store.idle()) {
            return;
        }
        Archiver.StoreOperation operation = archiver.nextOperation(writes);
        if (operation instanceof Archiver.Write write) {
            leader.tell(new TermMessage.Spent(
                    fencingToken, write.transaction().writes().size()));
            store.transaction(write.transaction(), answerTo(operation));
        } else if (operation instanceof Archiver.ReadSegment read) {
            store.read(read.key(), answerTo(operation));
        } else if (operation instanceof Archiver.FindAfter find) {
            store.after(StoreKeys.ARCHIVE_SEGMENTS, find.key(), answerTo(operation));
        } else if (operation instanceof Archiver.ReadManifest) {
            store.read(StoreKeys.ARCHIVE_MANIFEST, answerTo(operation));
        }
    }

    private java.util.function.Consumer<Reply> answerTo(Archiver.StoreOperation operation) {
        long term = fencingToken;
        return answer(r -> new OperationAnswered(r, term, operation));
    }

    private void operationAnswered(Archiver.StoreOperation operation, Reply reply) throws MalformedException {
        if (!reply.ok() && !(reply.status() == 409 || reply.status() == 404 || reply.status() == 400)) {
            pausedUntilMicros = now() + PAUSE_MICROS;
            archiver.outcomeUnknown();
        } else if (operation instanceof Archiver.Write write) {
            writeAnswered(write.transaction(), reply);
        } else if (operation instanceof Archiver.ReadSegment read) {
            segmentAnswered(read.key(), reply);
        } else if (operation instanceof Archiver.FindAfter && reply.ok()) {
            List<StoreCodec.Item> items = StoreCodec.page(reply.body()).items();
            archiver.keyFound(items.isEmpty() ? null : items.get(0).key());
        } else if (operation instanceof Archiver.ReadManifest && reply.ok()) {
            StoreCodec.Item item = StoreCodec.item(reply.body());
            archiver.manifestRead((StoredRecord.ArchiveManifest) item.row(), item.version());
        } else {
            pausedUntilMicros = now() + PAUSE_MICROS;
            archiver.outcomeUnknown();
        }
    }

    private void writeAnswered(Transaction transaction, Reply reply) throws MalformedException {
        if (reply.ok()) {
            archiver.writeSucceeded(StoreCodec.revision(reply.body()));
        } else if (reply.status() == 409) {
            List<String> failed = StoreCodec.failed(reply.body());
            if (failed.contains(StoreKeys.LEADER)) {
                // Fenced; the leader finds out by itself.
                pausedUntilMicros = now() + PAUSE_MICROS;
                archiver.outcomeUnknown();
            } else {
                archiver.writeConflicted(failed);
            }
        } else {
            log.warn(
                    "the state service takes no such change of the archive: {}; first of {}: {}",
                    new String(reply.body(), StandardCharsets.UTF_8),
                    transaction.writes().size(),
                    transaction.writes().get(0).key());
            if (!archiver.writeRejected()) {
                pausedUntilMicros = now() + 10 * PAUSE_MICROS;
            }
        }
    }

    private void segmentAnswered(String key, Reply reply) {
        try {
            if (reply.ok()) {
                archiver.segmentRead(key, SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment)
                        StoreCodec.item(reply.body()).row()));
                return;
            }
            log.error("archive: {} is missing", key);
        } catch (MalformedException | DamagedSegmentException e) {
            log.error("archive: {}", e.getMessage());
        }
        archiver.segmentDamaged(key);
    }
}
