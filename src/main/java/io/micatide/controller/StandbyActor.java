package io.micatide.controller;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.HintCodec;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.standby.KeyspaceReplica;
import io.micatide.standby.ReceivedHints;
import io.micatide.store.StoreKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Keeps replicas of the ledgers and the provisioning requests while this controller is a designated standby, and provides them to a
 * {@link FailoverLoader} on this controller. While the controller is not designated, this actor reads nothing and holds no records.
 */
final class StandbyActor extends Actor<StandbyActor.Message> {
    /** A message to this actor. */
    sealed interface Message {}

    /** The leader reported whether this controller is a designated standby. */
    record DesignationChanged(boolean isDesignated) implements Message {}

    /**
     * The next read of the changes of all replicas is due.
     *
     * @param generation the {@link #generation} in which the poll was scheduled
     */
    record PollDue(long generation) implements Message {}

    /** The store answered a read of one page of a full read. */
    record PageRead(Reply reply, long generation, KeyspaceReplica replica, boolean isFirst) implements Message {}

    /** A new full read of a replica is due. */
    record ReloadDue(long generation, KeyspaceReplica replica) implements Message {}

    /** The store answered a read of the changes since a replica's revision, sent at {@code requestSentMicros}. */
    record ChangesRead(Reply reply, long generation, KeyspaceReplica replica, long requestSentMicros)
            implements Message {}

    /**
     * This controller claimed the lease: the loader awaits the replicas, brought up to date with the claim.
     *
     * @param fencingToken of the new term; it is the revision of the claim
     */
    record ProvideReplicas(long fencingToken, FailoverLoader loader) implements Message {}

    /** The store answered a read of the changes up to the claim. */
    record CatchUpRead(Reply reply, CatchUp catchUp) implements Message {}

    /** A retry of the read of the changes up to the claim is due. */
    record CatchUpRetry(CatchUp catchUp) implements Message {}

    /**
     * A leader that shuts down requests an answer once the replica of the ledgers holds all its writes.
     *
     * @param revision of the leader's last write
     */
    record HandoverRequested(Request request, long revision) implements Message {}

    /** The store answered the read of the changes for a handover. */
    record HandoverChangesRead(Reply reply, long generation, KeyspaceReplica replica, Request request, long revision)
            implements Message {}

    /** The leader sent a batch of hints. */
    record HintsReceived(Request request) implements Message {}

    /**
     * A replica that is being brought up to date with the revision of a claim.
     *
     * @param fencingToken of the new term; it is the revision of the claim
     * @param attempt number of this read, from 1 to {@link #MAX_CATCH_UP_ATTEMPTS}
     */
    record CatchUp(KeyspaceReplica replica, long fencingToken, FailoverLoader loader, int attempt) {
        CatchUp nextAttempt() {
            return new CatchUp(replica, fencingToken, loader, attempt + 1);
        }
    }

    /**
     * Divided by the store's requests per second, gives the poll interval in seconds. Two standbys, each with two reads of replicas and one of
     * the job records per poll, use at most a twentieth of the requests.
     */
    private static final double POLL_READS_BUDGET = 6 * 20;

    private static final long MIN_POLL_MICROS = 500 * Micros.MILLISECOND;
    /** Delay before a replica that was too large or could not be decoded is read anew. */
    private static final long TOO_LARGE_RETRY_MICROS = 60 * Micros.SECOND;

    private static final long LOG_INTERVAL_MICROS = 30 * Micros.SECOND;
    private static final long CATCH_UP_RETRY_MICROS = 60 * Micros.MILLISECOND;
    private static final int MAX_CATCH_UP_ATTEMPTS = 4;
    /** Share of the controller's memory that following the leader may take; the estimated size of the replicas is about half of it. */
    private static final double MEMORY_SHARE = 0.06;

    private static final double MAX_REPLICA_MB = 10;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final byte[] NOT_FOLLOWING = Json.error(null, "follows nothing");

    private final StoreClient store;
    private final UsersActor users;
    private final LeaderActor leader;
    private final long pollIntervalMicros;
    /** The replica of the ledgers, then that of the provisioning requests. */
    private final List<KeyspaceReplica> replicas;

