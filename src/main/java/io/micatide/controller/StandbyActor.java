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
 * Keeps the copies of ledgers and bookings while this controller is appointed to take over, and brings them to a {@link FailoverLoader} on
 * this controller. Costs nothing while it is not appointed: no reads, no rows.
 */
final class StandbyActor extends Actor<StandbyActor.Message> {
    sealed interface Message {}

    /** The leader's news say whether this controller is to follow. */
    record DesignationChanged(boolean isDesignated) implements Message {}

    record PollDue(long generation) implements Message {}

    record PageRead(Reply reply, long generation, KeyspaceReplica replica, boolean first) implements Message {}

    record ReloadDue(long generation, KeyspaceReplica replica) implements Message {}

    record ChangesRead(Reply reply, long generation, KeyspaceReplica replica, long askedMicros) implements Message {}

    /** This controller has claimed the lead: the copies, brought up to the claim, are wanted now. */
    record ProvideReplicas(long fencingToken, FailoverLoader loader) implements Message {}

    record CatchUpRead(Reply reply, KeyspaceReplica replica, long fencingToken, FailoverLoader loader, int tries)
            implements Message {}

    record CatchUpRetry(KeyspaceReplica replica, long fencingToken, FailoverLoader loader, int tries)
            implements Message {}

    /** A leader that ends tells the last revision of its writes, and waits for the answer. */
    record HandoverRequested(Request request, long revision) implements Message {}

    /** The leader's hints. */
    record HintsReceived(Request request) implements Message {}

    record HandoverChangesRead(Reply reply, long generation, KeyspaceReplica replica, Request request, long revision)
            implements Message {}

    /** Two followers, each with two of these reads and one of the job rows, take a twentieth of the requests at most. */
    private static final double POLL_READS_BUDGET = 6 * 20;

    private static final long MIN_POLL_MICROS = 500 * Micros.MILLISECOND;
    /** What did not fit is tried again after so long. */
    private static final long TOO_LARGE_RETRY_MICROS = 60 * Micros.SECOND;

    private static final long LOG_INTERVAL_MICROS = 30 * Micros.SECOND;
    private static final long CATCH_UP_RETRY_MICROS = 60 * Micros.MILLISECOND;
    private static final int MAX_CATCH_UP_ATTEMPTS = 4;
    /** All of its memory that a controller may spend on following, of which the copies' estimate is about half. */
    private static final double MEMORY_SHARE = 0.06;

    private static final double MAX_REPLICA_MB = 10;
    private static final byte[] NOT_FOLLOWING = Json.error(null, "follows nothing");

    private final StoreClient store;
    private final UsersActor users;
    private final LeaderActor leader;
    private final long pollIntervalMicros;
    private final List<KeyspaceReplica> replicas;
    private final ReceivedHints hints = new ReceivedHints();
    private boolean following;
    /** Answers to what an earlier following asked are dropped. */
    private long generation;

    private long loggedMicros;
    private long upToDateMicros;
    /** Sees what is brought to a take-over, for rehearsals that hold it against the store. */
    private BiConsumer<String, List<StoreCodec.Item>> replicaObserver = (prefix, rows) -> {};

    StandbyActor(
            ActorExecutor loop,
            Settings settings,
            StoreClient state,
            UsersActor users,
            LeaderActor leader,
            KeyspaceReplica.Factory maker) {
        super(loop);
        this.store = state;
        this.users = users;
        this.leader = leader;
        this.pollIntervalMicros =
                Math.max(MIN_POLL_MICROS, Micros.ofSeconds(POLL_READS_BUDGET / settings.storeRequestsPerSecond()));
        long most = (long) (Math.min(MAX_REPLICA_MB, settings.memoryMb() * MEMORY_SHARE) * (1 << 20));
        this.replicas = List.of(
                maker.create(StoreKeys.LEDGERS, most * 9 / 10),
                maker.create(StoreKeys.PROVISIONING_REQUESTS, most / 10));
    }

