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
    record Appointed(boolean now) implements Message {}

    record Due(long life) implements Message {}

    record PageRead(Reply reply, long life, KeyspaceReplica copy, boolean first) implements Message {}

    record ReadAnew(long life, KeyspaceReplica copy) implements Message {}

    record ChangesRead(Reply reply, long life, KeyspaceReplica copy, long askedMicros) implements Message {}

    /** This controller has claimed the lead: the copies, brought up to the claim, are wanted now. */
    record Bring(long fencingToken, FailoverLoader to) implements Message {}

    record BroughtUp(Reply reply, KeyspaceReplica copy, long fencingToken, FailoverLoader to, int tries)
            implements Message {}

    record BringAgain(KeyspaceReplica copy, long fencingToken, FailoverLoader to, int tries) implements Message {}

    /** A leader that ends tells the last revision of its writes, and waits for the answer. */
    record CatchUp(Request request, long revision) implements Message {}

    /** The leader's hints. */
    record Hinted(Request request) implements Message {}

    record CaughtUp(Reply reply, long life, KeyspaceReplica copy, Request request, long revision) implements Message {}

    /** Two followers, each with two of these reads and one of the job rows, take a twentieth of the requests at most. */
    private static final double READS = 6 * 20;

    private static final long LEAST_MICROS = 500 * Micros.MILLISECOND;
    /** What did not fit is tried again after so long. */
    private static final long TOO_LARGE_MICROS = 60 * Micros.SECOND;

    private static final long SAID_MICROS = 30 * Micros.SECOND;
    private static final long AGAIN_MICROS = 60 * Micros.MILLISECOND;
    private static final int BRING_TRIES = 4;
    /** All of its memory that a controller may spend on following, of which the copies' estimate is about half. */
    private static final double MEMORY_SHARE = 0.06;

    private static final double MOST_MB = 10;
    private static final byte[] NOT_WARM = Json.error(null, "follows nothing");

    private final StoreClient state;
    private final UsersActor users;
    private final LeaderActor leader;
    private final long everyMicros;
    private final List<KeyspaceReplica> copies;
    private final ReceivedHints hints = new ReceivedHints();
    private boolean following;
    /** Answers to what an earlier following asked are dropped. */
    private long life;

    private long saidMicros;
    private long freshMicros;
    /** Sees what is brought to a take-over, for rehearsals that hold it against the store. */
    private BiConsumer<String, List<StoreCodec.Item>> witness = (prefix, rows) -> {};

    StandbyActor(
            ActorExecutor loop,
            Settings settings,
            StoreClient state,
            UsersActor users,
            LeaderActor leader,
            KeyspaceReplica.Maker maker) {
        super(loop);
        this.state = state;
        this.users = users;
        this.leader = leader;
        this.everyMicros = Math.max(LEAST_MICROS, Micros.ofSeconds(READS / settings.storeRequestsPerSecond()));
        long most = (long) (Math.min(MOST_MB, settings.memoryMb() * MEMORY_SHARE) * (1 << 20));
        this.copies = List.of(
                maker.make(StoreKeys.LEDGERS, most * 9 / 10), maker.make(StoreKeys.PROVISIONING_REQUESTS, most / 10));
    }

    void witness(BiConsumer<String, List<StoreCodec.Item>> each) {
        witness = each;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Appointed m) {
            appointed(m.now());
        } else if (message instanceof Due m) {
            if (m.life() == life && following) {
                due();
            }
        } else if (message instanceof PageRead m) {
            if (m.life() == life) {
                pageRead(m);
            }
        } else if (message instanceof ReadAnew m) {
            if (m.life() == life) {
                readPage(m.copy(), null);
            }
        } else if (message instanceof ChangesRead m) {
            if (m.life() == life) {
                changesRead(m);
            }
        } else if (message instanceof Bring m) {
            bring(m);
        } else if (message instanceof BringAgain m) {
            bringUp(m.copy(), m.fencingToken(), m.to(), m.tries());
        } else if (message instanceof BroughtUp m) {
            broughtUp(m);
        } else if (message instanceof CatchUp m) {
            catchUp(m.request(), m.revision());
        } else if (message instanceof Hinted m) {
            hinted(m.request());
        } else if (message instanceof CaughtUp m) {
            caughtUp(m);
        }
    }

    private void appointed(boolean now) {
        if (now == following) {
            return;
        }
        following = now;
        life++;
        copies.forEach(KeyspaceReplica::clear);
        hints.clear();
        tellWhole();
        if (now) {
            log.info("follows the leader's rows, every {} ms", everyMicros / Micros.MILLISECOND);
            freshMicros = now();
            saidMicros = now();
            copies.forEach(copy -> readPage(copy, null));
            tellLater(new Due(life), everyMicros);
        } else {
            log.info("follows no more");
        }
    }

    private boolean whole() {
        return following && copies.stream().allMatch(KeyspaceReplica::whole);
    }

    private void tellWhole() {
        leader.tell(new StandbyMessage.CopyIs(whole()));
    }

    // ---- following

    private void readPage(KeyspaceReplica copy, String after) {
        long of = life;
        state.list(copy.prefix(), after, answer(r -> new PageRead(r, of, copy, after == null)));
    }

    private void due() {
        long now = now();
        for (KeyspaceReplica copy : copies) {
            if (copy.whole()) {
                long of = life;
                state.changes(copy.prefix(), copy.revision(), answer(r -> new ChangesRead(r, of, copy, now)));
            }
        }
        users.tell(new UsersActor.RefreshRequested());
        if (now - saidMicros >= SAID_MICROS) {
            saidMicros = now;
            log.info(
                    "standby: {} rows, {} KB, {} hints, as of {} ms ago at revision {}{}",
                    copies.stream().mapToInt(KeyspaceReplica::size).sum(),
                    copies.stream().mapToLong(KeyspaceReplica::bytes).sum() >> 10,
                    hints.size(),
                    (now - freshMicros) / Micros.MILLISECOND,
                    copies.get(0).revision(),
                    whole() ? "" : ", not whole");
        }
        tellLater(new Due(life), everyMicros);
    }

    private void pageRead(PageRead message) {
        KeyspaceReplica copy = message.copy();
        if (!message.reply().ok()) {
            // From the beginning: a page that follows on another is worth nothing once the first is old, and this is
            // rare.
            readLater(copy, everyMicros);
            return;
        }
        try {
            StoreCodec.Items page = StoreCodec.page(message.reply().body());
            boolean more = page.more() && !page.items().isEmpty();
            copy.page(entries(page), message.first(), !more, page.revision());
            if (copy.flaw() != null) {
                flawed(copy);
            } else if (more) {
                readPage(copy, page.items().get(page.items().size() - 1).key());
            } else {
                tellWhole();
            }
        } catch (MalformedException e) {
            log.error("stored rows: {}", e.getMessage());
            readLater(copy, TOO_LARGE_MICROS);
        }
    }

    private void readLater(KeyspaceReplica copy, long delayMicros) {
        copy.clear();
        tellLater(new ReadAnew(life, copy), delayMicros);
    }

    private static List<KeyspaceReplica.Entry> entries(StoreCodec.Items items) {
        List<KeyspaceReplica.Entry> result = new ArrayList<>(items.items().size());
        items.items().forEach(item -> result.add(new KeyspaceReplica.Entry(item.key(), item.record(), item.version())));
        return result;
    }

    /** Takes an answer to a read of the changes in. */
    private boolean apply(KeyspaceReplica copy, Reply reply) {
        if (reply.status() == 410) {
            copy.missedChanges();
            return true;
        }
        if (!reply.ok()) {
            return false;
        }
        try {
            StoreCodec.Items changes = StoreCodec.changes(reply.body());
            copy.changes(entries(changes), changes.revision());
            return true;
        } catch (MalformedException e) {
            log.error("changes of {}: {}", copy.prefix(), e.getMessage());
            copy.missedChanges();
            return true;
        }
    }

    private void changesRead(ChangesRead message) {
        KeyspaceReplica copy = message.copy();
        if (!copy.whole() || !apply(copy, message.reply())) {
            return;
        }
        if (copy.flaw() != null) {
            flawed(copy);
        } else {
            freshMicros = message.askedMicros();
        }
    }

    private void flawed(KeyspaceReplica copy) {
        KeyspaceReplica.Flaw flaw = copy.flaw();
        log.warn(
                "the copy of {} is worth nothing ({}), {} rows, {} KB: read anew",
                copy.prefix(),
                flaw,
                copy.size(),
                copy.bytes() >> 10);
        readLater(copy, flaw == KeyspaceReplica.Flaw.TOO_LARGE ? TOO_LARGE_MICROS : everyMicros);
        tellWhole();
    }

    // ---- taking over

    private void bring(Bring message) {
        boolean had = following;
        following = false;
        life++;
        for (KeyspaceReplica copy : copies) {
            if (had && copy.whole()) {
                bringUp(copy, message.fencingToken(), message.to(), 1);
            } else {
                message.to().tell(new FailoverLoader.Brought(copy.prefix(), null));
                copy.clear();
            }
        }
        leader.tell(new TermMessage.HintsKept(message.fencingToken(), hints.all()));
        hints.clear();
        leader.tell(new StandbyMessage.CopyIs(false));
    }

    /** Whoever leads by the latest token tells; an heir that was not told of its appointment yet holds nothing. */
    private void hinted(Request request) {
        try {
            request.answer(200, HintCodec.held(following ? hints.take(HintCodec.part(request.body())) : 0));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private void bringUp(KeyspaceReplica copy, long fencingToken, FailoverLoader to, int tries) {
        state.changes(copy.prefix(), copy.revision(), answer(r -> new BroughtUp(r, copy, fencingToken, to, tries)));
    }

    /**
     * Rows that only leaders write stand still from the claim on: no write of an earlier one is applied after it. A copy that
     * reaches the claim's revision is what a full read would give, and any other is not used.
     */
    private void broughtUp(BroughtUp message) {
        KeyspaceReplica copy = message.copy();
        if (!apply(copy, message.reply()) && message.tries() < BRING_TRIES) {
            tellLater(new BringAgain(copy, message.fencingToken(), message.to(), message.tries() + 1), AGAIN_MICROS);
            return;
        }
        List<StoreCodec.Item> items = null;
        if (copy.wholeAt(message.fencingToken())) {
            items = new ArrayList<>(copy.size());
            for (KeyspaceReplica.Entry entry : copy.entries()) {
                items.add(new StoreCodec.Item(entry.key(), entry.row(), entry.version()));
            }
        } else {
            log.warn(
                    "the copy of {} is not as new as the claim ({}, revision {} of {}): all is read instead",
                    copy.prefix(),
                    copy.flaw(),
                    copy.revision(),
                    message.fencingToken());
        }
        if (items != null) {
            witness.accept(copy.prefix(), items);
        }
        message.to().tell(new FailoverLoader.Brought(copy.prefix(), items));
        copy.clear();
    }

    // ---- a leader that ends

    private void catchUp(Request request, long revision) {
        if (!whole()) {
            request.answer(409, NOT_WARM);
            return;
        }
        users.tell(new UsersActor.RefreshRequested());
        KeyspaceReplica ledgers = copies.get(0);
        long of = life;
        state.changes(
                ledgers.prefix(), ledgers.revision(), answer(r -> new CaughtUp(r, of, ledgers, request, revision)));
    }

    private void caughtUp(CaughtUp message) {
        KeyspaceReplica copy = message.copy();
        if (message.life() == life
                && copy.whole()
                && apply(copy, message.reply())
                && copy.wholeAt(message.revision())) {
            message.request().answer(200, Json.bytes(out -> {
                out.writeStartObject();
                out.writeEndObject();
            }));
        } else {
            message.request().answer(409, NOT_WARM);
        }
        if (message.life() == life && copy.flaw() != null) {
            flawed(copy);
        }
    }
}