    private final ReceivedHints hints = new ReceivedHints();
    private boolean isFollowing;
    /** Incremented whenever a designation begins or ends; answers to reads of an earlier generation are dropped. */
    private long generation;

    private long lastLogMicros;
    /** Time at which the read was sent whose changes were applied last, or at which the designation began. */
    private long upToDateMicros;
    /** Receives the prefix and the records of each replica that is provided to a loader; tests compare them with the store. */
    private BiConsumer<String, List<StoreCodec.Item>> replicaObserver = (prefix, records) -> {};

    StandbyActor(
            ActorExecutor executor,
            Settings settings,
            StoreClient store,
            UsersActor users,
            LeaderActor leader,
            KeyspaceReplica.Factory factory) {
        super(executor);
        this.store = store;
        this.users = users;
        this.leader = leader;
        this.pollIntervalMicros =
                Math.max(MIN_POLL_MICROS, Micros.ofSeconds(POLL_READS_BUDGET / settings.storeRequestsPerSecond()));
        long maxBytes = (long) (Math.min(MAX_REPLICA_MB, settings.memoryMb() * MEMORY_SHARE) * (1 << 20));
        this.replicas = List.of(
                factory.create(StoreKeys.LEDGERS, maxBytes * 9 / 10),
                factory.create(StoreKeys.PROVISIONING_REQUESTS, maxBytes / 10));
    }

