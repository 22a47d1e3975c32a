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

    private static final long LOG_INTERVAL_MICROS = 30 * Micros.SECOND;

    private final LeaderActor owner;
    private final StoreClient store;
    private final UsersActor users;
    private final Capabilities capabilities;
    private final FeatureFlags featureFlags;
    private final ControllerRegistration registration;
    private boolean readInFlight;
    private long readRetryMicros = Long.MIN_VALUE / 2;
    /** A version of the switches that somebody knows of; read if it is newer. */
    private long newestReportedVersion;

    private boolean blocked;
    private long loggedMicros = Long.MIN_VALUE / 2;

    RolloutParticipant(
            LeaderActor owner, Settings settings, Capabilities capabilities, StoreClient state, UsersActor users) {
        this.owner = owner;
        this.store = state;
        this.users = users;
        this.capabilities = capabilities;
        this.featureFlags = new FeatureFlags(capabilities);
        this.registration =
                new ControllerRegistration(settings.label(), BuildVersion.name(), capabilities, owner.wall());
    }

    FeatureFlags featureFlags() {
        return featureFlags;
    }

    /** Whether this version takes part at all. */
    boolean supportsRegistration() {
        return capabilities.supportsRegistration();
    }

    /** Whether it may lead as far as the stored forms go: they are known, and this version reads all of them. */
    boolean mayLead() {
        return !capabilities.supportsRegistration() || (featureFlags.isKnown() && !blocked);
    }

    /** What a claim has as a condition. */
    List<Transaction.Condition> claimConditions() {
        return capabilities.supportsRegistration()
                ? List.of(new Transaction.Condition(StoreKeys.FEATURE_STAGES, featureFlags.version()))
                : List.of();
    }

    /** A claim or a registration is refused by the switches, or a sibling's news tell of newer ones. */
    void newerVersionReported(long version) {
        newestReportedVersion = Math.max(newestReportedVersion, version);
    }

    /** The switches as the copy of the job rows, a read or an own step shows them. */
    void flagsObserved(long version, StoredRecord.FeatureStages row) {
        if (!featureFlags.update(version, row)) {
            return;
        }
        List<String> unknown = featureFlags.unsupportedFeatures();
        if (!unknown.isEmpty() && !blocked) {
            LOG.error(
                    "does not serve: the deployment uses {}, which this version does not know. Start a version that does, or take it back"
                            + " with `micatide rollout back`",
                    String.join(", ", unknown));
        } else if (unknown.isEmpty() && blocked) {
            LOG.info("serves again: all that the deployment uses is known");
        }
        blocked = !unknown.isEmpty();
        users.tell(new UsersActor.Blocked(blocked));
        owner.switchesChanged();
    }

    /** Called every so often. */
    void advance(long lease, long now) {
        if (!capabilities.supportsRegistration()) {
            return;
        }
        if ((!featureFlags.isKnown() || newestReportedVersion > featureFlags.version())
                && !readInFlight
                && now >= readRetryMicros) {
            readInFlight = true;
            store.read(StoreKeys.FEATURE_STAGES, owner.answer(LeaderActor.SwitchesRead::new));
        }
        if (blocked && now - loggedMicros >= LOG_INTERVAL_MICROS) {
            loggedMicros = now;
            LOG.warn("waits, and does not serve, because of {}", String.join(", ", featureFlags.unsupportedFeatures()));
        }
        switch (registration.nextAction(blocked ? 0 : lease, featureFlags.version(), now)) {
            case READ -> store.read(registration.key(), owner.answer(LeaderActor.OwnRowRead::new));
            case PUT -> {
                Transaction put = registration.registrationTransaction();
                store.transaction(put, owner.answer(LeaderActor.Registered::new));
            }
            case NOTHING -> {}
        }
    }

    void flagsRead(Reply reply) {
        readInFlight = false;
        try {
            if (reply.ok()) {
                StoreCodec.Item item = StoreCodec.item(reply.body());
                flagsObserved(item.version(), (StoredRecord.FeatureStages) item.row());
                newestReportedVersion = Math.min(newestReportedVersion, item.version());
                return;
            }
            if (reply.status() == 404) {
                flagsObserved(0, new StoredRecord.FeatureStages(Map.of()));
                newestReportedVersion = 0;
                return;
            }
        } catch (MalformedException e) {
            LOG.error("switches: {}", e.getMessage());
        }
        readRetryMicros = owner.now() + (featureFlags.isKnown() ? RETRY_MICROS : FIRST_RETRY_MICROS);
    }

    void ownRecordRead(Reply reply) {
        try {
            if (reply.ok()) {
                registration.recordRead(StoreCodec.item(reply.body()).version());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("registration: {}", e.getMessage());
        }
        if (reply.status() == 404) {
            registration.recordRead(0);
        } else {
            registration.requestFailed(owner.now());
        }
    }

    void registrationAnswered(Reply reply) {
        long now = owner.now();
        try {
            if (reply.ok()) {
                registration.registrationStored(StoreCodec.revision(reply.body()));
                return;
            }
            if (reply.status() == 409 && StoreCodec.failed(reply.body()).contains(StoreKeys.FEATURE_STAGES)) {
                newerVersionReported(featureFlags.version() + 1);
            }
        } catch (MalformedException e) {
            LOG.error("registration: {}", e.getMessage());
        }
        if (reply.notExecuted()) {
            registration.requestFailed(now);
        } else {
            registration.outcomeUnknown(now);
        }
    }
}
