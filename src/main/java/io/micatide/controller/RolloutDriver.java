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
 * A term's part in the roll-out: reads who is registered and what operators ask for, and takes the next step, one at a time, on condition of
 * the token and of the row that it changes. Marks first, which former versions know too; then the features of the switches.
 */
final class RolloutDriver {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** How often it looks: soon while something moves, rarely while nothing does. */
    private static final long ACTIVE_INTERVAL_MICROS = 500 * Micros.MILLISECOND;

    private static final long PENDING_INTERVAL_MICROS = 2 * Micros.SECOND;
    private static final long QUIET_INTERVAL_MICROS = 10 * Micros.SECOND;
    private static final long ACTIVE_FOR_MICROS = 10 * Micros.SECOND;
    private static final long LOG_INTERVAL_MICROS = 60 * Micros.SECOND;
    /** Conditions of a step beside those on registrations. */
    private static final int OWN_CONDITIONS = 3;

    private static final int CONDITIONS_PER_WRITE = 4;

    private final LeaderActor owner;
    private final Settings settings;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final StoreClient store;
    private final UsersActor users;
    private final RolloutParticipant rollout;
    private final List<String> labels = new ArrayList<>();
    private long layoutVersion;
    private StoredRecord.Layout layout;
    private boolean archiveExists;
    private boolean recordsLoaded;
    private boolean readInFlight;
    private boolean writeInFlight;
    private boolean pending = true;
    private long readMicros = Long.MIN_VALUE / 2;
    private long advancedMicros;
    private long loggedMicros;
    private String lastLogged = "";

    RolloutDriver(
            LeaderActor owner,
            Settings settings,
            Tuning tuning,
            Scheduler scheduler,
            StoreClient state,
            UsersActor users,
            RolloutParticipant rollout) {
        this.owner = owner;
        this.settings = settings;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.store = state;
        this.users = users;
        this.rollout = rollout;
        this.advancedMicros = owner.now();
        labels.add(settings.label());
        settings.siblings().forEach(sibling -> labels.add(sibling.label()));
    }

    /** All that a leader reads is whole. */
    void recordsLoaded() {
        recordsLoaded = true;
        flagsChanged();
    }

    /** The scheduler writes by the switches as they are now. */
    void flagsChanged() {
        scheduler.featureFlagsChanged(
                rollout.featureFlags().version(),
                rollout.featureFlags().isEnabled(Feature.BOOKING_FENCE),
                rollout.featureFlags().isEnabled(Feature.RETURNS));
    }

    void layoutObserved(long version, StoredRecord.Layout seen) {
        layoutVersion = version;
        layout = seen;
        scheduler.layoutMarked(version, seen);
    }

    void archiveObserved() {
        archiveExists = true;
    }

    /** Called every so often. */
    void tick(long now) {
        long every = !pending
                ? QUIET_INTERVAL_MICROS
                : now - advancedMicros < ACTIVE_FOR_MICROS ? ACTIVE_INTERVAL_MICROS : PENDING_INTERVAL_MICROS;
        if (rollout.supportsRegistration()
                && recordsLoaded
                && !readInFlight
                && !writeInFlight
                && now - readMicros >= every) {
            readInFlight = true;
            readMicros = now;
            long fencingToken = scheduler.fencingToken();
            store.list(StoreKeys.ROLLOUT, null, owner.answer(r -> new TermMessage.RosterRead(r, fencingToken)));
        }
    }

    void registryRead(Reply reply) {
        readInFlight = false;
        if (!reply.ok()) {
            return;
        }
        ControllerRegistry registry = new ControllerRegistry(labels);
        try {
            for (StoreCodec.Item item : StoreCodec.page(reply.body()).items()) {
                registry.add(item.key(), item.row(), item.version());
            }
        } catch (MalformedException e) {
            LOG.error("registrations: {}", e.getMessage());
            return;
        }
        pending = true;
        if (layout == null) {
            if (everyoneKnows(Feature.NEEDS, registry)) {
                markLayout(registry);
            }
        } else if (!archiveExists && tuning.archiveEnabled()) {
            if (everyoneKnows(Feature.HISTORY, registry)) {
                startArchive(registry);
            }
        } else {
            advanceFeatures(registry);
        }
    }

    private boolean everyoneKnows(Feature feature, ControllerRegistry registry) {
        List<String> missing = registry.blockers(feature);
        logBlockers(missing.isEmpty() ? "" : feature.key() + " waits: " + String.join(", ", missing));
        return missing.isEmpty();
    }

