package io.micatide.controller;

import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * The way from a claim to a whole picture: machines that are being given back, bookings, machine types and, once the leader has the jobs, the ledgers. Takes what the
 * standby's copies prove to hold and reads the rest, trying again until each is read; tells the leader what it finds and when a part is
 * whole. One for each term.
 */
final class FailoverLoader extends Actor<FailoverLoader.Message> {
    sealed interface Message {}

    /** The term has begun. */
    record Begin() implements Message {}

    /** The leader has the jobs by a read that began after the claim. */
    record JobsKnown() implements Message {}

    /** What the standby's copy of a prefix holds as of the claim or later; null if there is no such copy. */
    record Brought(String prefix, List<StoreCodec.Item> rows) implements Message {}

    record Read(String prefix, String after) implements Message {}

    record Answered(Reply reply, Read asked) implements Message {}

    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;

    private final StoreClient state;
    private final LeaderActor leader;
    /** Null where there is no standby to ask. */
    private final StandbyActor standby;

    private final long fencingToken;
    private boolean jobsKnown;
    private Brought ledgers;

    FailoverLoader(ActorExecutor loop, StoreClient state, LeaderActor leader, StandbyActor standby, long fencingToken) {
        super(loop);
        this.state = state;
        this.leader = leader;
        this.standby = standby;
        this.fencingToken = fencingToken;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Begin) {
            tell(new Read(StoreKeys.MACHINE_TYPES, null));
            tell(new Read(StoreKeys.PROVISIONING_FENCE, null));
            tell(new Read(StoreKeys.LEARNED_STATE, null));
            tell(new Read(StoreKeys.MACHINE_DELETIONS, null));
            if (standby != null) {
                standby.tell(new StandbyActor.Bring(fencingToken, this));
            } else {
                tell(new Brought(StoreKeys.PROVISIONING_REQUESTS, null));
                tell(new Brought(StoreKeys.LEDGERS, null));
            }
        } else if (message instanceof JobsKnown) {
            jobsKnown = true;
            giveLedgers();
        } else if (message instanceof Brought m) {
            if (m.prefix().equals(StoreKeys.LEDGERS)) {
                ledgers = m;
                giveLedgers();
            } else {
                give(m);
            }
        } else if (message instanceof Read m) {
            if (m.prefix().equals(StoreKeys.MACHINE_TYPES) || m.prefix().equals(StoreKeys.PROVISIONING_FENCE)) {
                state.read(m.prefix(), answer(r -> new Answered(r, m)));
            } else {
                state.list(m.prefix(), m.after(), answer(r -> new Answered(r, m)));
            }
        } else if (message instanceof Answered m) {
            answered(m);
        }
    }

    /** A ledger says something only beside its job: the jobs come first. */
    private void giveLedgers() {
        if (jobsKnown && ledgers != null) {
            give(ledgers);
            ledgers = null;
        }
    }

    private void give(Brought brought) {
        if (brought.rows() == null) {
            tell(new Read(brought.prefix(), null));
        } else {
            leader.tell(new TermMessage.RowsLoaded(fencingToken, brought.rows()));
            leader.tell(new TermMessage.PartLoaded(fencingToken));
        }
    }

    private void answered(Answered message) {
        try {
            if (message.asked().prefix().equals(StoreKeys.MACHINE_TYPES)) {
                types(message.asked(), message.reply());
            } else if (message.asked().prefix().equals(StoreKeys.PROVISIONING_FENCE)) {
                fence(message.asked(), message.reply());
            } else {
                page(message.asked(), message.reply());
            }
        } catch (MalformedException e) {
            log.error("stored rows: {}", e.getMessage());
            tellLater(message.asked(), RETRY_MICROS);
        }
    }

    private void types(Read asked, Reply reply) throws MalformedException {
        if (reply.ok()) {
            List<MachineType> types =
                    ((StoredRecord.MachineTypes) StoreCodec.item(reply.body()).record()).types();
            leader.tell(new TermMessage.TypesLoaded(fencingToken, types));
        } else if (reply.status() != 404) {
            tellLater(asked, RETRY_MICROS);
            return;
        }
        leader.tell(new TermMessage.PartLoaded(fencingToken));
    }

    /** Not a part that the term waits for: only bookings do. */
    private void fence(Read asked, Reply reply) {
        if (reply.ok() || reply.status() == 404) {
            leader.tell(new TermMessage.FenceRead(reply, fencingToken));
        } else {
            tellLater(asked, RETRY_MICROS);
        }
    }

    private void page(Read asked, Reply reply) throws MalformedException {
        if (!reply.ok()) {
            tellLater(asked, RETRY_MICROS);
            return;
        }
        StoreCodec.Items page = StoreCodec.page(reply.body());
        leader.tell(new TermMessage.RowsLoaded(fencingToken, page.items()));
        if (page.more() && !page.items().isEmpty()) {
            tell(new Read(
                    asked.prefix(), page.items().get(page.items().size() - 1).key()));
        } else if (!asked.prefix().equals(StoreKeys.LEARNED_STATE)) {
            // What was learned is waited for by nobody.
            leader.tell(new TermMessage.PartLoaded(fencingToken));
        }
    }
}
