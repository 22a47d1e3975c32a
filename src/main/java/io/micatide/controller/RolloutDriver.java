package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.ControllerRegistry;
import io.micatide.rollout.Feature;
import io.micatide.rollout.RolloutPlan;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drives the rollout of features during a leader's term: reads the registrations of the controllers and the operators' requests, and
 * writes the next transition, one at a time, on condition of the fencing token and of the version of the record that it changes. The marks
 * (layout and archive manifest), which versions without feature stages read too, come first; the stages of the other features follow.
 * Part of the leader's actor.
 */
final class RolloutDriver {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** Time between reads of the registrations within {@link #ACTIVE_PERIOD_MICROS} while steps are left to do. */
    private static final long ACTIVE_INTERVAL_MICROS = 500 * Micros.MILLISECOND;

    /** Time between reads after that period while steps are left to do. */
    private static final long PENDING_INTERVAL_MICROS = 2 * Micros.SECOND;
    /** Time between reads while no step is left to do. */
    private static final long IDLE_INTERVAL_MICROS = 10 * Micros.SECOND;

    /** How long after a write of this driver, or the start of the term, the registrations are read at the shortest interval. */
    private static final long ACTIVE_PERIOD_MICROS = 10 * Micros.SECOND;
    /** Time between log lines about the same blockers. */
    private static final long LOG_INTERVAL_MICROS = 60 * Micros.SECOND;
    /** Largest number of conditions of a transition that are not on registrations. */
    private static final int NON_REGISTRATION_CONDITIONS = 3;

    /** Conditions that the store accepts in a transaction for each write that it accepts. */
    private static final int CONDITIONS_PER_WRITE = 4;

    /** Stands for a time before all others; half the minimum, so that differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final LeaderActor owner;
    private final Settings settings;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final StoreClient store;
    private final UsersActor users;
    private final RolloutParticipant participant;
    /** Labels of all controllers of the deployment, this one included. */
    private final List<String> controllerLabels = new ArrayList<>();
    /** Version of the layout record, 0 while there is none. */
    private long layoutVersion;

    /** The layout record, null while there is none. */
    private StoredRecord.Layout layout;

    private boolean doesArchiveExist;
    private boolean areRecordsLoaded;
    private boolean isReadInFlight;
    private boolean isWriteInFlight;
    /** Whether a step is left to do or blocked, by the last read of the registrations. */
    private boolean hasPendingSteps = true;
    /** Time at which the last read was sent, or at which a write failed if that was later; {@link #NEVER_MICROS} if a read is due at once. */
    private long lastReadMicros = NEVER_MICROS;
    /** Time at which the last write of this driver was answered; before the first one, the start of the term. */
    private long lastWriteAnswerMicros;

    /** Time at which blockers were last logged. */
    private long blockersLoggedMicros;

    /** The conditions that the rollout waited for at the last check, empty if there were none. */
    private String lastLoggedBlockers = "";

    RolloutDriver(
            LeaderActor owner,
            Settings settings,
            Tuning tuning,
            Scheduler scheduler,
            StoreClient store,
            UsersActor users,
            RolloutParticipant participant) {
        this.owner = owner;
        this.settings = settings;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.store = store;
        this.users = users;
        this.participant = participant;
        this.lastWriteAnswerMicros = owner.now();
        controllerLabels.add(settings.label());
        settings.peers().forEach(peer -> controllerLabels.add(peer.label()));
    }

    /** Marks all records that a leader needs as loaded. */
    void recordsLoaded() {
        areRecordsLoaded = true;
        flagsChanged();
    }

    /** Passes the present feature stages to the scheduler, which writes by them from now on. */
    void flagsChanged() {
        scheduler.featureFlagsChanged(
                participant.featureFlags().version(),
                participant.featureFlags().isEnabled(Feature.BOOKING_FENCE),
                participant.featureFlags().isEnabled(Feature.RETURNS));
    }

    /** Applies the layout record that was read or written. */
    void layoutObserved(long version, StoredRecord.Layout observed) {
        layoutVersion = version;
        layout = observed;
        scheduler.layoutMarked(version, observed);
    }

    /** Records that the archive has a manifest. */
    void archiveObserved() {
        doesArchiveExist = true;
    }

