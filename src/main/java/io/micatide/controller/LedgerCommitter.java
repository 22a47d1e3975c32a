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

/**
 * Sends the scheduler's write batches of one term to the store, one transaction at a time, and reports each outcome to the scheduler. After
 * a transaction of unknown outcome, and for each key in conflict, it reads the keys back, retrying until the store answers. Runs on the
 * leader's actor.
 */
final class LedgerCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** Delay before a key whose read failed is read again. */
    private static final long RETRY_DELAY_MICROS = 300 * Micros.MILLISECOND;

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final StoreClient store;
    private final UsersActor users;
    /** Keys of the transaction of unknown outcome that are still to be read back. */
    private PendingReads unresolvedKeys = new PendingReads(List.of());
    /** Whether this term has logged that the store refused a transaction with 429; this is logged once. */
    private boolean wasRateLimitLogged;

    private boolean isWriteInFlight;
    private long lastRevision;

    LedgerCommitter(LeaderActor owner, Scheduler scheduler, StoreClient store, UsersActor users) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.store = store;
        this.users = users;
    }

    /** Returns whether a transaction was sent that has not been answered. False while the keys of a transaction of unknown outcome are read back. */
    boolean isWriteInFlight() {
        return isWriteInFlight;
    }

    /** Returns the store revision of the last confirmed transaction, 0 if there is none. */
    long lastRevision() {
        return lastRevision;
    }

    /** Sends the scheduler's next write batch, if it has one. */
    void writeNextBatch(long now) {
        Transaction transaction = scheduler.nextWriteBatch(now, owner.wallClockMicros());
        if (transaction != null) {
            long fencingToken = scheduler.fencingToken();
            isWriteInFlight = true;
            store.transaction(
                    transaction,
                    owner.onReply(reply -> new TermMessage.WriteBatchAnswered(reply, fencingToken, transaction)));
        }
    }

    /** Handles the store's answer to a write batch. */
    void writeAnswered(TermMessage.WriteBatchAnswered message) {
        long now = owner.now();
        Reply reply = message.reply();
        isWriteInFlight = false;
        try {
            if (reply.ok()) {
                lastRevision = StoreCodec.revision(reply.body());
                scheduler.writeConfirmed(lastRevision, now);
                publishFinishedJobs();
                if (!owner.isShuttingDown()) {
                    writeNextBatch(now);
                }
                return;
            }
            if (reply.notExecuted()) {
                if (reply.status() == 429 && !wasRateLimitLogged) {
                    wasRateLimitLogged = true;
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
            LOG.error("malformed transaction answer: {}", e.getMessage());
        }
        LOG.warn("transaction of unknown outcome (status {}): reading its keys back", reply.status());
        unresolvedKeys = new PendingReads(scheduler.unresolvedWriteKeys());
        readNextUnresolvedKey();
    }

    /**
     * Handles a transaction that the store refused because of the versions of the given keys. If the leader record is among them, this term
     * is fenced. Otherwise the usual cause is a user who cancelled a job in the meantime, so the rest of the batch is sent again at once.
     */
    private void writeConflicted(List<String> failedKeys, long now) {
        if (failedKeys.contains(StoreKeys.LEADER)) {
            LOG.info("transaction refused: fenced, the leader record has changed");
            owner.writeFenced();
            return;
        }
        LOG.debug("transaction refused, keys in conflict: {}", failedKeys);
        scheduler.writeConflicted(failedKeys, now).forEach(this::readConflictedKey);
        if (!owner.isShuttingDown()) {
            writeNextBatch(now);
        }
    }

    /** Reads a key that was in conflict. */
    void readConflictedKey(String key) {
        long fencingToken = scheduler.fencingToken();
        store.read(key, owner.onReply(reply -> new TermMessage.ConflictingKeyRead(reply, fencingToken, key)));
    }

    /** Handles the answer to a read of a key that was in conflict; a read that failed is retried after a delay. */
    void conflictedKeyRead(TermMessage.ConflictingKeyRead message) {
        if (applyReadBack(message.key(), message.reply())) {
            scheduler.keyReadBack(message.key(), owner.now());
            publishFinishedJobs();
        } else {
            owner.tellLater(
                    new TermMessage.ConflictingKeyReadDue(message.fencingToken(), message.key()), RETRY_DELAY_MICROS);
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

    /** Reports jobs that a transaction finished to the job cache, so that dependent jobs do not wait for its next read of the changes. */
    private void publishFinishedJobs() {
        scheduler
                .takeFinishedJobs()
                .forEach(job -> users.tell(new UsersActor.JobFinished(job.id(), job.record(), job.version())));
    }

    /** Reads the next key of a transaction of unknown outcome, or reports it as resolved once all are read. */
    void readNextUnresolvedKey() {
        if (unresolvedKeys.isFinished()) {
            scheduler.writeResolved(owner.now());
            publishFinishedJobs();
            return;
        }
        String key = unresolvedKeys.startNextRead();
        if (key != null) {
            long fencingToken = scheduler.fencingToken();
            store.read(key, owner.onReply(reply -> new TermMessage.UnresolvedKeyRead(reply, fencingToken, key)));
        }
    }

    /** Handles the answer to a read of a key of a transaction of unknown outcome; a read that failed is retried after a delay. */
    void unresolvedKeyRead(TermMessage.UnresolvedKeyRead message) {
        if (applyReadBack(message.key(), message.reply())) {
            unresolvedKeys.readCompleted();
            readNextUnresolvedKey();
        } else {
            unresolvedKeys.readFailed();
            owner.tellLater(new TermMessage.ReadBackDue(message.fencingToken()), RETRY_DELAY_MICROS);
        }
    }

    /**
     * Applies the stored record of a key to the scheduler. A malformed record is logged and counts as read.
     *
     * @return false if the store answered neither with the record nor that there is none, so the key has to be read again
     */
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
                } else if (item.record() instanceof StoredRecord.JobRecord job) {
                    scheduler.jobReadBack(StoreKeys.jobIdOf(item.key()), job, item.version(), owner.now());
                }
            } else if (reply.status() == 404) {
                if (StoreKeys.isLedger(key)) {
                    scheduler.ledgerReadBack(key, null, 0);
                }
            } else {
                return false;
            }
        } catch (MalformedException e) {
            LOG.error("malformed record {}: {}", key, e.getMessage());
        }
        return true;
    }
}
