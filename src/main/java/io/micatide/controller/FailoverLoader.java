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
 * Loads what a new leader has to know before its first decision: machine deletions, provisioning requests, machine types and, once the
 * leader has the jobs, the ledgers. Uses the keyspace replicas of this controller's standby where they are known to hold the state as of
 * the claim of the leader record, and reads the rest from the store, with retries until each read succeeds. Sends the leader the records
 * and a message for each completed step. Also reads the fence of the provisioning requests and the learned state, for which the first
 * decision does not wait. There is one loader for each term.
 */
final class FailoverLoader extends Actor<FailoverLoader.Message> {
    /** A message to the loader. */
    sealed interface Message {}

    /** The term has begun: loading starts. */
    record LoadRequested() implements Message {}

    /** The leader has the jobs, as of a read that began after the claim. */
    record JobsLoaded() implements Message {}

    /**
     * The standby has answered for one prefix.
     *
     * @param records the contents of its replica as of the claim or later; null if it has none, in which case the store is read
     */
    record ReplicaLoaded(String prefix, List<StoreCodec.Item> records) implements Message {}

    /**
     * A read of the store is due.
     *
     * @param prefix the single key or the prefix to read
     * @param afterKey the last key of the previous page of the prefix; null for the first page and for a single key
     */
    record ReadDue(String prefix, String afterKey) implements Message {}

    /** The store answered a read. */
    record ReadAnswered(Reply reply, ReadDue request) implements Message {}

    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;

    private final StoreClient store;
    private final LeaderActor leader;
    /** Null if the operator has disabled standbys. */
    private final StandbyActor standbyActor;

    private final long fencingToken;
    private boolean areJobsLoaded;
    /** The standby's answer for the ledgers while the jobs are not loaded; null before it has come and after it was delivered. */
    private ReplicaLoaded pendingLedgers;

    /** @param standbyActor null if the operator has disabled standbys */
    FailoverLoader(
            ActorExecutor executor,
            StoreClient store,
            LeaderActor leader,
            StandbyActor standbyActor,
            long fencingToken) {
        super(executor);
        this.store = store;
        this.leader = leader;
        this.standbyActor = standbyActor;
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
        if (standbyActor != null) {
            standbyActor.tell(new StandbyActor.ProvideReplicas(fencingToken, this));
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

    /** Delivers the ledgers once the jobs are loaded: a ledger can be interpreted only together with its job. */
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

    /** Handles the reply to the read of the fence. It completes no step of loading, since only writes of provisioning requests wait for it. */
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
        if (page.hasMore() && !page.items().isEmpty()) {
            tell(new ReadDue(
                    request.prefix(), page.items().get(page.items().size() - 1).key()));
        } else if (!request.prefix().equals(StoreKeys.LEARNED_STATE)) {
            // Learned state completes no step: the first decision does not wait for it.
            leader.tell(new TermMessage.LoadStepCompleted(fencingToken));
        }
    }
}
