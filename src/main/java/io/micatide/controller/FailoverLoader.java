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
    record LoadRequested() implements Message {}

    /** The leader has the jobs by a read that began after the claim. */
    record JobsLoaded() implements Message {}

    /** What the standby's copy of a prefix holds as of the claim or later; null if there is no such copy. */
    record ReplicaLoaded(String prefix, List<StoreCodec.Item> records) implements Message {}

    record ReadDue(String prefix, String after) implements Message {}

    record ReadAnswered(Reply reply, ReadDue request) implements Message {}

    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;

    private final StoreClient store;
    private final LeaderActor leader;
    /** Null where there is no standby to ask. */
    private final StandbyActor standby;

    private final long fencingToken;
    private boolean areJobsLoaded;
    private ReplicaLoaded pendingLedgers;

    FailoverLoader(ActorExecutor loop, StoreClient state, LeaderActor leader, StandbyActor standby, long fencingToken) {
        super(loop);
        this.store = state;
        this.leader = leader;
        this.standby = standby;
        this.fencingToken = fencingToken;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof LoadRequested) {
            tell(new ReadDue(StoreKeys.MACHINE_TYPES, null));
            tell(new ReadDue(StoreKeys.PROVISIONING_FENCE, null));
            tell(new ReadDue(StoreKeys.LEARNED_STATE, null));
            tell(new ReadDue(StoreKeys.MACHINE_DELETIONS, null));
            if (standby != null) {
                standby.tell(new StandbyActor.ProvideReplicas(fencingToken, this));
            } else {
                tell(new ReplicaLoaded(StoreKeys.PROVISIONING_REQUESTS, null));
                tell(new ReplicaLoaded(StoreKeys.LEDGERS, null));
            }
        } else if (message instanceof JobsLoaded) {
            areJobsLoaded = true;
            deliverLedgersAfterJobs();
        } else if (message instanceof ReplicaLoaded m) {
            if (m.prefix().equals(StoreKeys.LEDGERS)) {
                pendingLedgers = m;
                deliverLedgersAfterJobs();
            } else {
                deliverOrRead(m);
            }
        } else if (message instanceof ReadDue m) {
            if (m.prefix().equals(StoreKeys.MACHINE_TYPES) || m.prefix().equals(StoreKeys.PROVISIONING_FENCE)) {
                store.read(m.prefix(), answer(r -> new ReadAnswered(r, m)));
            } else {
                store.list(m.prefix(), m.after(), answer(r -> new ReadAnswered(r, m)));
            }
        } else if (message instanceof ReadAnswered m) {
            readAnswered(m);
        }
    }

    /** A ledger says something only beside its job: the jobs come first. */
    private void deliverLedgersAfterJobs() {
        if (areJobsLoaded && pendingLedgers != null) {
            deliverOrRead(pendingLedgers);
            pendingLedgers = null;
        }
    }

    private void deliverOrRead(ReplicaLoaded brought) {
        if (brought.records() == null) {
            tell(new ReadDue(brought.prefix(), null));
        } else {
            leader.tell(new TermMessage.RecordsLoaded(fencingToken, brought.records()));
            leader.tell(new TermMessage.LoadStepCompleted(fencingToken));
        }
    }

    private void readAnswered(ReadAnswered message) {
        try {
            if (message.request().prefix().equals(StoreKeys.MACHINE_TYPES)) {
                machineTypesRead(message.request(), message.reply());
            } else if (message.request().prefix().equals(StoreKeys.PROVISIONING_FENCE)) {
                provisioningFenceRead(message.request(), message.reply());
            } else {
                pageRead(message.request(), message.reply());
            }
        } catch (MalformedException e) {
            log.error("stored rows: {}", e.getMessage());
            tellLater(message.request(), RETRY_MICROS);
        }
    }

    private void machineTypesRead(ReadDue asked, Reply reply) throws MalformedException {
        if (reply.ok()) {
            List<MachineType> types =
                    ((StoredRecord.MachineTypes) StoreCodec.item(reply.body()).row()).types();
            leader.tell(new TermMessage.MachineTypesLoaded(fencingToken, types));
        } else if (reply.status() != 404) {
            tellLater(asked, RETRY_MICROS);
            return;
        }
        leader.tell(new TermMessage.LoadStepCompleted(fencingToken));
    }

    /** Not a part that the term waits for: only bookings do. */
    private void provisioningFenceRead(ReadDue asked, Reply reply) {
        if (reply.ok() || reply.status() == 404) {
            leader.tell(new TermMessage.ProvisioningFenceRead(reply, fencingToken));
        } else {
            tellLater(asked, RETRY_MICROS);
        }
    }

    private void pageRead(ReadDue asked, Reply reply) throws MalformedException {
        if (!reply.ok()) {
            tellLater(asked, RETRY_MICROS);
            return;
        }
        StoreCodec.Items page = StoreCodec.page(reply.body());
        leader.tell(new TermMessage.RecordsLoaded(fencingToken, page.items()));
        if (page.more() && !page.items().isEmpty()) {
            tell(new ReadDue(
                    asked.prefix(), page.items().get(page.items().size() - 1).key()));
        } else if (!asked.prefix().equals(StoreKeys.LEARNED_STATE)) {
            // What was learned is waited for by nobody.
            leader.tell(new TermMessage.LoadStepCompleted(fencingToken));
        }
    }
}
