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
 * Reads what a new leader has to know before its first decision: machine deletions, provisioning requests, machine types and, once the
 * leader has the jobs, the ledgers. Takes what the standby's replicas prove to hold as of the claim and reads the rest from the store,
 * again until each read succeeds; sends the leader what it finds, and which step is complete. One for each term.
 */
final class FailoverLoader extends Actor<FailoverLoader.Message> {
    /** What happens to the loader. */
    sealed interface Message {}

    /** The term has begun. */
    record LoadRequested() implements Message {}

    /** The leader has the jobs, by a read that began after the claim. */
    record JobsLoaded() implements Message {}

    /** What the standby's replica of a prefix holds as of the claim or later; {@code records} is null if there is none. */
    record ReplicaLoaded(String prefix, List<StoreCodec.Item> records) implements Message {}

    /** A key or the page of a prefix after a key, null for the first one, is to be read. */
    record ReadDue(String prefix, String afterKey) implements Message {}

    /** The store answered a read. */
    record ReadAnswered(Reply reply, ReadDue request) implements Message {}

    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;

    private final StoreClient store;
    private final LeaderActor leader;
    /** Null where the operator has switched standbys off. */
    private final StandbyActor standby;

    private final long fencingToken;
    private boolean areJobsLoaded;
    /** Ledgers that wait for the jobs; null before they are there and once they are delivered. */
    private ReplicaLoaded pendingLedgers;

    /** @param standby null where the operator has switched standbys off */
    FailoverLoader(
            ActorExecutor executor, StoreClient store, LeaderActor leader, StandbyActor standby, long fencingToken) {
        super(executor);
        this.store = store;
        this.leader = leader;
        this.standby = standby;
        this.fencingToken = fencingToken;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof LoadRequested) {
            beginLoading();
        } else if (message instanceof JobsLoaded) {
            areJobsLoaded = true;
            deliverLedgersAfterJobs();
        } else if (message instanceof ReplicaLoaded m) {
            replicaLoaded(m);
        } else if (message instanceof ReadDue m) {
            read(m);
        } else if (message instanceof ReadAnswered m) {
            readAnswered(m);
        }
    }

    private void beginLoading() {
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
    }

    private void replicaLoaded(ReplicaLoaded replica) {
        if (replica.prefix().equals(StoreKeys.LEDGERS)) {
            pendingLedgers = replica;
            deliverLedgersAfterJobs();
        } else {
            deliverOrRead(replica);
        }
    }

    private void read(ReadDue request) {
        if (isSingleKey(request.prefix())) {
            store.read(request.prefix(), onReply(r -> new ReadAnswered(r, request)));
        } else {
            store.list(request.prefix(), request.afterKey(), onReply(r -> new ReadAnswered(r, request)));
        }
    }

    private static boolean isSingleKey(String prefix) {
        return prefix.equals(StoreKeys.MACHINE_TYPES) || prefix.equals(StoreKeys.PROVISIONING_FENCE);
    }

    /** A ledger can be interpreted only beside its job, so the jobs come first. */
    private void deliverLedgersAfterJobs() {
        if (areJobsLoaded && pendingLedgers != null) {
            deliverOrRead(pendingLedgers);
            pendingLedgers = null;
        }
    }

    private void deliverOrRead(ReplicaLoaded replica) {
        if (replica.records() == null) {
            tell(new ReadDue(replica.prefix(), null));
        } else {
            leader.tell(new TermMessage.RecordsLoaded(fencingToken, replica.records()));
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
            log.error("malformed records of {}: {}", message.request().prefix(), e.getMessage());
            tellLater(message.request(), RETRY_MICROS);
        }
    }

    private void machineTypesRead(ReadDue request, Reply reply) throws MalformedException {
        if (reply.ok()) {
            List<MachineType> types =
                    ((StoredRecord.MachineTypes) StoreCodec.item(reply.body()).record()).types();
            leader.tell(new TermMessage.MachineTypesLoaded(fencingToken, types));
        } else if (reply.status() != 404) {
            tellLater(request, RETRY_MICROS);
            return;
        }
        leader.tell(new TermMessage.LoadStepCompleted(fencingToken));
    }

    /** Not a step that the term waits for: only writes of provisioning requests do. */
    private void provisioningFenceRead(ReadDue request, Reply reply) {
        if (reply.ok() || reply.status() == 404) {
            leader.tell(new TermMessage.ProvisioningFenceRead(reply, fencingToken));
        } else {
            tellLater(request, RETRY_MICROS);
        }
    }

    private void pageRead(ReadDue request, Reply reply) throws MalformedException {
        if (!reply.ok()) {
            tellLater(request, RETRY_MICROS);
            return;
        }
        StoreCodec.Items page = StoreCodec.page(reply.body());
        leader.tell(new TermMessage.RecordsLoaded(fencingToken, page.items()));
        if (page.more() && !page.items().isEmpty()) {
            tell(new ReadDue(
                    request.prefix(), page.items().get(page.items().size() - 1).key()));
        } else if (!request.prefix().equals(StoreKeys.LEARNED_STATE)) {
            // Nothing waits for learned state.
            leader.tell(new TermMessage.LoadStepCompleted(fencingToken));
        }
    }
}
