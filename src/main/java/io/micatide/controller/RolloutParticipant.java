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
 * This controller's part in the roll-out: the feature stages as it knows them, and its registration. It does not lead before it has read
 * the stages, and neither leads nor serves while they name what this version does not support. Part of the leader's actor.
 */
final class RolloutParticipant {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long RETRY_DELAY_MICROS = 300 * Micros.MILLISECOND;
    /** A start waits for the first read: after an outage a claim came a quarter of a second later than the lease allowed. */
    private static final long FIRST_READ_RETRY_DELAY_MICROS = 100 * Micros.MILLISECOND;

    private static final long LOG_INTERVAL_MICROS = 30 * Micros.SECOND;

    /** A time so long ago that nothing since then counts, chosen so that differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final LeaderActor owner;
    private final StoreClient store;
    private final UsersActor users;
    private final Capabilities capabilities;
    private final FeatureFlags featureFlags;
    private final ControllerRegistration registration;
    private boolean isReadInFlight;
    private long nextReadMicros = NEVER_MICROS;
    /** The newest version of the stages that was reported; they are read if it is newer than what is known. */
    private long newestReportedVersion;

    /** Whether the stages name what this version does not support. */
    private boolean hasUnsupportedFeatures;

    private long lastLogMicros = NEVER_MICROS;

    RolloutParticipant(
            LeaderActor owner, Settings settings, Capabilities capabilities, StoreClient store, UsersActor users) {
        this.owner = owner;
        this.store = store;
        this.users = users;
        this.capabilities = capabilities;
        this.featureFlags = new FeatureFlags(capabilities);
        this.registration =
                new ControllerRegistration(settings.label(), BuildVersion.name(), capabilities, owner.wall());
    }

    FeatureFlags featureFlags() {
        return featureFlags;
    }

    /** Whether this version takes part in roll-outs at all. */
    boolean supportsRegistration() {
        return capabilities.supportsRegistration();
    }

    /** Whether it may lead as far as the stored forms go: the stages are known, and this version supports all of them. */
    boolean mayLead() {
        return !capabilities.supportsRegistration() || (featureFlags.isKnown() && !hasUnsupportedFeatures);
    }

    /** The conditions of a claim of the leader lease. */
    List<Transaction.Condition> claimConditions() {
        return capabilities.supportsRegistration()
                ? List.of(new Transaction.Condition(StoreKeys.FEATURE_STAGES, featureFlags.version()))
                : List.of();
    }

    /** A claim or a registration was refused by the stages' version, or a peer's status tells of a newer one. */
    void newerVersionReported(long version) {
        newestReportedVersion = Math.max(newestReportedVersion, version);
    }

    /** The stages as the copy of the job records, a read or an own transition shows them. */
    void flagsObserved(long version, StoredRecord.FeatureStages record) {
        if (!featureFlags.update(version, record)) {
            return;
        }
        List<String> unknown = featureFlags.unsupportedFeatures();
        if (!unknown.isEmpty() && !hasUnsupportedFeatures) {
            LOG.error(
                    "does not serve: the deployment uses {}, which this version does not know. Start a version that does, or take it back"
                            + " with `micatide rollout back`",
                    String.join(", ", unknown));
        } else if (unknown.isEmpty() && hasUnsupportedFeatures) {
            LOG.info("serves again: all that the deployment uses is known");
        }
        hasUnsupportedFeatures = !unknown.isEmpty();
        users.tell(new UsersActor.IncompatibleStoreChanged(hasUnsupportedFeatures));
        owner.featureStagesChanged();
    }

    /** Called every so often. */
    void advance(long lease, long nowMicros) {
        if (!capabilities.supportsRegistration()) {
            return;
        }
        if (!isReadInFlight && nowMicros >= nextReadMicros && isReadNeeded()) {

            isReadInFlight = true;
            store.read(StoreKeys.FEATURE_STAGES, owner.answer(LeaderMessage.FeatureStagesRead::new));
        }
        if (hasUnsupportedFeatures && nowMicros - lastLogMicros >= LOG_INTERVAL_MICROS) {
            lastLogMicros = nowMicros;
            LOG.warn("waits, and does not serve, because of {}", String.join(", ", featureFlags.unsupportedFeatures()));
        }
        switch (registration.nextAction(hasUnsupportedFeatures ? 0 : lease, featureFlags.version(), nowMicros)) {
            case READ -> store.read(registration.key(), owner.answer(LeaderMessage.RegistrationRead::new));
            case PUT ->
                store.transaction(
                        registration.registrationTransaction(), owner.answer(LeaderMessage.RegistrationWritten::new));
            case NOTHING -> {}
        }
    }

    private boolean isReadNeeded() {
        return !featureFlags.isKnown() || newestReportedVersion > featureFlags.version();
    }

    /** The answer to a read of the stages. */
    void flagsRead(Reply reply) {

        isReadInFlight = false;
        try {
            if (reply.ok()) {
                StoreCodec.Item item = StoreCodec.item(reply.body());
                flagsObserved(item.version(), (StoredRecord.FeatureStages) item.record());
                newestReportedVersion = Math.min(newestReportedVersion, item.version());
                return;
            }
            if (reply.status() == NOT_FOUND) {
                flagsObserved(0, new StoredRecord.FeatureStages(Map.of()));
                newestReportedVersion = 0;
                return;
            }
        } catch (MalformedException e) {
            LOG.error("feature stages: {}", e.getMessage());
        }
        nextReadMicros = owner.now() + (featureFlags.isKnown() ? RETRY_DELAY_MICROS : FIRST_READ_RETRY_DELAY_MICROS);
    }

    /** The answer to a read of this controller's own registration. */
    void registrationRead(Reply reply) {
        try {
            if (reply.ok()) {
                registration.recordRead(StoreCodec.item(reply.body()).version());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("registration: {}", e.getMessage());
        }
        if (reply.status() == NOT_FOUND) {
            registration.recordRead(0);
        } else {
            registration.requestFailed(owner.now());
        }
    }

    /** The answer to a put of the registration. */
    void registrationAnswered(Reply reply) {
        long now = owner.now();
        try {
            if (reply.ok()) {
                registration.registrationStored(StoreCodec.revision(reply.body()));
                return;
            }
            if (reply.status() == CONFLICT
                    && StoreCodec.failedKeys(reply.body()).contains(StoreKeys.FEATURE_STAGES)) {
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
