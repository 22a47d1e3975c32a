package io.micatide.node;

import io.micatide.core.LayoutWatch;
import io.micatide.core.Micros;
import io.micatide.core.Row;
import io.micatide.core.Scheduler;
import io.micatide.core.Settings;
import io.micatide.core.StoreKeys;
import io.micatide.core.Transaction;
import io.micatide.core.Tuning;
import io.micatide.history.Archivist;
import io.micatide.net.StateClient;
import io.micatide.wire.MalformedException;
import io.micatide.wire.StateCodec;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A term's part in what every controller has to read first: the mark of the layout, and the archive that begins behind it. */
final class Marks {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long ENDED_MICROS = Micros.SECOND;
    /** A few finished jobs are archived after so long, lest the last of a busy day keep their rows. */
    private static final long FEW_MICROS = 600 * Micros.SECOND;

    private final LeaderActor owner;
    private final Settings settings;
    private final Tuning tuning;
    private final Scheduler scheduler;
    private final StateClient state;
    private final UsersActor users;
    private final ArchivistActor archivist;
    private final LayoutWatch layout;
    /** The mark and the archive's manifest as the copy of the rows has them. */
    private long markVersion;
    private Row.Layout mark;
    private long historyVersion;
    private Row.History history;
    private boolean loaded;
    private boolean archiving;
    private long endedAskedMicros;
    private long fewSinceMicros;

    Marks(LeaderActor owner, Settings settings, Tuning tuning, Scheduler scheduler, StateClient state, UsersActor users,
            ArchivistActor archivist) {
        this.owner = owner;
        this.settings = settings;
        this.tuning = tuning;
        this.scheduler = scheduler;
        this.state = state;
        this.users = users;
        this.archivist = archivist;
        this.layout = new LayoutWatch(settings.siblings().size());
        this.fewSinceMicros = owner.now();
    }

    /** All that a leader reads is whole. */
    void loaded() {
        loaded = true;
        markLayout();
        archive();
    }

    /** The term is over. */
    void end() {
        archivist.tell(new ArchivistActor.End());
        archiving = false;
    }

    void heard(int sibling, int reads) {
        layout.heard(sibling, reads);
        markLayout();
    }

    void layoutSeen(long version, Row.Layout seen) {
        markVersion = version;
        mark = seen;
        scheduler.layoutMarked(version, seen);
    }

    /** From the mark on, and only then, what a former version could not read is written. */
    private void markLayout() {
        if (!loaded) {
            return;
        }
        if (mark != null) {
            beginHistory();
            return;
        }
        if (!layout.mark(Settings.LAYOUT_NEEDS)) {
            return;
        }
        long token = scheduler.token();
        Row.Layout first = new Row.Layout(Settings.LAYOUT_NEEDS, settings.pageTasks());
        state.transaction(new Transaction(
                List.of(new Transaction.Compare(StoreKeys.LEADER, token), new Transaction.Compare(StoreKeys.LAYOUT, 0)),
                List.of(new Transaction.Write(StoreKeys.LAYOUT, first, 0))),
                owner.answer(r -> new TermMessage.LayoutMarked(r, token, first)));
    }

    void layoutMarked(TermMessage.LayoutMarked message) {
        try {
            if (message.reply().ok()) {
                LOG.info("all {} controllers read layout {}: marked", settings.siblings().size() + 1, Settings.LAYOUT_NEEDS);
                users.tell(new UsersActor.LayoutKnown(StateCodec.revision(message.reply().body()), message.layout()));
                return;
            }
            if (message.reply().status() == 409 && StateCodec.failed(message.reply().body()).contains(StoreKeys.LAYOUT)) {
                return;
            }
        } catch (MalformedException e) {
            LOG.error("transaction answer: {}", e.getMessage());
        }
        // The next answers of the siblings bring the next try.
        layout.failed(Settings.LAYOUT_NEEDS);
    }

    void historySeen(long version, Row.History manifest) {
        historyVersion = version;
        history = manifest;
        scheduler.historyKept();
        archive();
    }

    /** Once all is read and there is an archive, and if this controller is to keep it. */
    private void archive() {
        if (tuning.history() && loaded && history != null && !archiving) {
            archiving = true;
            archivist.tell(new ArchivistActor.Begin(scheduler.token(), history, historyVersion));
        }
    }

    /** Not at every tick: what is over can wait, and finding it goes over all open jobs. */
    void keepArchive(long now) {
        if (!archiving) {
            return;
        }
        long token = scheduler.token();
        if (now - endedAskedMicros >= ENDED_MICROS) {
            endedAskedMicros = now;
            users.tell(new UsersActor.FindEnded(token));
        }
        archivist.tell(new ArchivistActor.Spare(token, scheduler.spareWrites(now)));
    }

    void endedFound(TermMessage.EndedFound message) {
        if (!archiving) {
            return;
        }
        List<Archivist.Ended> settled = message.ended().stream()
                .filter(each -> each.outcome() == null || scheduler.settled(each.id())).toList();
        long now = owner.now();
        boolean anyway = now - fewSinceMicros >= FEW_MICROS;
        if (anyway || settled.isEmpty() || settled.size() >= tuning.historyBatch()) {
            fewSinceMicros = now;
        }
        archivist.tell(new ArchivistActor.Offer(message.token(), settled, message.copyOfVersion(), anyway));
    }

    /** The archive begins with an empty manifest, once every controller reads it. */
    private void beginHistory() {
        if (!tuning.history() || history != null || !layout.mark(Settings.LAYOUT_HISTORY)) {
            return;
        }
        long token = scheduler.token();
        // The mark is written anew along with it: what a former version writes of jobs that need others has the mark's version as
        // a condition, and may arrive minutes late.
        Row.Layout renewed = new Row.Layout(Settings.LAYOUT_HISTORY, mark.pageTasks());
        state.transaction(new Transaction(
                List.of(new Transaction.Compare(StoreKeys.LEADER, token), new Transaction.Compare(StoreKeys.LAYOUT, markVersion),
                        new Transaction.Compare(StoreKeys.HISTORY, 0)),
                List.of(new Transaction.Write(StoreKeys.LAYOUT, renewed, 0),
                        new Transaction.Write(StoreKeys.HISTORY, Archivist.first(token, owner.wall()), 0))),
                owner.answer(r -> new TermMessage.HistoryBegun(r, token)));
    }

    /** Whoever wrote it, the copy of the rows tells of it. */
    void historyBegun(TermMessage.HistoryBegun message) {
        if (message.reply().ok()) {
            LOG.info("all {} controllers read layout {}: the archive begins", settings.siblings().size() + 1,
                    Settings.LAYOUT_HISTORY);
        } else {
            layout.failed(Settings.LAYOUT_HISTORY);
        }
    }
}
