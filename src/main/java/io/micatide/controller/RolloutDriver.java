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
    private static final long SOON_MICROS = 500 * Micros.MILLISECOND;

    private static final long PENDING_MICROS = 2 * Micros.SECOND;
    private static final long QUIET_MICROS = 10 * Micros.SECOND;
    private static final long SOON_FOR_MICROS = 10 * Micros.SECOND;
    private static final long SAID_MICROS = 60 * Micros.SECOND;
    /** Conditions of a step beside those on registrations. */
    private static final int OWN_CONDITIONS = 3;

    private static final int CONDITIONS_A_CHANGE = 4;

    private final LeaderActor owner;
    private final Settings settings;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final StoreClient state;
    private final UsersActor users;
    private final RolloutParticipant rollout;
    private final List<String> labels = new ArrayList<>();
    private long markVersion;
    private StoredRecord.Layout mark;
    private boolean historyThere;
    private boolean loaded;
    private boolean looking;
    private boolean stepping;
    private boolean pending = true;
    private long lookedMicros = Long.MIN_VALUE / 2;
    private long movedMicros;
    private long saidMicros;
    private String said = "";

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
        this.state = state;
        this.users = users;
        this.rollout = rollout;
        this.movedMicros = owner.now();
        labels.add(settings.label());
        settings.siblings().forEach(sibling -> labels.add(sibling.label()));
    }

    /** All that a leader reads is whole. */
    void loaded() {
        loaded = true;
        switchesChanged();
    }

    /** The scheduler writes by the switches as they are now. */
    void switchesChanged() {
        scheduler.featureFlagsChanged(
                rollout.switches().version(),
                rollout.switches().on(Feature.BOOKING_FENCE),
                rollout.switches().on(Feature.RETURNS));
    }

    void layoutSeen(long version, StoredRecord.Layout seen) {
        markVersion = version;
        mark = seen;
        scheduler.layoutMarked(version, seen);
    }

    void historySeen() {
        historyThere = true;
    }

    /** Called every so often. */
    void tick(long now) {
        long every = !pending ? QUIET_MICROS : now - movedMicros < SOON_FOR_MICROS ? SOON_MICROS : PENDING_MICROS;
        if (rollout.registers() && loaded && !looking && !stepping && now - lookedMicros >= every) {
            looking = true;
            lookedMicros = now;
            long fencingToken = scheduler.fencingToken();
            state.list(StoreKeys.ROLLOUT, null, owner.answer(r -> new TermMessage.RosterRead(r, fencingToken)));
        }
    }

    void rosterRead(Reply reply) {
        looking = false;
        if (!reply.ok()) {
            return;
        }
        ControllerRegistry roster = new ControllerRegistry(labels);
        try {
            for (StoreCodec.Item item : StoreCodec.page(reply.body()).items()) {
                roster.add(item.key(), item.record(), item.version());
            }
        } catch (MalformedException e) {
            LOG.error("registrations: {}", e.getMessage());
            return;
        }
        pending = true;
        if (mark == null) {
            if (everyoneKnows(Feature.NEEDS, roster)) {
                markLayout(roster);
            }
        } else if (!historyThere && tuning.archiveEnabled()) {
            if (everyoneKnows(Feature.HISTORY, roster)) {
                beginHistory(roster);
            }
        } else {
            features(roster);
        }
    }

    private boolean everyoneKnows(Feature feature, ControllerRegistry roster) {
        List<String> missing = roster.missing(feature);
        say(missing.isEmpty() ? "" : feature.key() + " waits: " + String.join(", ", missing));
        return missing.isEmpty();
    }

    /** What is waited for, when it changes and once a minute. */
    private void say(String what) {
        long now = owner.now();
        if (!what.isEmpty() && (!what.equals(said) || now - saidMicros >= SAID_MICROS)) {
            LOG.info("roll-out: {}", what);
            saidMicros = now;
        }
        said = what;
    }

    private List<Transaction.Condition> conditions(ControllerRegistry roster, Transaction.Condition... own) {
        List<Transaction.Condition> conditions =
                new ArrayList<>(List.of(new Transaction.Condition(StoreKeys.LEADER, scheduler.fencingToken())));
        conditions.addAll(List.of(own));
        conditions.addAll(roster.conditions(settings.maxTransactionWrites() * CONDITIONS_A_CHANGE - OWN_CONDITIONS));
        return conditions;
    }

    /** From the mark on, and only then, jobs that need others are accepted and names are written in short. */
    private void markLayout(ControllerRegistry roster) {
        long fencingToken = scheduler.fencingToken();
        StoredRecord.Layout first = new StoredRecord.Layout(Settings.LAYOUT_NEEDS, settings.pageTasks());
        stepping = true;
        state.transaction(
                new Transaction(
                        conditions(roster, new Transaction.Condition(StoreKeys.LAYOUT, 0)),
                        List.of(new Transaction.Write(StoreKeys.LAYOUT, first, 0))),
                owner.answer(r -> new TermMessage.LayoutMarked(r, fencingToken, first)));
    }

    void layoutMarked(TermMessage.LayoutMarked message) {
        stepped(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info("all {} controllers read layout {}: marked", labels.size(), Settings.LAYOUT_NEEDS);
                users.tell(new UsersActor.LayoutMarked(
                        StoreCodec.revision(message.reply().body()), message.layout()));
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
    }

    /** The archive begins with an empty manifest, once every controller reads it. */
    private void beginHistory(ControllerRegistry roster) {
        long fencingToken = scheduler.fencingToken();
        // The mark is written anew along with it: what a former version writes of jobs that need others has the mark's
        // version as
        // a condition, and may arrive minutes late.
        StoredRecord.Layout renewed = new StoredRecord.Layout(Settings.LAYOUT_HISTORY, mark.pageTasks());
        stepping = true;
        state.transaction(
                new Transaction(
                        conditions(
                                roster,
                                new Transaction.Condition(StoreKeys.LAYOUT, markVersion),
                                new Transaction.Condition(StoreKeys.ARCHIVE_MANIFEST, 0)),
                        List.of(
                                new Transaction.Write(StoreKeys.LAYOUT, renewed, 0),
                                new Transaction.Write(
                                        StoreKeys.ARCHIVE_MANIFEST, Archiver.first(fencingToken, owner.wall()), 0))),
                owner.answer(r -> new TermMessage.HistoryBegun(r, fencingToken)));
    }

    /** Whoever wrote it, the copy of the rows tells of it. */
    void historyBegun(TermMessage.HistoryBegun message) {
        stepped(message.reply());
        if (message.reply().ok()) {
            LOG.info("all {} controllers read layout {}: the archive begins", labels.size(), Settings.LAYOUT_HISTORY);
        }
    }

    private void features(ControllerRegistry roster) {
        RolloutPlan plan = RolloutPlan.of(rollout.switches(), roster, tuning.rolloutEnabled());
        say(String.join("; ", plan.waits()));
        pending = plan.row() != null || !plan.waits().isEmpty();
        if (plan.row() == null) {
            return;
        }
        long fencingToken = scheduler.fencingToken();
        stepping = true;
        state.transaction(
                new Transaction(
                        conditions(
                                roster,
                                new Transaction.Condition(
                                        StoreKeys.FEATURE_STAGES,
                                        rollout.switches().version())),
                        List.of(new Transaction.Write(StoreKeys.FEATURE_STAGES, plan.row(), 0))),
                owner.answer(r -> new TermMessage.Stepped(r, fencingToken, plan.row(), plan.moves())));
    }

    /** Of an outcome that is not known the row itself tells. */
    void featuresStepped(TermMessage.Stepped message) {
        stepped(message.reply());
        try {
            if (message.reply().ok()) {
                LOG.info("roll-out: {}", String.join(", ", message.moves()));
                rollout.seen(StoreCodec.revision(message.reply().body()), message.row());
                return;
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
        rollout.newerThere(rollout.switches().version() + 1);
    }

    /** The next look comes at once after a step that was taken, and after a pause where it was not. */
    private void stepped(Reply reply) {
        stepping = false;
        movedMicros = owner.now();
        lookedMicros = reply.ok() ? Long.MIN_VALUE / 2 : movedMicros;
    }
}
