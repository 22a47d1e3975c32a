package io.micatide.controller;

import io.micatide.model.Micros;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.PendingReads;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A term's writes: one transaction at a time, and what is read back after one whose outcome is unknown. */
final class LedgerCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final StoreClient store;
    private final UsersActor users;
    private PendingReads unresolvedKeys = new PendingReads(List.of());
    private boolean rateLimitLogged;
    private boolean isWriteInFlight;
    private long lastRevision;

    LedgerCommitter(LeaderActor owner, Scheduler scheduler, StoreClient state, UsersActor users) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.store = state;
        this.users = users;
    }

    /** Whether the outcome of a transaction is still to come. */
    boolean isWriteInFlight() {
        return isWriteInFlight;
    }

    /** Revision of the last transaction that was confirmed, 0 before. */
    long lastRevision() {
        return lastRevision;
    }

    void writeNextBatch(long now) {
        Transaction transaction = scheduler.nextWriteBatch(now, owner.wall());
        if (transaction != null) {
            long fencingToken = scheduler.fencingToken();
            isWriteInFlight = true;
            store.transaction(
                    transaction, owner.answer(r -> new TermMessage.WriteBatchAnswered(r, fencingToken, transaction)));
        }
    }

    void writeAnswered(TermMessage.WriteBatchAnswered message) {
        long now = owner.now();
        Reply reply = message.reply();
        isWriteInFlight = false;
        try {
            if (reply.ok()) {
                lastRevision = StoreCodec.revision(reply.body());
                scheduler.writeConfirmed(lastRevision, now);
                publishEndedJobs();
                if (!owner.isShuttingDown()) {
                    writeNextBatch(now);
                }
                return;
            }
            if (reply.notExecuted()) {
                if (reply.status() == 429 && !rateLimitLogged) {
                    rateLimitLogged = true;
                    LOG.info("a transaction was above the rate of the store: tried again");
                }
                scheduler.writeNotExecuted(now);
                return;
            }
            if (reply.status() == 400) {
                logRejectedTransaction(reply, message.transaction());
                scheduler.writeRejected(now);
                return;
            }
            if (reply.status() == 409) {
                writeConflicted(StoreCodec.failedKeys(reply.body()), now);
                return;
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
        LOG.warn("transaction of unknown outcome (status {}): reading its keys back", reply.status());
        unresolvedKeys = new PendingReads(scheduler.unresolvedWriteKeys());
        readNextUnresolvedKey();
    }

    /** Most likely a user has cancelled a job meanwhile: the rest of the batch is sent again at once. */
    private void writeConflicted(List<String> failed, long now) {
        if (failed.contains(StoreKeys.LEADER)) {
            LOG.info("transaction refused: fenced");
            owner.writeFenced();
            return;
        }
        LOG.debug("transaction refused, keys in conflict: {}", failed);
        scheduler.writeConflicted(failed, now).forEach(this::readConflictedKey);
        if (!owner.isShuttingDown()) {
            writeNextBatch(now);
        }
    }

    void readConflictedKey(String key) {
        long fencingToken = scheduler.fencingToken();
        store.read(key, owner.answer(r -> new TermMessage.ConflictingKeyRead(r, fencingToken, key)));
    }

    void conflictedKeyRead(TermMessage.ConflictingKeyRead message) {
        if (applyReadBack(message.key(), message.reply())) {
            scheduler.keyReadBack(message.key(), owner.now());
            publishEndedJobs();
        } else {
            owner.tellLater(new TermMessage.ConflictingKeyReadDue(message.fencingToken(), message.key()), RETRY_MICROS);
        }
    }

    private void logRejectedTransaction(Reply reply, Transaction transaction) {
        StringBuilder text = new StringBuilder();
        for (Transaction.Write write : transaction.writes()) {
            text.append(' ')
                    .append(write.key())
                    .append(write.record() == null ? " deleted" : " " + StoreCodec.encodedBytes(write.record()));
        }
        LOG.warn(
                "transaction rejected by the store: {}; {} conditions, {} changes, bytes of each:{}",
                new String(reply.body(), StandardCharsets.UTF_8),
                transaction.conditions().size(),
                transaction.writes().size(),
                text);
    }

    /** Jobs may wait for what a transaction has ended: they need not wait for the next read of the changes as well. */
    private void publishEndedJobs() {
        scheduler
                .takeEndedJobs()
                .forEach(each -> users.tell(new UsersActor.JobFinished(each.id(), each.record(), each.version())));
    }

    void readNextUnresolvedKey() {
        if (unresolvedKeys.isFinished()) {
            scheduler.writeResolved(owner.now());
            publishEndedJobs();
            return;
        }
        String key = unresolvedKeys.next();
        if (key != null) {
            long fencingToken = scheduler.fencingToken();
            store.read(key, owner.answer(r -> new TermMessage.UnresolvedKeyRead(r, fencingToken, key)));
        }
    }

    void unresolvedKeyRead(TermMessage.UnresolvedKeyRead message) {
        if (applyReadBack(message.key(), message.reply())) {
            unresolvedKeys.keyRead();
            readNextUnresolvedKey();
        } else {
            unresolvedKeys.keyFailed();
            owner.tellLater(new TermMessage.ReadBackDue(message.fencingToken()), RETRY_MICROS);
        }
    }

    /** What a key holds now; false if the store did not say. */
    private boolean applyReadBack(String key, Reply reply) {
        try {
            if (Scheduler.isCloudRecord(key) && (reply.ok() || reply.status() == 404)) {
                StoreCodec.Item item = reply.ok() ? StoreCodec.item(reply.body()) : null;
                scheduler.cloudRecordReadBack(
                        key, item == null ? null : item.record(), item == null ? 0 : item.version());
            } else if (reply.ok()) {
                StoreCodec.Item item = StoreCodec.item(reply.body());
                if (item.record() instanceof StoredRecord.Ledger ledger) {
                    scheduler.ledgerReadBack(item.key(), ledger, item.version());
                } else if (item.record() instanceof StoredRecord.JobRecord row) {
                    scheduler.jobReadBack(StoreKeys.jobIdOf(item.key()), row, item.version(), owner.now());
                }
            } else if (reply.status() == 404) {
                if (StoreKeys.isLedger(key)) {
                    scheduler.ledgerReadBack(key, null, 0);
                }
            } else {
                return false;
            }
        } catch (MalformedException e) {
            LOG.error("{}: {}", key, e.getMessage());
        }
        return true;
    }
}
