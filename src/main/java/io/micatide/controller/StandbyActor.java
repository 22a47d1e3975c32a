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
 * Keeps replicas of ledgers and provisioning requests while this controller is a designated standby, and provides them to a
 * {@link FailoverLoader} on this controller. Costs nothing while it is not designated: no reads, no records.
 */
final class StandbyActor extends Actor<StandbyActor.Message> {
    /** What this actor is told. */
    sealed interface Message {}

    /** The leader's status says whether this controller is a designated standby. */
    record DesignationChanged(boolean isDesignated) implements Message {}

    /** It is time to read the changes of all replicas. */
    record PollDue(long generation) implements Message {}

    /** A page of a full read. */
    record PageRead(Reply reply, long generation, KeyspaceReplica replica, boolean isFirst) implements Message {}

    /** It is time to read a replica anew. */
    record ReloadDue(long generation, KeyspaceReplica replica) implements Message {}

    /** The changes since a replica's revision. */
    record ChangesRead(Reply reply, long generation, KeyspaceReplica replica, long askedMicros) implements Message {}

    /** This controller has claimed the lease: the replicas, brought up to the claim, are wanted now. */
    record ProvideReplicas(long fencingToken, FailoverLoader loader) implements Message {}

    /** The changes up to the claim. */
    record CatchUpRead(Reply reply, CatchUp catchUp) implements Message {}

    /** It is time to ask again for the changes up to the claim. */
    record CatchUpRetry(CatchUp catchUp) implements Message {}

    /** A leader that ends tells the last revision of its writes, and waits for the answer. */
    record HandoverRequested(Request request, long revision) implements Message {}

    /** The changes up to a handover. */
    record HandoverChangesRead(Reply reply, long generation, KeyspaceReplica replica, Request request, long revision)
            implements Message {}

    /** A batch of the leader's hints. */
    record HintsReceived(Request request) implements Message {}

    /**
     * A replica on its way to the revision of a claim.
     *
     * @param attempt from 1
     */
    record CatchUp(KeyspaceReplica replica, long fencingToken, FailoverLoader loader, int attempt) {
        CatchUp nextAttempt() {
            return new CatchUp(replica, fencingToken, loader, attempt + 1);
        }
    }

    /** Two standbys, each with two of these reads and one of the job records, take a twentieth of the requests at most. */
    private static final double POLL_READS_BUDGET = 6 * 20;

    private static final long MIN_POLL_MICROS = 500 * Micros.MILLISECOND;
    /** What is too large, or could not be decoded, is tried again after so long. */
    private static final long TOO_LARGE_RETRY_MICROS = 60 * Micros.SECOND;

    private static final long LOG_INTERVAL_MICROS = 30 * Micros.SECOND;
    private static final long CATCH_UP_RETRY_MICROS = 60 * Micros.MILLISECOND;
    private static final int MAX_CATCH_UP_ATTEMPTS = 4;
    /** What a controller may spend of its memory on following, of which the replicas' estimate is about half. */
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
    /** Ledgers first. */
    private final List<KeyspaceReplica> replicas;

    private final ReceivedHints hints = new ReceivedHints();
    private boolean isFollowing;
    /** Counts designations and their ends; answers to what an earlier one asked are dropped. */
    private long generation;

    private long loggedMicros;
    private long upToDateMicros;
    /** Sees what is provided to a loader; tests compare it with the store. */
    private BiConsumer<String, List<StoreCodec.Item>> replicaObserver = (prefix, records) -> {};

    StandbyActor(
            ActorExecutor loop,
            Settings settings,
            StoreClient store,
            UsersActor users,
            LeaderActor leader,
            KeyspaceReplica.Factory factory) {
        super(loop);
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
            loggedMicros = now();
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

    // ---- following

    private void readPage(KeyspaceReplica replica, String after) {
        long asked = generation;
        store.list(replica.prefix(), after, onReply(reply -> new PageRead(reply, asked, replica, after == null)));
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
        if (now - loggedMicros >= LOG_INTERVAL_MICROS) {
            loggedMicros = now;
            logState(now);
        }
        tellLater(new PollDue(generation), pollIntervalMicros);
    }

    private void readChanges(KeyspaceReplica replica, long askedMicros) {
        long asked = generation;
        store.changes(
                replica.prefix(),
                replica.revision(),
                onReply(reply -> new ChangesRead(reply, asked, replica, askedMicros)));
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
            // From the beginning: a page that follows on another is worth nothing once the first is old, and this is
            // rare.
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
            log.error("page of {}: {}", replica.prefix(), e.getMessage());
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
     * Takes in the answer to a read of the changes.
     *
     * @return whether there was an answer; the replica may be invalid by it
     */
    private boolean applyChanges(KeyspaceReplica replica, Reply reply) {
        if (reply.status() == GONE) {
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
            log.error("changes of {}: {}", replica.prefix(), e.getMessage());
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
            upToDateMicros = message.askedMicros();
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

    /** Hints of the leader with the latest token are kept; a standby that has not heard of its designation yet holds none. */
    private void hintsReceived(Request request) {
        try {
            long held = isFollowing ? hints.receive(HintCodec.batch(request.body())) : 0;
            request.answer(OK, HintCodec.acknowledgement(held));

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
     * Records that only leaders write stand still from the claim on: no write of an earlier leader is applied after it. A replica that
     * reaches the claim's revision is what a full read would give, and any other is not used.
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
        long asked = generation;
        store.changes(
                ledgers.prefix(),
                ledgers.revision(),
                onReply(reply -> new HandoverChangesRead(reply, asked, ledgers, request, revision)));
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
