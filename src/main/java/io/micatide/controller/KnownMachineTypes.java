package io.micatide.controller;

import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.net.CloudClient;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.CloudCodec;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types that submissions are checked against: first those in the store, else those that the cloud provider answers, then those that
 * the leader on this controller learns. Part of the users' actor.
 */
final class KnownMachineTypes {
    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);
    private static final long RETRY_MICROS = 2 * Micros.SECOND;
    /** Stands for a failed read of the store, after which the cloud provider is asked again. */
    private static final Reply NOT_READ = new Reply(0, new byte[0], false);

    private final UsersActor owner;
    private final StoreClient store;
    private final CloudClient cloud;
    private List<MachineType> types = List.of();
    private boolean wasRequested;

    KnownMachineTypes(UsersActor owner, StoreClient store, CloudClient cloud) {
        this.owner = owner;
        this.store = store;
        this.cloud = cloud;
    }

    /** Returns the machine types, empty while they are not known. */
    List<MachineType> types() {
        return types;
    }

    /** Requests the types for the first time; the request repeats itself until they are known. */
    void request() {
        if (!wasRequested) {
            wasRequested = true;
            store.read(StoreKeys.MACHINE_TYPES, owner.onReply(UsersActor.StoredMachineTypesRead::new));
        }
    }

    /** Replaces the types by those that the leader on this controller learned. */
    void changed(List<MachineType> newTypes) {
        types = newTypes;
    }

    /** Handles the store's answer, and asks the cloud provider if the store does not have the types. */
    void storedTypesRead(Reply reply) {
        if (!types.isEmpty()) {
            return;
        }
        if (reply.ok()) {
            try {
                types = ((StoredRecord.MachineTypes)
                                StoreCodec.item(reply.body()).record())
                        .types();
                return;
            } catch (MalformedException e) {
                LOG.error("malformed machine types in the store: {}", e.getMessage());
            }
        }
        cloud.types(owner.onReply(UsersActor.CloudMachineTypesRead::new));
    }

    /** Handles the cloud provider's answer, and asks again later if it has no types. */
    void cloudTypesRead(Reply reply) {
        if (!types.isEmpty()) {
            return;
        }
        if (reply.ok()) {
            try {
                types = CloudCodec.types(reply.body());
                return;
            } catch (MalformedException e) {
                LOG.error("malformed machine types from the cloud provider: {}", e.getMessage());
            }
        }
        owner.tellLater(new UsersActor.StoredMachineTypesRead(NOT_READ), RETRY_MICROS);
    }
}
