package io.micatide.controller;

import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.net.CloudClient;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.CloudCodec;
import io.micatide.protocol.MalformedException;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes a term's calls to the cloud provider and stores the machine types that it offers. Runs on the leader's actor. Invariant: each
 * answer carries the fencing token of the term that made the call, and machine types are written to the store only when they differ from
 * those that it has.
 */
final class CloudCalls {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);

    private static final int SERVICE_UNAVAILABLE = 503;

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final CloudClient cloud;
    private final StoreClient store;
    private final UsersActor users;
    /** The machine types in the store as far as known; empty if unknown, so that the next list is written. */
    private List<MachineType> storedMachineTypes = List.of();

    CloudCalls(LeaderActor owner, Scheduler scheduler, CloudClient cloud, StoreClient store, UsersActor users) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.cloud = cloud;
        this.store = store;
        this.users = users;
    }

    /**
     * Makes a call; the answer arrives as a message to the leader's actor.
     *
     * @param nowMicros the time of the call; a list of machines is evaluated as of this time
     */
    void send(CloudCall call, long nowMicros) {
        long fencingToken = scheduler.fencingToken();
        Consumer<Reply> answer = owner.onReply(reply -> new TermMessage.CloudCallAnswered(reply, fencingToken, call));
        if (call instanceof CloudCall.RequestMachines rent) {
            String kind = rent.spot() ? "spot" : "on-demand";
            LOG.info("requesting {} {} machines of type {} in zone {}", rent.count(), kind, rent.type(), rent.zone());
            cloud.rent(rent, answer);

        } else if (call instanceof CloudCall.DeleteMachines delete) {
            LOG.info("deleting machines {}", delete.machines());
            cloud.delete(delete.machines(), answer);

        } else if (call instanceof CloudCall.ListTypes) {
            cloud.types(answer);

        } else {
            requestListPage(null, fencingToken, nowMicros, List.of());
        }
    }

    /** Handles the answer to any call except the list of machines. */
    void handleAnswer(TermMessage.CloudCallAnswered message) {
        Reply reply = message.reply();
        try {
            if (message.call() instanceof CloudCall.RequestMachines rent) {
                handleRentAnswer(rent, reply);
            } else if (message.call() instanceof CloudCall.DeleteMachines delete && reply.ok()) {
                scheduler.machinesDeleted(delete.machines(), owner.now());
            } else if (message.call() instanceof CloudCall.ListTypes && reply.ok()) {
                updateMachineTypes(CloudCodec.types(reply.body()));
            }
        } catch (MalformedException e) {
            LOG.error("malformed answer from the cloud: {}", e.getMessage());
        }
    }

    private void handleRentAnswer(CloudCall.RequestMachines rent, Reply reply) throws MalformedException {
        long nowMicros = owner.now();
        if (reply.ok()) {
            scheduler.machinesRented(rent.requestName(), CloudCodec.rented(reply.body()), nowMicros);
        } else if (reply.status() == SERVICE_UNAVAILABLE && CloudCodec.isNoCapacity(reply.body())) {
            scheduler.noCapacity(rent.requestName(), nowMicros);
        } else if (reply.notExecuted()) {
            scheduler.provisioningNotExecuted(rent.requestName());
        } else {
            scheduler.provisioningUnanswered(rent.requestName(), nowMicros);
        }
    }

    /** Applies the machine types that were read from the store. */
    void machineTypesLoaded(List<MachineType> types, long nowMicros) {
        storedMachineTypes = types;
        scheduler.machineTypesChanged(types, nowMicros);
    }

    /** Passes listed machine types to the scheduler and to users, and stores them if they changed. */
    private void updateMachineTypes(List<MachineType> types) {
        scheduler.machineTypesChanged(types, owner.now());
        users.tell(new UsersActor.MachineTypesChanged(types));
        if (!types.equals(storedMachineTypes)) {
            storedMachineTypes = types;
            storeMachineTypes(types);
        }
    }

    private void storeMachineTypes(List<MachineType> types) {
        long fencingToken = scheduler.fencingToken();
        Transaction.Condition stillLeader = new Transaction.Condition(StoreKeys.LEADER, fencingToken);
        Transaction.Write write =
                new Transaction.Write(StoreKeys.MACHINE_TYPES, new StoredRecord.MachineTypes(types), 0);
        store.transaction(
                new Transaction(List.of(stillLeader), List.of(write)),
                owner.onReply(reply -> new TermMessage.MachineTypesWritten(reply, fencingToken)));
    }

    /** Handles the answer to the write of the machine types; after a failure they are written again once the cloud lists them next. */
    void machineTypesWriteAnswered(Reply reply) {
        if (!reply.ok()) {
            storedMachineTypes = List.of();
        }
    }

    /** Handles a page of the list of machines: requests the next page, or reports the complete list, or null if the page failed. */
    void handleListPage(TermMessage.MachinesListed message) {
        List<ListedMachine> machines = new ArrayList<>(message.earlierPages());
        if (message.reply().ok()) {
            try {
                CloudCodec.Page page = CloudCodec.page(message.reply().body());
                machines.addAll(page.machines());
                if (page.hasMore() && !page.machines().isEmpty()) {
                    String lastName = machines.get(machines.size() - 1).name();
                    requestListPage(lastName, message.fencingToken(), message.requestSentMicros(), machines);
                } else {
                    scheduler.machinesListed(machines, message.requestSentMicros(), owner.now());
                }
                return;
            } catch (MalformedException e) {
                LOG.error("malformed answer from the cloud: {}", e.getMessage());
            }
        }
        scheduler.machinesListed(null, message.requestSentMicros(), owner.now());
    }

    /**
     * Requests one page of the list of machines.
     *
     * @param after name of the last machine of the page before, null for the first page
     * @param fencingToken the term's fencing token
     * @param requestSentMicros time at which the first page was requested
     * @param earlierPages the machines of the pages before
     */
    private void requestListPage(
            String after, long fencingToken, long requestSentMicros, List<ListedMachine> earlierPages) {
        cloud.list(
                after,
                owner.onReply(
                        reply -> new TermMessage.MachinesListed(reply, fencingToken, requestSentMicros, earlierPages)));
    }
}