    /** Reads the records under the rollout keys when a read is due and no request is in flight; called on each tick of the leader. */
    void tick(long nowMicros) {
        boolean isBusy = isReadInFlight || isWriteInFlight;
        if (!participant.supportsRegistration()
                || !areRecordsLoaded
                || isBusy
                || nowMicros - lastReadMicros < readIntervalMicros(nowMicros)) {
            return;
        }
        isReadInFlight = true;
        lastReadMicros = nowMicros;
        long fencingToken = scheduler.fencingToken();
        store.list(
                StoreKeys.ROLLOUT,
                null,
                owner.onReply(reply -> new TermMessage.RolloutRecordsRead(reply, fencingToken)));
    }

    private long readIntervalMicros(long nowMicros) {
        if (!hasPendingSteps) {
            return IDLE_INTERVAL_MICROS;
        }
        return nowMicros - lastWriteAnswerMicros < ACTIVE_PERIOD_MICROS
                ? ACTIVE_INTERVAL_MICROS
                : PENDING_INTERVAL_MICROS;
    }

    /** Handles the answer to the read of the registrations and the operators' requests. */
    void registryRead(Reply reply) {
        isReadInFlight = false;
        if (!reply.ok()) {
            return;
        }
        ControllerRegistry registry = new ControllerRegistry(controllerLabels);
        try {
            for (StoreCodec.Item item : StoreCodec.page(reply.body()).items()) {
                registry.add(item.key(), item.record(), item.version());
            }
        } catch (MalformedException e) {
            LOG.error("malformed registration or roll-out request: {}", e.getMessage());
            return;
        }
        advance(registry);
    }

    /** Writes the next transition if every controller is ready for it: first the layout, then the archive manifest, then the stages. */
    private void advance(ControllerRegistry registry) {
        hasPendingSteps = true;
        if (layout == null) {
            if (isKnownToAll(Feature.NEEDS, registry)) {
                markLayout(registry);
            }
        } else if (!doesArchiveExist && tuning.archiveEnabled()) {
            if (isKnownToAll(Feature.HISTORY, registry)) {
                startArchive(registry);
            }
        } else {
            advanceFeatures(registry);
        }
    }

    /** Returns whether every controller supports a feature; logs those that do not. */
    private boolean isKnownToAll(Feature feature, ControllerRegistry registry) {
        List<String> missing = registry.blockers(feature);
        logBlockers(missing.isEmpty() ? "" : feature.key() + " waits: " + String.join(", ", missing));
        return missing.isEmpty();
    }

    /** Logs what the rollout waits for when that changes, and once a minute while it does not. */
    private void logBlockers(String blockers) {
        long now = owner.now();
        if (!blockers.isEmpty()
                && (!blockers.equals(lastLoggedBlockers) || now - blockersLoggedMicros >= LOG_INTERVAL_MICROS)) {
            LOG.info("roll-out: {}", blockers);
            blockersLoggedMicros = now;
        }
        lastLoggedBlockers = blockers;
    }

    /** Returns the conditions of a transition: the fencing token, the given ones, and those on registrations up to the store's limit. */
    private List<Transaction.Condition> conditions(ControllerRegistry registry, Transaction.Condition... own) {
        List<Transaction.Condition> conditions =
                new ArrayList<>(List.of(new Transaction.Condition(StoreKeys.LEADER, scheduler.fencingToken())));
        conditions.addAll(List.of(own));
        conditions.addAll(registry.registrationConditions(
                settings.maxTransactionWrites() * CONDITIONS_PER_WRITE - NON_REGISTRATION_CONDITIONS));
        return conditions;
    }

    /** Writes the layout record. Jobs with dependencies are accepted and machine names are compressed only once it exists. */
    private void markLayout(ControllerRegistry registry) {
        long fencingToken = scheduler.fencingToken();
        StoredRecord.Layout first = new StoredRecord.Layout(Settings.LAYOUT_WITH_DEPENDENCIES, settings.pageTasks());
        isWriteInFlight = true;
        store.transaction(
                new Transaction(
                        conditions(registry, new Transaction.Condition(StoreKeys.LAYOUT, 0)),
                        List.of(new Transaction.Write(StoreKeys.LAYOUT, first, 0))),
                owner.onReply(reply -> new TermMessage.LayoutWritten(reply, fencingToken, first)));
    }

