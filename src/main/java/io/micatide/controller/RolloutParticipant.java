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
 * Keeps this controller's view of the feature stages and its registration, whether it leads or not. The controller does not lead before it
 * has read the stages, and neither leads nor serves users while they name a feature or stage that this version does not support. Part of
 * the leader's actor.
 */
final class RolloutParticipant {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** Delay before another read of the stages after one that failed. */
    private static final long RETRY_DELAY_MICROS = 300 * Micros.MILLISECOND;
    /**
     * Delay as {@link #RETRY_DELAY_MICROS}, but before the first successful read, on which the claim of the leader lease waits. Shorter,
     * since after an outage a claim came a quarter of a second later than the lease allowed.
     */
    private static final long FIRST_READ_RETRY_DELAY_MICROS = 100 * Micros.MILLISECOND;

    /** Time between log lines about unsupported features. */
    private static final long LOG_INTERVAL_MICROS = 30 * Micros.SECOND;

    /** Stands for a time before all others; half the minimum, so that differences to it do not overflow. */
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
    /** Earliest time of the next read of the stages. */
    private long nextReadMicros = NEVER_MICROS;
    /** The newest version of the stages that was reported; the stages are read if it is newer than the known version. */
    private long newestReportedVersion;

    /** Whether the stages name a feature or stage that this version does not support. */
    private boolean hasUnsupportedFeatures;

    private long lastLogMicros = NEVER_MICROS;

    RolloutParticipant(
            LeaderActor owner, Settings settings, Capabilities capabilities, StoreClient store, UsersActor users) {
        this.owner = owner;
        this.store = store;
        this.users = users;
        this.capabilities = capabilities;
        this.featureFlags = new FeatureFlags(capabilities);
        this.registration = new ControllerRegistration(
                settings.label(), BuildVersion.name(), capabilities, owner.wallClockMicros());
    }

    /** The feature stages as this controller knows them. */
    FeatureFlags featureFlags() {
        return featureFlags;
    }

    /** Returns whether this version takes part in rollouts. */
    boolean supportsRegistration() {
        return capabilities.supportsRegistration();
    }

    /** Returns whether the stored forms allow this controller to lead: the stages are known and this version supports all of them. */
    boolean mayLead() {
        return !capabilities.supportsRegistration() || (featureFlags.isKnown() && !hasUnsupportedFeatures);
    }

    /** Returns the conditions on the feature stages for a claim of the leader lease. */
    List<Transaction.Condition> claimConditions() {
        return capabilities.supportsRegistration()
                ? List.of(new Transaction.Condition(StoreKeys.FEATURE_STAGES, featureFlags.version()))
                : List.of();
    }

    /** Records a version that the stages may have reached: a claim or registration was refused because of them, or a peer reported it. */
    void newerVersionReported(long version) {
        newestReportedVersion = Math.max(newestReportedVersion, version);
    }

    /** Applies the stages as seen in the job cache, in a read or in a transition that this controller wrote; older ones are ignored. */
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
            LOG.info("serves again: this version supports all features that the deployment uses");
        }
        hasUnsupportedFeatures = !unknown.isEmpty();
        users.tell(new UsersActor.IncompatibleStoreChanged(hasUnsupportedFeatures));
        owner.featureStagesChanged();
    }

    /**
     * Reads the stages and registers this controller when either is due, and logs regularly while features are unsupported.
     *
     * @param leaseId the lease of this controller, 0 if it has none
     * @param nowMicros current time on the steady clock
     */
    void advance(long leaseId, long nowMicros) {
        if (!capabilities.supportsRegistration()) {
            return;
        }
        if (!isReadInFlight && nowMicros >= nextReadMicros && isReadNeeded()) {
            isReadInFlight = true;
            store.read(StoreKeys.FEATURE_STAGES, owner.onReply(LeaderMessage.FeatureStagesRead::new));
        }
        if (hasUnsupportedFeatures && nowMicros - lastLogMicros >= LOG_INTERVAL_MICROS) {
            lastLogMicros = nowMicros;
            LOG.warn("not serving: unsupported features {}", String.join(", ", featureFlags.unsupportedFeatures()));
        }
        switch (registration.nextAction(hasUnsupportedFeatures ? 0 : leaseId, featureFlags.version(), nowMicros)) {
            case READ -> store.read(registration.key(), owner.onReply(LeaderMessage.RegistrationRead::new));
            case PUT ->
                store.transaction(
                        registration.registrationTransaction(), owner.onReply(LeaderMessage.RegistrationWritten::new));
            case NOTHING -> {}
        }
    }

    private boolean isReadNeeded() {
        return !featureFlags.isKnown() || newestReportedVersion > featureFlags.version();
    }

    /** Handles the answer to a read of the stages. */
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
            LOG.error("malformed feature stages record: {}", e.getMessage());
        }
        nextReadMicros = owner.now() + (featureFlags.isKnown() ? RETRY_DELAY_MICROS : FIRST_READ_RETRY_DELAY_MICROS);
    }

    /** Handles the answer to a read of this controller's own registration. */
    void registrationRead(Reply reply) {
        try {
            if (reply.ok()) {
                registration.recordRead(StoreCodec.item(reply.body()).version());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("malformed answer about the registration: {}", e.getMessage());
        }
        if (reply.status() == NOT_FOUND) {
            registration.recordRead(0);
        } else {
            registration.requestFailed(owner.now());
        }
    }

    /** Handles the answer to a write of the registration. */
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
            LOG.error("malformed answer about the registration: {}", e.getMessage());
        }
        if (reply.notExecuted()) {
            registration.requestFailed(now);
        } else {
            registration.outcomeUnknown(now);
        }
    }
}