    /** Sets the observer of the replicas that are provided to a loader. */
    void setReplicaObserver(BiConsumer<String, List<StoreCodec.Item>> observer) {
        replicaObserver = observer;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof DesignationChanged m) {
            designationChanged(m.isDesignated());
        } else if (message instanceof PollDue m) {
            pollDue(m);
        } else if (message instanceof PageRead m) {
            pageRead(m);
        } else if (message instanceof ReloadDue m) {
            reloadDue(m);
        } else if (message instanceof ChangesRead m) {
            changesRead(m);
        } else if (message instanceof ProvideReplicas m) {
            provideReplicas(m);
        } else if (message instanceof CatchUpRetry m) {
            readCatchUp(m.catchUp());
        } else if (message instanceof CatchUpRead m) {
            catchUpRead(m);
        } else if (message instanceof HandoverRequested m) {
            handoverRequested(m.request(), m.revision());
        } else if (message instanceof HintsReceived m) {
            hintsReceived(m.request());
        } else if (message instanceof HandoverChangesRead m) {
            handoverChangesRead(m);
        }
    }

    private void designationChanged(boolean isDesignated) {
        if (isDesignated == isFollowing) {
            return;
        }
        isFollowing = isDesignated;
        generation++;
        replicas.forEach(KeyspaceReplica::clear);
        hints.clear();
        reportCompleteness();
        if (isDesignated) {
            log.info(
                    "following leader as designated standby, polling every {} ms",
                    pollIntervalMicros / Micros.MILLISECOND);
            upToDateMicros = now();
            lastLogMicros = now();
            replicas.forEach(replica -> readPage(replica, null));
            tellLater(new PollDue(generation), pollIntervalMicros);
        } else {
            log.info("stopped following leader");
        }
    }

    private boolean isComplete() {
        return isFollowing && replicas.stream().allMatch(KeyspaceReplica::isComplete);
    }

    private void reportCompleteness() {
        leader.tell(new StandbyMessage.ReplicaStateChanged(isComplete()));
    }

    // ---- following the leader

    private void readPage(KeyspaceReplica replica, String afterKey) {
        long requestGeneration = generation;
        store.list(
                replica.prefix(),
                afterKey,
                onReply(reply -> new PageRead(reply, requestGeneration, replica, afterKey == null)));
    }

    private void reloadDue(ReloadDue message) {
        if (message.generation() == generation) {
            readPage(message.replica(), null);
        }
    }

    private void pollDue(PollDue message) {
        if (message.generation() != generation || !isFollowing) {
            return;
        }
        long now = now();
        for (KeyspaceReplica replica : replicas) {
            if (replica.isComplete()) {
                readChanges(replica, now);
            }
        }
        users.tell(new UsersActor.RefreshRequested());
        if (now - lastLogMicros >= LOG_INTERVAL_MICROS) {
            lastLogMicros = now;
            logState(now);
        }
        tellLater(new PollDue(generation), pollIntervalMicros);
    }

    private void readChanges(KeyspaceReplica replica, long requestSentMicros) {
        long requestGeneration = generation;
        store.changes(
                replica.prefix(),
                replica.revision(),
                onReply(reply -> new ChangesRead(reply, requestGeneration, replica, requestSentMicros)));
    }

    private void logState(long nowMicros) {
        log.info(
                "standby: {} records, {} KB, {} hints, as of {} ms ago at revision {}{}",
                replicas.stream().mapToInt(KeyspaceReplica::size).sum(),
                replicas.stream().mapToLong(KeyspaceReplica::estimatedBytes).sum() >> 10,
                hints.size(),
                (nowMicros - upToDateMicros) / Micros.MILLISECOND,
                replicas.get(0).revision(),
                isComplete() ? "" : ", incomplete");
    }

    private void pageRead(PageRead message) {
        if (message.generation() != generation) {
            return;
        }
        KeyspaceReplica replica = message.replica();
        if (!message.reply().ok()) {
            // Restarts with the first page, since a later page is of no use once the first one is outdated. Failures
            // are rare.
            reloadLater(replica, pollIntervalMicros);
            return;
        }
        try {
            StoreCodec.Items page = StoreCodec.page(message.reply().body());
            boolean hasMore = page.hasMore() && !page.items().isEmpty();
            replica.loadPage(entriesOf(page), message.isFirst(), !hasMore, page.revision());
            if (replica.invalidReason() != null) {
                discardInvalid(replica);
            } else if (hasMore) {
                readPage(replica, page.items().get(page.items().size() - 1).key());
            } else {
                reportCompleteness();
            }
        } catch (MalformedException e) {
            log.error("malformed page of {}: {}", replica.prefix(), e.getMessage());
            reloadLater(replica, TOO_LARGE_RETRY_MICROS);
        }
    }

    private void reloadLater(KeyspaceReplica replica, long delayMicros) {
        replica.clear();
        tellLater(new ReloadDue(generation, replica), delayMicros);
    }

    private static List<KeyspaceReplica.Entry> entriesOf(StoreCodec.Items items) {
        List<KeyspaceReplica.Entry> result = new ArrayList<>(items.items().size());
        items.items().forEach(item -> result.add(new KeyspaceReplica.Entry(item.key(), item.record(), item.version())));
        return result;
    }

    /**
     * Applies the store's answer to a read of the changes.
     *
     * @return whether the store answered, which may have made the replica invalid
     */
    private boolean applyChanges(KeyspaceReplica replica, Reply reply) {
        if (reply.status() == GONE || reply.isTooLarge()) {
            replica.changesCompacted();
            return true;
        }
        if (!reply.ok()) {
            return false;
        }
        try {
            StoreCodec.Items changes = StoreCodec.changes(reply.body());
            replica.applyChanges(entriesOf(changes), changes.revision());
        } catch (MalformedException e) {
            log.error("malformed changes of {}: {}", replica.prefix(), e.getMessage());
            replica.changesCompacted();
        }
        return true;
    }

    private void changesRead(ChangesRead message) {
        KeyspaceReplica replica = message.replica();
        if (message.generation() != generation || !replica.isComplete() || !applyChanges(replica, message.reply())) {
            return;
        }
        if (replica.invalidReason() != null) {
            discardInvalid(replica);
        } else {
            upToDateMicros = message.requestSentMicros();
        }
    }

    private void discardInvalid(KeyspaceReplica replica) {
        KeyspaceReplica.InvalidReason reason = replica.invalidReason();
        log.warn(
                "discarded replica of {} ({}), {} records, {} KB: reading it anew",
                replica.prefix(),
                reason,
                replica.size(),
                replica.estimatedBytes() >> 10);
        reloadLater(
                replica,
                reason == KeyspaceReplica.InvalidReason.TOO_LARGE ? TOO_LARGE_RETRY_MICROS : pollIntervalMicros);
        reportCompleteness();
    }

    /**
     * Stores a batch of hints, unless it is of a leader with a lower fencing token than an earlier batch, and answers with the number of the
     * last complete set that is held. A standby that does not know of its designation yet stores none and answers 0.
     */
    private void hintsReceived(Request request) {
        try {
            long heldNumber = isFollowing ? hints.receive(HintCodec.batch(request.body())) : 0;
            request.answer(OK, HintCodec.acknowledgement(heldNumber));
        } catch (MalformedException e) {
            request.answer(BAD_REQUEST, Json.error(e.field(), e.getMessage()));
        }
    }

    // ---- failover

    private void provideReplicas(ProvideReplicas message) {
        boolean wasFollowing = isFollowing;
        isFollowing = false;
        generation++;
        for (KeyspaceReplica replica : replicas) {
            if (wasFollowing && replica.isComplete()) {
                readCatchUp(new CatchUp(replica, message.fencingToken(), message.loader(), 1));
            } else {
                message.loader().tell(new FailoverLoader.ReplicaLoaded(replica.prefix(), null));
                replica.clear();
            }
        }
        leader.tell(new TermMessage.ReceivedHintsLoaded(message.fencingToken(), hints.all()));
        hints.clear();
        leader.tell(new StandbyMessage.ReplicaStateChanged(false));
    }

    private void readCatchUp(CatchUp catchUp) {
        KeyspaceReplica replica = catchUp.replica();
        store.changes(replica.prefix(), replica.revision(), onReply(reply -> new CatchUpRead(reply, catchUp)));
    }

    /**
     * Provides the replica to the loader if it has reached the revision of the claim. Only leaders write these records, and the store applies
     * no write of a previous leader after the claim, so such a replica equals a full read. Any other replica is not used: the loader reads
     * all records instead.
     */
    private void catchUpRead(CatchUpRead message) {
        CatchUp catchUp = message.catchUp();
        KeyspaceReplica replica = catchUp.replica();
        if (!applyChanges(replica, message.reply()) && catchUp.attempt() < MAX_CATCH_UP_ATTEMPTS) {
            tellLater(new CatchUpRetry(catchUp.nextAttempt()), CATCH_UP_RETRY_MICROS);
            return;
        }
        List<StoreCodec.Item> items = null;
        if (replica.isCompleteAt(catchUp.fencingToken())) {
            items = itemsOf(replica);
            replicaObserver.accept(replica.prefix(), items);
        } else {
            log.warn(
                    "replica of {} did not reach the claim ({}, revision {} of {}): reading all records instead",
                    replica.prefix(),
                    replica.invalidReason(),
                    replica.revision(),
                    catchUp.fencingToken());
        }
        catchUp.loader().tell(new FailoverLoader.ReplicaLoaded(replica.prefix(), items));
        replica.clear();
    }

    private static List<StoreCodec.Item> itemsOf(KeyspaceReplica replica) {
        List<StoreCodec.Item> items = new ArrayList<>(replica.size());
        for (KeyspaceReplica.Entry entry : replica.entries()) {
            items.add(new StoreCodec.Item(entry.key(), entry.record(), entry.version()));
        }
        return items;
    }

    // ---- handover

    private void handoverRequested(Request request, long revision) {
        if (!isComplete()) {
            request.answer(CONFLICT, NOT_FOLLOWING);
            return;
        }
        users.tell(new UsersActor.RefreshRequested());
        KeyspaceReplica ledgers = replicas.get(0);
        long requestGeneration = generation;
        store.changes(
                ledgers.prefix(),
                ledgers.revision(),
                onReply(reply -> new HandoverChangesRead(reply, requestGeneration, ledgers, request, revision)));
    }

    private void handoverChangesRead(HandoverChangesRead message) {
        KeyspaceReplica replica = message.replica();
        boolean isCurrent = message.generation() == generation;
        if (isCurrent
                && replica.isComplete()
                && applyChanges(replica, message.reply())
                && replica.isCompleteAt(message.revision())) {
            message.request().answer(OK, Json.bytes(out -> {
                out.writeStartObject();
                out.writeEndObject();
            }));
        } else {
            message.request().answer(CONFLICT, NOT_FOLLOWING);
        }
        if (isCurrent && replica.invalidReason() != null) {
            discardInvalid(replica);
        }
    }
}