    /** Handles the answer to {@link #markLayout}. */
    void layoutWriteAnswered(TermMessage.LayoutWritten message) {
        writeAnswered(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info(
                        "all {} controllers read layout {}: marked",
                        controllerLabels.size(),
                        Settings.LAYOUT_WITH_DEPENDENCIES);
                users.tell(new UsersActor.LayoutMarked(
                        StoreCodec.revision(message.reply().body()), message.layout()));
            }
        } catch (MalformedException e) {
            LOG.error("malformed transaction answer: {}", e.getMessage());
        }
    }

    /** Creates the archive with an empty manifest, once every controller supports it. */
    private void startArchive(ControllerRegistry registry) {
        long fencingToken = scheduler.fencingToken();
        // The layout record is written again in the same transaction, so that its version changes: a previous version
        // of the program writes jobs with dependencies on condition of that version, and such a write may arrive
        // minutes late; it is then refused.
        StoredRecord.Layout renewed = new StoredRecord.Layout(Settings.LAYOUT_WITH_ARCHIVE, layout.pageTasks());
        isWriteInFlight = true;
        store.transaction(
                new Transaction(
                        conditions(
                                registry,
                                new Transaction.Condition(StoreKeys.LAYOUT, layoutVersion),
                                new Transaction.Condition(StoreKeys.ARCHIVE_MANIFEST, 0)),
                        List.of(
                                new Transaction.Write(StoreKeys.LAYOUT, renewed, 0),
                                new Transaction.Write(
                                        StoreKeys.ARCHIVE_MANIFEST,
                                        Archiver.emptyManifest(fencingToken, owner.wallClockMicros()),
                                        0))),
                owner.onReply(reply -> new TermMessage.ArchiveManifestCreated(reply, fencingToken)));
    }

    /** Handles the answer to {@link #startArchive}. The manifest itself, whichever controller wrote it, arrives through the job cache. */
    void manifestWriteAnswered(TermMessage.ArchiveManifestCreated message) {
        writeAnswered(message.reply());
        if (message.reply().ok()) {
            LOG.info(
                    "all {} controllers read layout {}: the archive begins",
                    controllerLabels.size(),
                    Settings.LAYOUT_WITH_ARCHIVE);
        }
    }

    /** Writes the next transition of the feature stages, if there is one. */
    private void advanceFeatures(ControllerRegistry registry) {
        RolloutPlan plan = RolloutPlan.create(participant.featureFlags(), registry, tuning.rolloutEnabled());
        logBlockers(String.join("; ", plan.blockers()));
        hasPendingSteps = plan.newStages() != null || !plan.blockers().isEmpty();
        if (plan.newStages() == null) {
            return;
        }
        long fencingToken = scheduler.fencingToken();
        isWriteInFlight = true;
        store.transaction(
                new Transaction(
                        conditions(
                                registry,
                                new Transaction.Condition(
                                        StoreKeys.FEATURE_STAGES,
                                        participant.featureFlags().version())),
                        List.of(new Transaction.Write(StoreKeys.FEATURE_STAGES, plan.newStages(), 0))),
                owner.onReply(reply -> new TermMessage.FeatureStagesWritten(
                        reply, fencingToken, plan.newStages(), plan.transitions())));
    }

    /** Handles the answer to {@link #advanceFeatures}. If the write failed or its outcome is unknown, the stages are read from the store. */
    void stagesWriteAnswered(TermMessage.FeatureStagesWritten message) {
        writeAnswered(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info("roll-out: {}", String.join(", ", message.transitions()));
                participant.flagsObserved(StoreCodec.revision(message.reply().body()), message.stages());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("malformed transaction answer: {}", e.getMessage());
        }
        participant.newerVersionReported(participant.featureFlags().version() + 1);
    }

    /** Ends a write: the next read is due at once if it succeeded, and after a read interval otherwise. */
    private void writeAnswered(Reply reply) {
        isWriteInFlight = false;
        lastWriteAnswerMicros = owner.now();
        lastReadMicros = reply.ok() ? NEVER_MICROS : lastWriteAnswerMicros;
    }
}
