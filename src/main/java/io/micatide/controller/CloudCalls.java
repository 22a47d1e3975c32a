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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A term's calls to the cloud, and the machine types that it tells. */
final class CloudCalls {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);

    private final LeaderActor owner;
    private final Scheduler scheduler;
    private final CloudClient cloud;
    private final StoreClient store;
    private final UsersActor users;
    private List<MachineType> storedMachineTypes = List.of();

    CloudCalls(LeaderActor owner, Scheduler scheduler, CloudClient cloud, StoreClient state, UsersActor users) {
        this.owner = owner;
        this.scheduler = scheduler;
        this.cloud = cloud;
        this.store = state;
        this.users = users;
    }

    void send(CloudCall call, long now) {
        long fencingToken = scheduler.fencingToken();
        if (call instanceof CloudCall.Rent rent) {
            LOG.info("rents {} {} {} {}", rent.count(), rent.type(), rent.zone(), rent.spot() ? "spot" : "ordinary");
            cloud.rent(rent, owner.answer(r -> new TermMessage.CloudAnswered(r, fencingToken, call)));
        } else if (call instanceof CloudCall.Delete delete) {
            LOG.info("returns {}", delete.machines());
            cloud.delete(delete.machines(), owner.answer(r -> new TermMessage.CloudAnswered(r, fencingToken, call)));
        } else if (call instanceof CloudCall.ListTypes) {
            cloud.types(owner.answer(r -> new TermMessage.CloudAnswered(r, fencingToken, call)));
        } else {
            cloud.list(null, owner.answer(r -> new TermMessage.ListRead(r, fencingToken, now, List.of())));
        }
    }

    void handleAnswer(TermMessage.CloudAnswered message) {
        long now = owner.now();
        Reply reply = message.reply();
        try {
            if (message.call() instanceof CloudCall.Rent rent) {
                if (reply.ok()) {
                    scheduler.machinesRented(rent.requestName(), CloudCodec.rented(reply.body()), now);
                } else if (reply.status() == 503 && CloudCodec.isNoCapacity(reply.body())) {
                    scheduler.noCapacity(rent.requestName(), now);
                } else if (reply.notExecuted()) {
                    scheduler.provisioningNotExecuted(rent.requestName());
                } else {
                    scheduler.provisioningUnanswered(rent.requestName(), now);
                }
            } else if (message.call() instanceof CloudCall.Delete delete) {
                if (reply.ok()) {
                    scheduler.machinesDeleted(delete.machines(), now);
                }
            } else if (message.call() instanceof CloudCall.ListTypes && reply.ok()) {
                updateMachineTypes(CloudCodec.types(reply.body()), now);
            }
        } catch (MalformedException e) {
            LOG.error("cloud: {}", e.getMessage());
        }
    }

    /** As the state service has them. */
    void machineTypesLoaded(List<MachineType> types, long now) {
        storedMachineTypes = types;
        scheduler.machineTypesChanged(types, now);
    }

    private void updateMachineTypes(List<MachineType> types, long now) {
        scheduler.machineTypesChanged(types, now);
        users.tell(new UsersActor.TypesKnown(types));
        if (!types.equals(storedMachineTypes)) {
            storedMachineTypes = types;
            long fencingToken = scheduler.fencingToken();
            store.transaction(
                    new Transaction(
                            List.of(new Transaction.Condition(StoreKeys.LEADER, fencingToken)),
                            List.of(new Transaction.Write(
                                    StoreKeys.MACHINE_TYPES, new StoredRecord.MachineTypes(types), 0))),
                    owner.answer(r -> new TermMessage.TypesStored(r, fencingToken)));
        }
    }

    void machineTypesStored(Reply reply) {
        if (!reply.ok()) {
            storedMachineTypes = List.of();
        }
    }

    void handleListPage(TermMessage.ListRead message) {
        long now = owner.now();
        List<ListedMachine> machines = new ArrayList<>(message.before());
        if (message.reply().ok()) {
            try {
                CloudCodec.Page page = CloudCodec.page(message.reply().body());
                machines.addAll(page.machines());
                if (page.more() && !page.machines().isEmpty()) {
                    cloud.list(
                            machines.get(machines.size() - 1).name(),
                            owner.answer(r -> new TermMessage.ListRead(
                                    r, message.fencingToken(), message.askedMicros(), machines)));
                } else {
                    scheduler.machinesListed(machines, message.askedMicros(), now);
                }
                return;
            } catch (MalformedException e) {
                LOG.error("cloud: {}", e.getMessage());
            }
        }
        scheduler.machinesListed(null, message.askedMicros(), now);
    }
}