    /** What is waited for, when it changes and once a minute. */
    private void logBlockers(String what) {
        long now = owner.now();
        if (!what.isEmpty() && (!what.equals(lastLogged) || now - loggedMicros >= LOG_INTERVAL_MICROS)) {
            LOG.info("roll-out: {}", what);
            loggedMicros = now;
        }
        lastLogged = what;
    }

    private List<Transaction.Condition> conditions(ControllerRegistry registry, Transaction.Condition... own) {
        List<Transaction.Condition> conditions =
                new ArrayList<>(List.of(new Transaction.Condition(StoreKeys.LEADER, scheduler.fencingToken())));
        conditions.addAll(List.of(own));
        conditions.addAll(registry.registrationConditions(
                settings.maxTransactionWrites() * CONDITIONS_PER_WRITE - OWN_CONDITIONS));
        return conditions;
    }

    /** From the mark on, and only then, jobs that need others are accepted and names are written in short. */
    private void markLayout(ControllerRegistry registry) {
        long fencingToken = scheduler.fencingToken();
        StoredRecord.Layout first = new StoredRecord.Layout(Settings.LAYOUT_NEEDS, settings.pageTasks());
        writeInFlight = true;
        store.transaction(
                new Transaction(
                        conditions(registry, new Transaction.Condition(StoreKeys.LAYOUT, 0)),
                        List.of(new Transaction.Write(StoreKeys.LAYOUT, first, 0))),
                owner.answer(r -> new TermMessage.LayoutMarked(r, fencingToken, first)));
    }

    void layoutMarked(TermMessage.LayoutMarked message) {
        writeAnswered(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info("all {} controllers read layout {}: marked", labels.size(), Settings.LAYOUT_NEEDS);
                users.tell(new UsersActor.LayoutKnown(
                        StoreCodec.revision(message.reply().body()), message.layout()));
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
    }

    /** The archive begins with an empty manifest, once every controller reads it. */
    private void startArchive(ControllerRegistry registry) {
        long fencingToken = scheduler.fencingToken();
        // The mark is written anew along with it: what a former version writes of jobs that need others has the mark's
        // version as
        // a condition, and may arrive minutes late.
        StoredRecord.Layout renewed = new StoredRecord.Layout(Settings.LAYOUT_HISTORY, layout.pageTasks());
        writeInFlight = true;
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
                owner.answer(r -> new TermMessage.HistoryBegun(r, fencingToken)));
    }

    /** Whoever wrote it, the copy of the rows tells of it. */
    void archiveStarted(TermMessage.HistoryBegun message) {
        writeAnswered(message.reply());
        if (message.reply().ok()) {
            LOG.info("all {} controllers read layout {}: the archive begins", labels.size(), Settings.LAYOUT_HISTORY);
        }
    }

    private void advanceFeatures(ControllerRegistry registry) {
        RolloutPlan plan = RolloutPlan.create(rollout.featureFlags(), registry, tuning.rolloutEnabled());
        logBlockers(String.join("; ", plan.blockers()));
        pending = plan.newStages() != null || !plan.blockers().isEmpty();
        if (plan.newStages() == null) {
            return;
        }
        long fencingToken = scheduler.fencingToken();
        writeInFlight = true;
        store.transaction(
                new Transaction(
                        conditions(
                                registry,
                                new Transaction.Condition(
                                        StoreKeys.FEATURE_STAGES,
                                        rollout.featureFlags().version())),
                        List.of(new Transaction.Write(StoreKeys.FEATURE_STAGES, plan.newStages(), 0))),
                owner.answer(r -> new TermMessage.Stepped(r, fencingToken, plan.newStages(), plan.transitions())));
    }

    /** Of an outcome that is not known the row itself tells. */
    void stagesWritten(TermMessage.Stepped message) {
        writeAnswered(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info("roll-out: {}", String.join(", ", message.moves()));
                rollout.flagsObserved(StoreCodec.revision(message.reply().body()), message.row());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
        rollout.newerVersionReported(rollout.featureFlags().version() + 1);
    }

    /** The next look comes at once after a step that was taken, and after a pause where it was not. */
    private void writeAnswered(Reply reply) {
        writeInFlight = false;
        advancedMicros = owner.now();
        readMicros = reply.ok() ? Long.MIN_VALUE / 2 : advancedMicros;
    }
}