    void setReplicaObserver(BiConsumer<String, List<StoreCodec.Item>> each) {
        replicaObserver = each;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof DesignationChanged m) {
            designationChanged(m.isDesignated());
        } else if (message instanceof PollDue m) {
            if (m.generation() == generation && following) {
                pollDue();
            }
        } else if (message instanceof PageRead m) {
            if (m.generation() == generation) {
                pageRead(m);
            }
        } else if (message instanceof ReloadDue m) {
            if (m.generation() == generation) {
                readPage(m.replica(), null);
            }
        } else if (message instanceof ChangesRead m) {
            if (m.generation() == generation) {
                changesRead(m);
            }
        } else if (message instanceof ProvideReplicas m) {
            provideReplicas(m);
        } else if (message instanceof CatchUpRetry m) {
            requestCatchUp(m.replica(), m.fencingToken(), m.loader(), m.tries());
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

    private void designationChanged(boolean now) {
        if (now == following) {
            return;
        }
        following = now;
        generation++;
        replicas.forEach(KeyspaceReplica::clear);
        hints.clear();
        reportCompleteness();
        if (now) {
            log.info("follows the leader's rows, every {} ms", pollIntervalMicros / Micros.MILLISECOND);
            upToDateMicros = now();
            loggedMicros = now();
            replicas.forEach(replica -> readPage(replica, null));
            tellLater(new PollDue(generation), pollIntervalMicros);
        } else {
            log.info("follows no more");
        }
    }

    private boolean isComplete() {
        return following && replicas.stream().allMatch(KeyspaceReplica::isComplete);
    }

    private void reportCompleteness() {
        leader.tell(new StandbyMessage.CopyIs(isComplete()));
    }

    // ---- following

    private void readPage(KeyspaceReplica replica, String after) {
        long of = generation;
        store.list(replica.prefix(), after, answer(r -> new PageRead(r, of, replica, after == null)));
    }

    private void pollDue() {
        long now = now();
        for (KeyspaceReplica replica : replicas) {
            if (replica.isComplete()) {
                long of = generation;
                store.changes(replica.prefix(), replica.revision(), answer(r -> new ChangesRead(r, of, replica, now)));
            }
        }
        users.tell(new UsersActor.KeepUp());
        if (now - loggedMicros >= LOG_INTERVAL_MICROS) {
            loggedMicros = now;
            log.info(
                    "standby: {} rows, {} KB, {} hints, as of {} ms ago at revision {}{}",
                    replicas.stream().mapToInt(KeyspaceReplica::size).sum(),
                    replicas.stream().mapToLong(KeyspaceReplica::estimatedBytes).sum() >> 10,
                    hints.size(),
                    (now - upToDateMicros) / Micros.MILLISECOND,
                    replicas.get(0).revision(),
                    isComplete() ? "" : ", not whole");
        }
        tellLater(new PollDue(generation), pollIntervalMicros);
    }

    private void pageRead(PageRead message) {
        KeyspaceReplica replica = message.replica();
        if (!message.reply().ok()) {
            // From the beginning: a page that follows on another is worth nothing once the first is old, and this is
            // rare.
            reloadLater(replica, pollIntervalMicros);
            return;
        }
        try {
            StoreCodec.Items page = StoreCodec.page(message.reply().body());
            boolean more = page.more() && !page.items().isEmpty();
            replica.loadPage(entriesOf(page), message.first(), !more, page.revision());
            if (replica.invalidReason() != null) {
                discardInvalid(replica);
            } else if (more) {
                readPage(replica, page.items().get(page.items().size() - 1).key());
            } else {
                reportCompleteness();
            }
        } catch (MalformedException e) {
            log.error("stored rows: {}", e.getMessage());
            reloadLater(replica, TOO_LARGE_RETRY_MICROS);
        }
    }

    private void reloadLater(KeyspaceReplica replica, long delayMicros) {
        replica.clear();
        tellLater(new ReloadDue(generation, replica), delayMicros);
    }

    private static List<KeyspaceReplica.Entry> entriesOf(StoreCodec.Items items) {
        List<KeyspaceReplica.Entry> result = new ArrayList<>(items.items().size());
        items.items().forEach(item -> result.add(new KeyspaceReplica.Entry(item.key(), item.row(), item.version())));
        return result;
    }

    /** Takes an answer to a read of the changes in. */
    private boolean applyChanges(KeyspaceReplica replica, Reply reply) {
        if (reply.status() == 410) {
            replica.changesCompacted();
            return true;
        }
        if (!reply.ok()) {
            return false;
        }
        try {
            StoreCodec.Items changes = StoreCodec.changes(reply.body());
            replica.applyChanges(entriesOf(changes), changes.revision());
            return true;
        } catch (MalformedException e) {
            log.error("changes of {}: {}", replica.prefix(), e.getMessage());
            replica.changesCompacted();
            return true;
        }
    }

    private void changesRead(ChangesRead message) {
        KeyspaceReplica replica = message.replica();
        if (!replica.isComplete() || !applyChanges(replica, message.reply())) {
            return;
        }
        if (replica.invalidReason() != null) {
            discardInvalid(replica);
        } else {
            upToDateMicros = message.askedMicros();
        }
    }

    private void discardInvalid(KeyspaceReplica replica) {
        KeyspaceReplica.InvalidReason flaw = replica.invalidReason();
        log.warn(
                "the replica of {} is worth nothing ({}), {} rows, {} KB: read anew",
                replica.prefix(),
                flaw,
                replica.size(),
                replica.estimatedBytes() >> 10);
        reloadLater(
                replica, flaw == KeyspaceReplica.InvalidReason.TOO_LARGE ? TOO_LARGE_RETRY_MICROS : pollIntervalMicros);
        reportCompleteness();
    }

    // ---- taking over

    private void provideReplicas(ProvideReplicas message) {
        boolean had = following;
        following = false;
        generation++;
        for (KeyspaceReplica replica : replicas) {
            if (had && replica.isComplete()) {
                requestCatchUp(replica, message.fencingToken(), message.loader(), 1);
            } else {
                message.loader().tell(new FailoverLoader.Brought(replica.prefix(), null));
                replica.clear();
            }
        }
        leader.tell(new TermMessage.HintsKept(message.fencingToken(), hints.all()));
        hints.clear();
        leader.tell(new StandbyMessage.CopyIs(false));
    }

    /** Whoever leads by the latest token tells; an heir that was not told of its appointment yet holds nothing. */
    private void hintsReceived(Request request) {
        try {
            request.answer(
                    200, HintCodec.acknowledgement(following ? hints.receive(HintCodec.batch(request.body())) : 0));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private void requestCatchUp(KeyspaceReplica replica, long fencingToken, FailoverLoader to, int tries) {
        store.changes(
                replica.prefix(),
                replica.revision(),
                answer(r -> new CatchUpRead(r, replica, fencingToken, to, tries)));
    }

    /**
     * Rows that only leaders write stand still from the claim on: no write of an earlier one is applied after it. A replica that
     * reaches the claim's revision is what a full read would give, and any other is not used.
     */
    private void catchUpRead(CatchUpRead message) {
        KeyspaceReplica replica = message.replica();
        if (!applyChanges(replica, message.reply()) && message.tries() < MAX_CATCH_UP_ATTEMPTS) {
            tellLater(
                    new CatchUpRetry(replica, message.fencingToken(), message.loader(), message.tries() + 1),
                    CATCH_UP_RETRY_MICROS);
            return;
        }
        List<StoreCodec.Item> items = null;
        if (replica.isCompleteAt(message.fencingToken())) {
            items = new ArrayList<>(replica.size());
            for (KeyspaceReplica.Entry entry : replica.entries()) {
                items.add(new StoreCodec.Item(entry.key(), entry.record(), entry.version()));
            }
        } else {
            log.warn(
                    "the replica of {} is not as new as the claim ({}, revision {} of {}): all is read instead",
                    replica.prefix(),
                    replica.invalidReason(),
                    replica.revision(),
                    message.fencingToken());
        }
        if (items != null) {
            replicaObserver.accept(replica.prefix(), items);
        }
        message.loader().tell(new FailoverLoader.Brought(replica.prefix(), items));
        replica.clear();
    }

    // ---- a leader that ends

    private void handoverRequested(Request request, long revision) {
        if (!isComplete()) {
            request.answer(409, NOT_FOLLOWING);
            return;
        }
        users.tell(new UsersActor.KeepUp());
        KeyspaceReplica ledgers = replicas.get(0);
        long of = generation;
        store.changes(
                ledgers.prefix(),
                ledgers.revision(),
                answer(r -> new HandoverChangesRead(r, of, ledgers, request, revision)));
    }

    private void handoverChangesRead(HandoverChangesRead message) {
        KeyspaceReplica replica = message.replica();
        if (message.generation() == generation
                && replica.isComplete()
                && applyChanges(replica, message.reply())
                && replica.isCompleteAt(message.revision())) {
            message.request().answer(200, Json.bytes(out -> {
                out.writeStartObject();
                out.writeEndObject();
            }));
        } else {
            message.request().answer(409, NOT_FOLLOWING);
        }
        if (message.generation() == generation && replica.invalidReason() != null) {
            discardInvalid(replica);
        }
    }
}
