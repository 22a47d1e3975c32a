package io.micatide.controller;

import io.micatide.archive.ArchiveLimits;
import io.micatide.archive.ArchiveOperation;
import io.micatide.archive.Archiver;
import io.micatide.archive.DamagedSegmentException;
import io.micatide.archive.SegmentCodec;
import io.micatide.model.Micros;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Executes the operations of a leader's {@link Archiver}, one at a time, using the write and request budget that scheduling and users
 * leave over. An answer that arrives after the end of the term in which the request was sent is dropped.
 */
final class ArchiverActor extends Actor<ArchiverActor.Message> {
    /** A message to this actor. */
    sealed interface Message {}

    /** A term starts with an archive, or the archive is created during a term. */
    record StartTerm(long fencingToken, StoredRecord.ArchiveManifest manifest, long version) implements Message {}

    /** The term has ended. */
    record EndTerm() implements Message {}

    /**
     * Jobs that may be archived, as found in the job cache.
     *
     * @param manifestVersion version of the archive manifest in the job cache that was searched
     */
    record CandidatesFound(
            long fencingToken,
            List<Archiver.ArchivableJob> finished,
            long manifestVersion,
            Archiver.BatchPolicy batchPolicy)
            implements Message {}

    /** The number of writes that are left over now. */
    record WriteBudget(long fencingToken, int writes) implements Message {}

    /** The store's answer to an operation. */
    record OperationAnswered(Reply reply, long fencingToken, ArchiveOperation operation) implements Message {}

    /** Delay after an operation that failed, so that a store in an outage does not receive requests continuously. */
    private static final long RETRY_DELAY_MICROS = Micros.SECOND;

    /** Delay after the store rejected a write that the archiver cannot make smaller. */
    private static final long REJECTED_RETRY_DELAY_MICROS = 10 * RETRY_DELAY_MICROS;

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final ArchiveLimits limits;
    private final Archiver.Factory archiverFactory;
    private final StoreClient store;
    private final LeaderActor leader;
    /** The term's fencing token, 0 between terms. */
    private long fencingToken;

    /** Null between terms. */
    private Archiver archiver;

    private long pausedUntilMicros;

    ArchiverActor(
            ActorExecutor executor,
            ArchiveLimits limits,
            Archiver.Factory archiverFactory,
            StoreClient store,
            LeaderActor leader) {
        super(executor);
        this.limits = limits;
        this.archiverFactory = archiverFactory;
        this.store = store;
        this.leader = leader;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof StartTerm m) {
            startTerm(m);
        } else if (message instanceof EndTerm) {
            endTerm();
        } else if (message instanceof CandidatesFound m && m.fencingToken() == fencingToken) {
            archiver.offerCandidates(m.finished(), m.manifestVersion(), m.batchPolicy());
        } else if (message instanceof WriteBudget m && m.fencingToken() == fencingToken) {
            startNextOperation(m.writes());
        } else if (message instanceof OperationAnswered m && m.fencingToken() == fencingToken) {
            operationAnswered(m);
        }
    }

    private void startTerm(StartTerm message) {
        fencingToken = message.fencingToken();
        archiver = archiverFactory.create(fencingToken, limits, message.manifest(), message.version());
    }

    private void endTerm() {
        fencingToken = 0;
        archiver = null;
    }

    private void startNextOperation(int writeBudget) {
        if (now() < pausedUntilMicros || !store.hasSpareRate()) {
            return;
        }
        ArchiveOperation operation = archiver.nextOperation(writeBudget);
        if (operation instanceof ArchiveOperation.Write write) {
            leader.tell(new TermMessage.ArchiveWritesUsed(
                    fencingToken, write.transaction().writes().size()));
            store.transaction(write.transaction(), answerTo(operation));
        } else if (operation instanceof ArchiveOperation.ReadSegment read) {
            store.read(read.key(), answerTo(operation));
        } else if (operation instanceof ArchiveOperation.FindAfter find) {
            store.readFirstAfter(StoreKeys.ARCHIVE_SEGMENTS, find.key(), answerTo(operation));
        } else if (operation instanceof ArchiveOperation.ReadManifest) {
            store.read(StoreKeys.ARCHIVE_MANIFEST, answerTo(operation));
        }
    }

    private Consumer<Reply> answerTo(ArchiveOperation operation) {
        long requestToken = fencingToken;
        return onReply(reply -> new OperationAnswered(reply, requestToken, operation));
    }

    private void operationAnswered(OperationAnswered message) {
        try {
            dispatchAnswer(message.operation(), message.reply());
        } catch (MalformedException e) {
            log.error("malformed answer to an archive operation: {}", e.getMessage());
            archiver.outcomeUnknown();
        }
    }

    private void dispatchAnswer(ArchiveOperation operation, Reply reply) throws MalformedException {
        if (!reply.ok() && !isRefusal(reply.status())) {
            retryAfterPause();
        } else if (operation instanceof ArchiveOperation.Write write) {
            writeAnswered(write.transaction(), reply);
        } else if (operation instanceof ArchiveOperation.ReadSegment read) {
            segmentAnswered(read.key(), reply);
        } else if (operation instanceof ArchiveOperation.FindAfter && reply.ok()) {
            List<StoreCodec.Item> items = StoreCodec.page(reply.body()).items();
            archiver.keyFound(items.isEmpty() ? null : items.get(0).key());
        } else if (operation instanceof ArchiveOperation.ReadManifest && reply.ok()) {
            StoreCodec.Item item = StoreCodec.item(reply.body());
            archiver.manifestRead((StoredRecord.ArchiveManifest) item.record(), item.version());
        } else {
            retryAfterPause();
        }
    }

    /** Returns whether the status means that the store refused the operation, so that a retry of the same request would fail as well. */
    private static boolean isRefusal(int status) {
        return status == CONFLICT || status == NOT_FOUND || status == BAD_REQUEST;
    }

    /** Lets the archiver repeat the operation after {@link #RETRY_DELAY_MICROS}. */
    private void retryAfterPause() {
        pausedUntilMicros = now() + RETRY_DELAY_MICROS;
        archiver.outcomeUnknown();
    }

    private void writeAnswered(Transaction transaction, Reply reply) throws MalformedException {
        if (reply.ok()) {
            archiver.writeSucceeded(StoreCodec.revision(reply.body()));
        } else if (reply.status() == CONFLICT) {
            conflictAnswered(StoreCodec.failedKeys(reply.body()));
        } else {
            log.warn(
                    "store rejected archive transaction of {} writes starting at {}: {}",
                    transaction.writes().size(),
                    transaction.writes().get(0).key(),
                    new String(reply.body(), StandardCharsets.UTF_8));
            if (!archiver.writeRejected()) {
                pausedUntilMicros = now() + REJECTED_RETRY_DELAY_MICROS;
            }
        }
    }

    private void conflictAnswered(List<String> failedKeys) {
        if (failedKeys.contains(StoreKeys.LEADER)) {
            // This term is fenced; the leader learns that from its own requests.
            retryAfterPause();
        } else {
            archiver.writeConflicted(failedKeys);
        }
    }

    private void segmentAnswered(String key, Reply reply) {
        try {
            if (reply.ok()) {
                StoreCodec.Item item = StoreCodec.item(reply.body());
                archiver.segmentRead(key, SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment) item.record()));
                return;
            }
            log.error("archive segment {} is missing", key);
        } catch (MalformedException | DamagedSegmentException e) {
            log.error("unreadable archive segment: {}", e.getMessage());
        }
        archiver.segmentDamaged(key);
    }
}
