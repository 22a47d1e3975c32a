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
 * Drives the roll-out of features during a leader's term: reads which controllers are registered and what operators request, and writes
 * the next transition, one at a time, on condition of the fencing token and of the record that it changes. Marks come first, which former
 * versions know too; then the features of the stages. Part of the leader's actor.
 */
final class RolloutDriver {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** How often the registrations are read for some time after a transition. */
    private static final long ACTIVE_INTERVAL_MICROS = 500 * Micros.MILLISECOND;

    /** How often they are read while something is left to do. */
    private static final long PENDING_INTERVAL_MICROS = 2 * Micros.SECOND;
    /** How often they are read while nothing is. */
    private static final long QUIET_INTERVAL_MICROS = 10 * Micros.SECOND;

    private static final long ACTIVE_FOR_MICROS = 10 * Micros.SECOND;
    private static final long LOG_INTERVAL_MICROS = 60 * Micros.SECOND;
    /** Conditions of a transition beside those on registrations. */
    private static final int OWN_CONDITIONS = 3;

    /** What the store takes of conditions, as a multiple of the writes that it takes. */
    private static final int CONDITIONS_PER_WRITE = 4;

    /** A time so long ago that nothing since then counts, chosen so that differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final LeaderActor owner;
    private final Settings settings;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final StoreClient store;
    private final UsersActor users;
    private final RolloutParticipant rollout;
    private final List<String> labels = new ArrayList<>();
    /** The mark's version, 0 while there is none. */
    private long layoutVersion;

    private StoredRecord.Layout layout;
    private boolean doesArchiveExist;
    private boolean areRecordsLoaded;
    private boolean isReadInFlight;
    private boolean isWriteInFlight;
    private boolean isPending = true;
    private long readMicros = NEVER_MICROS;
    private long advancedMicros;
    private long loggedMicros;
    private String lastLogged = "";

    RolloutDriver(
            LeaderActor owner,
            Settings settings,
            Tuning tuning,
            Scheduler scheduler,
            StoreClient store,
            UsersActor users,
            RolloutParticipant rollout) {
        this.owner = owner;
        this.settings = settings;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.store = store;
        this.users = users;
        this.rollout = rollout;
        this.advancedMicros = owner.now();
        labels.add(settings.label());
        settings.peers().forEach(sibling -> labels.add(sibling.label()));
    }

    /** All records that a leader needs are read. */
    void recordsLoaded() {

        areRecordsLoaded = true;
        flagsChanged();
    }

    /** The scheduler writes by the feature stages as they are now. */
    void flagsChanged() {
        scheduler.featureFlagsChanged(
                rollout.featureFlags().version(),
                rollout.featureFlags().isEnabled(Feature.BOOKING_FENCE),
                rollout.featureFlags().isEnabled(Feature.RETURNS));
    }

    /** The mark was read or written. */
    void layoutObserved(long version, StoredRecord.Layout observed) {
        layoutVersion = version;
        layout = observed;
        scheduler.layoutMarked(version, observed);
    }

    /** The archive's manifest was read. */
    void archiveObserved() {

        doesArchiveExist = true;
    }

    /** Called every so often. */
    void tick(long nowMicros) {
        boolean isBusy = isReadInFlight || isWriteInFlight;
        if (!rollout.supportsRegistration()
                || !areRecordsLoaded
                || isBusy
                || nowMicros - readMicros < readIntervalMicros(nowMicros)) {

            return;
        }
        isReadInFlight = true;
        readMicros = nowMicros;
        long fencingToken = scheduler.fencingToken();
        store.list(
                StoreKeys.ROLLOUT,
                null,
                owner.answer(reply -> new TermMessage.RolloutRecordsRead(reply, fencingToken)));
    }

    private long readIntervalMicros(long nowMicros) {
        if (!isPending) {
            return QUIET_INTERVAL_MICROS;
        }
        return nowMicros - advancedMicros < ACTIVE_FOR_MICROS ? ACTIVE_INTERVAL_MICROS : PENDING_INTERVAL_MICROS;
    }

    /** The records of registrations and requests were read. */
    void registryRead(Reply reply) {

        isReadInFlight = false;
        if (!reply.ok()) {
            return;
        }
        ControllerRegistry registry = new ControllerRegistry(labels);
        try {
            for (StoreCodec.Item item : StoreCodec.page(reply.body()).items()) {
                registry.add(item.key(), item.record(), item.version());
            }
        } catch (MalformedException e) {
            LOG.error("registrations: {}", e.getMessage());
            return;
        }
        advance(registry);
    }

