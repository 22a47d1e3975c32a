package io.micatide.controller;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.Capabilities;
import io.micatide.rollout.ControllerRegistration;
import io.micatide.rollout.FeatureFlags;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The switches as this controller has them, and its registration. Does not lead before it has read them, and neither leads nor serves while
 * they name what this version does not know. Part of the leader's actor.
 */
final class RolloutParticipant {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;
    /** A start waits for the first read: after an outage a claim came a quarter of a second later than the row allowed. */
    private static final long FIRST_RETRY_MICROS = 100 * Micros.MILLISECOND;

    private static final long SAID_MICROS = 30 * Micros.SECOND;

    private final LeaderActor owner;
    private final StoreClient state;
    private final UsersActor users;
    private final Capabilities abilities;
    private final FeatureFlags switches;
    private final ControllerRegistration registration;
    private boolean reading;
    private long readAgainMicros = Long.MIN_VALUE / 2;
    /** A version of the switches that somebody knows of; read if it is newer. */
    private long heardOf;

    private boolean blocked;
    private long saidMicros = Long.MIN_VALUE / 2;

    RolloutParticipant(
            LeaderActor owner, Settings settings, Capabilities abilities, StoreClient state, UsersActor users) {
        this.owner = owner;
        this.state = state;
        this.users = users;
        this.abilities = abilities;
        this.switches = new FeatureFlags(abilities);
        this.registration = new ControllerRegistration(settings.label(), BuildVersion.name(), abilities, owner.wall());
    }

    FeatureFlags switches() {
        return switches;
    }

    /** Whether this version takes part at all. */
    boolean registers() {
        return abilities.registers();
    }

    /** Whether it may lead as far as the stored forms go: they are known, and this version reads all of them. */
    boolean mayLead() {
        return !abilities.registers() || (switches.known() && !blocked);
    }

    /** What a claim has as a condition. */
    List<Transaction.Condition> claimConditions() {
        return abilities.registers()
                ? List.of(new Transaction.Condition(StoreKeys.FEATURE_STAGES, switches.version()))
                : List.of();
    }

    /** A claim or a registration is refused by the switches, or a sibling's news tell of newer ones. */
    void newerThere(long version) {
        heardOf = Math.max(heardOf, version);
    }

    /** The switches as the copy of the job rows, a read or an own step shows them. */
    void seen(long version, StoredRecord.FeatureStages row) {
        if (!switches.seen(version, row)) {
            return;
        }
        List<String> unknown = switches.unknown();
        if (!unknown.isEmpty() && !blocked) {
            LOG.error(
                    "does not serve: the deployment uses {}, which this version does not know. Start a version that does, or take it back"
                            + " with `micatide rollout back`",
                    String.join(", ", unknown));
        } else if (unknown.isEmpty() && blocked) {
            LOG.info("serves again: all that the deployment uses is known");
        }
        blocked = !unknown.isEmpty();
        users.tell(new UsersActor.IncompatibleStoreChanged(blocked));
        owner.switchesChanged();
    }

    /** Called every so often. */
    void advance(long lease, long now) {
        if (!abilities.registers()) {
            return;
        }
        if ((!switches.known() || heardOf > switches.version()) && !reading && now >= readAgainMicros) {
            reading = true;
            state.read(StoreKeys.FEATURE_STAGES, owner.answer(LeaderActor.SwitchesRead::new));
        }
        if (blocked && now - saidMicros >= SAID_MICROS) {
            saidMicros = now;
            LOG.warn("waits, and does not serve, because of {}", String.join(", ", switches.unknown()));
        }
        switch (registration.next(blocked ? 0 : lease, switches.version(), now)) {
            case READ -> state.read(registration.key(), owner.answer(LeaderActor.OwnRowRead::new));
            case PUT -> {
                Transaction put = registration.put();
                state.transaction(put, owner.answer(LeaderActor.Registered::new));
            }
            case NOTHING -> {}
        }
    }

    void switchesRead(Reply reply) {
        reading = false;
        try {
            if (reply.ok()) {
                StoreCodec.Item item = StoreCodec.item(reply.body());
                seen(item.version(), (StoredRecord.FeatureStages) item.record());
                heardOf = Math.min(heardOf, item.version());
                return;
            }
            if (reply.status() == 404) {
                seen(0, new StoredRecord.FeatureStages(Map.of()));
                heardOf = 0;
                return;
            }
        } catch (MalformedException e) {
            LOG.error("switches: {}", e.getMessage());
        }
        readAgainMicros = owner.now() + (switches.known() ? RETRY_MICROS : FIRST_RETRY_MICROS);
    }

    void ownRowRead(Reply reply) {
        try {
            if (reply.ok()) {
                registration.read(StoreCodec.item(reply.body()).version());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("registration: {}", e.getMessage());
        }
        if (reply.status() == 404) {
            registration.read(0);
        } else {
            registration.failed(owner.now());
        }
    }

    void registered(Reply reply) {
        long now = owner.now();
        try {
            if (reply.ok()) {
                registration.registered(StoreCodec.revision(reply.body()));
                return;
            }
            if (reply.status() == 409 && StoreCodec.failedKeys(reply.body()).contains(StoreKeys.FEATURE_STAGES)) {
                newerThere(switches.version() + 1);
            }
        } catch (MalformedException e) {
            LOG.error("registration: {}", e.getMessage());
        }
        if (reply.notExecuted()) {
            registration.failed(now);
        } else {
            registration.unclear(now);
        }
    }
}