    private void advance(ControllerRegistry registry) {
        isPending = true;
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

    private boolean isKnownToAll(Feature feature, ControllerRegistry registry) {
        List<String> missing = registry.blockers(feature);
        logBlockers(missing.isEmpty() ? "" : feature.key() + " waits: " + String.join(", ", missing));
        return missing.isEmpty();
    }

    /** Logs what is waited for when it changes, and once a minute. */
    private void logBlockers(String blockers) {
        long now = owner.now();
        if (!blockers.isEmpty() && (!blockers.equals(lastLogged) || now - loggedMicros >= LOG_INTERVAL_MICROS)) {
            LOG.info("roll-out: {}", blockers);
            loggedMicros = now;
        }
        lastLogged = blockers;
    }

    private List<Transaction.Condition> conditions(ControllerRegistry registry, Transaction.Condition... own) {
        List<Transaction.Condition> conditions =
                new ArrayList<>(List.of(new Transaction.Condition(StoreKeys.LEADER, scheduler.fencingToken())));
        conditions.addAll(List.of(own));
        conditions.addAll(registry.registrationConditions(
                settings.maxTransactionWrites() * CONDITIONS_PER_WRITE - OWN_CONDITIONS));
        return conditions;
    }

    /** From the mark on, and only then, jobs with dependencies are accepted and names are compressed. */
    private void markLayout(ControllerRegistry registry) {
        long fencingToken = scheduler.fencingToken();
        StoredRecord.Layout first = new StoredRecord.Layout(Settings.LAYOUT_WITH_DEPENDENCIES, settings.pageTasks());

        isWriteInFlight = true;
        store.transaction(
                new Transaction(
                        conditions(registry, new Transaction.Condition(StoreKeys.LAYOUT, 0)),
                        List.of(new Transaction.Write(StoreKeys.LAYOUT, first, 0))),
                owner.answer(reply -> new TermMessage.LayoutWritten(reply, fencingToken, first)));
    }

    /** The answer to {@link #markLayout}. */
    void layoutMarked(TermMessage.LayoutWritten message) {
        writeAnswered(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info("all {} controllers read layout {}: marked", labels.size(), Settings.LAYOUT_WITH_DEPENDENCIES);
                users.tell(new UsersActor.LayoutMarked(
                        StoreCodec.revision(message.reply().body()), message.layout()));
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
    }

    /** The archive begins with an empty manifest, once every controller reads it. */
    private void startArchive(ControllerRegistry registry) {
        long fencingToken = scheduler.fencingToken();
        // The mark is written anew along with it: what a former version writes of jobs with dependencies has the mark's
        // version as a condition, and may arrive minutes late.
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
                                        Archiver.emptyManifest(fencingToken, owner.wall()),
                                        0))),
                owner.answer(reply -> new TermMessage.ArchiveManifestCreated(reply, fencingToken)));
    }

    /** The answer to {@link #startArchive}. Whoever wrote the manifest, the copy of the job records tells of it. */
    void archiveStarted(TermMessage.ArchiveManifestCreated message) {
        writeAnswered(message.reply());
        if (message.reply().ok()) {
            LOG.info(
                    "all {} controllers read layout {}: the archive begins",
                    labels.size(),
                    Settings.LAYOUT_WITH_ARCHIVE);
        }
    }

    private void advanceFeatures(ControllerRegistry registry) {
        RolloutPlan plan = RolloutPlan.create(rollout.featureFlags(), registry, tuning.rolloutEnabled());
        logBlockers(String.join("; ", plan.blockers()));
        isPending = plan.newStages() != null || !plan.blockers().isEmpty();
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
                                        rollout.featureFlags().version())),
                        List.of(new Transaction.Write(StoreKeys.FEATURE_STAGES, plan.newStages(), 0))),
                owner.answer(reply -> new TermMessage.FeatureStagesWritten(
                        reply, fencingToken, plan.newStages(), plan.transitions())));
    }

    /** The answer to {@link #advanceFeatures}. If the outcome is not known, the record itself tells. */
    void stagesWritten(TermMessage.FeatureStagesWritten message) {
        writeAnswered(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info("roll-out: {}", String.join(", ", message.transitions()));
                rollout.flagsObserved(StoreCodec.revision(message.reply().body()), message.stages());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
        rollout.newerVersionReported(rollout.featureFlags().version() + 1);
    }

    /** The next read comes at once after a transition that was written, and after a pause where it was not. */
    private void writeAnswered(Reply reply) {

        isWriteInFlight = false;
        advancedMicros = owner.now();
        readMicros = reply.ok() ? NEVER_MICROS : advancedMicros;
    }
}
