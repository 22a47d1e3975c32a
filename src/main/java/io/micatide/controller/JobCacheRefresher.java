package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.jobs.JobCache;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the copy of the job rows: reads it whole, brings it up to date by the changes, and tells a leader on this controller what it
 * shows. Questions that came in before a read of the changes began are answered after it, all of them by the same read. Part of the
 * users' actor.
 */
final class JobCacheRefresher {
    /** What to do with a question once the copy is fresh. */
    private record Question(Request request, Runnable fresh) {}

    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);
    private static final long DOUBTS_MICROS = Micros.SECOND;
    /** What one look at what may be archived gives at most. */
    private static final int MOST_ENDED = 5_000;

    private static final int MOST_WAITING = 400;

    private final UsersActor owner;
    private final StoreClient state;
    private final ArchiveReader history;
    private final JobCache directory;
    private final long refreshEveryMicros;
    private final List<Question> arriving = new ArrayList<>();
    private List<Question> asking = List.of();
    private final Set<String> doubts = new HashSet<>();
    /** Is told of the switches, of each read and of cancellations, whether it leads or not. */
    private LeaderActor own;

    private LeaderActor leader;
    private boolean followPending;
    private long followMicros;
    private boolean loaded;
    private boolean refreshing;
    private boolean refreshTimer;
    private boolean keepUp;
    private long refreshedMicros;

    JobCacheRefresher(
            UsersActor owner, Settings settings, StoreClient state, ArchiveReader history, JobCache directory) {
        this.owner = owner;
        this.state = state;
        this.history = history;
        this.directory = directory;
        // All controllers together take about a third of the requests for this.
        this.refreshEveryMicros = Math.max(
                50 * Micros.MILLISECOND,
                (settings.siblings().size() + 1) * Micros.ofSeconds(3 / settings.storeRequestsPerSecond()));
    }

    /** Whether the copy has been read whole. */
    boolean loaded() {
        return loaded;
    }

    void belongsTo(LeaderActor told) {
        own = told;
    }

    /** The leader on this controller wants every change from now on. What the copy knows as cancelled may be stopped at once. */
    void follow(LeaderActor newLeader) {
        leader = newLeader;
        followPending = true;
        followMicros = owner.now();
        List<String> cancelled = directory.openAndCancelled().stream()
                .filter(job -> job.state() == JobState.CANCELLED)
                .map(JobCache.View::id)
                .toList();
        leader.tell(new LeaderActor.CancelledKnown(cancelled));
        refresh();
    }

    /** Jobs that a sibling knows as cancelled; {@code then} is told to the leader's actor after what follows from them. */
    void takeIn(List<CancellationDigest.Cancelled> jobs, LeaderActor.Message then) {
        jobs.forEach(job -> changed(directory.markCancelled(job.job(), job.version())));
        if (then != null) {
            own.tell(then);
        }
    }

    void unfollow() {
        leader = null;
    }

    /** A standby on this controller wants the copy fresh though nobody asks. */
    void keepUp() {
        keepUp = true;
        refresh();
    }

    void refreshDue() {
        refreshTimer = false;
        refresh();
    }

    void readPage(String after) {
        state.list(StoreKeys.JOBS, after, owner.answer(r -> new UsersActor.PageRead(r, after)));
    }

    void pageRead(UsersActor.PageRead message) {
        Reply reply = message.reply();
        if (!reply.ok()) {
            // The same page: with as many rows as use up the rate, a read that began anew would never end.
            owner.tellLater(new UsersActor.PageDue(message.after()), 300 * Micros.MILLISECOND);
            return;
        }
        try {
            StoreCodec.Items page = StoreCodec.page(reply.body());
            if (message.after() == null) {
                directory.restartAt(page.revision());
            }
            String last = null;
            for (StoreCodec.Item item : page.items()) {
                apply(item);
                last = item.key();
            }
            if (page.more()) {
                readPage(last);
            } else {
                loaded = true;
                directory.allRead();
                settleDoubts();
                LOG.info("job rows loaded, {} open", directory.open().size());
                refresh();
            }
        } catch (MalformedException e) {
            LOG.error("job rows: {}", e.getMessage());
            owner.tellLater(new UsersActor.Load(), Micros.SECOND);
        }
    }

    private void apply(StoreCodec.Item item) {
        String name = item.key().substring(StoreKeys.JOBS.length());
        if (item.row() == null) {
            if (name.indexOf('/') < 0) {
                directory.removed(name, item.version());
                owner.over(name);
            }
        } else if (item.row() instanceof StoredRecord.ArchiveManifest manifest) {
            historyKnown(item.version(), manifest);
        } else if (item.row() instanceof StoredRecord.FeatureStages features) {
            own.tell(new LeaderActor.SwitchesSeen(item.version(), features));
        } else if (item.row() instanceof StoredRecord.JobRecord row) {
            apply(name, row, item.version());
        } else if (item.row() instanceof StoredRecord.FurtherDependencies needs) {
            int slash = name.indexOf('/');
            changed(directory.applyDependencies(
                    name.substring(0, slash),
                    Integer.parseInt(name.substring(name.lastIndexOf('/') + 1)),
                    needs.names()));
        } else if (item.row() instanceof StoredRecord.Layout layout) {
            layoutKnown(item.version(), layout);
        }
    }

    private void historyKnown(long version, StoredRecord.ArchiveManifest manifest) {
        directory.archiveManifestRead(version, manifest);
        history.tell(new ArchiveReader.Manifest(manifest));
        if (leader != null) {
            leader.tell(new LeaderActor.HistorySeen(version, manifest));
        }
    }

    void layoutKnown(long version, StoredRecord.Layout layout) {
        directory.layoutMarked(version, layout);
        if (leader != null) {
            leader.tell(new LeaderActor.LayoutSeen(version, layout));
        }
    }

    void apply(String id, StoredRecord.JobRecord row, long version) {
        changed(directory.apply(id, row, version));
    }

    private void changed(List<String> ids) {
        for (String changed : ids) {
            if (directory.state(changed).isFinal()) {
                owner.over(changed);
            }
            if (leader != null && !followPending) {
                leader.tell(new LeaderActor.JobSeen(directory.view(changed)));
            } else if (leader != null && directory.state(changed) == JobState.CANCELLED) {
                leader.tell(new LeaderActor.CancelledKnown(List.of(changed)));
            }
        }
    }

    void refresh() {
        if (!loaded || refreshing || (arriving.isEmpty() && leader == null && !keepUp)) {
            return;
        }
        long now = owner.now();
        long wait = refreshedMicros + refreshEveryMicros - now;
        // A new leader's first read does not wait. Its next ones do: in an outage that began with its claim it asked
        // again as fast as it was
        // answered, and above the rate, where the answer is its own, without end.
        if (wait > 0 && !(followPending && refreshedMicros < followMicros)) {
            if (!refreshTimer) {
                refreshTimer = true;
                owner.tellLater(new UsersActor.RefreshDue(), wait);
            }
            return;
        }
        refreshedMicros = now;
        refreshing = true;
        keepUp = false;
        asking = new ArrayList<>(arriving);
        arriving.clear();
        state.changes(StoreKeys.JOBS, directory.revision(), owner.answer(r -> new UsersActor.ChangesRead(r, now)));
    }

    void changesRead(UsersActor.ChangesRead message) {
        refreshing = false;
        List<Question> asked = asking;
        asking = List.of();
        Reply reply = message.reply();
        boolean fresh = false;
        if (reply.ok()) {
            try {
                StoreCodec.Items changes = StoreCodec.changes(reply.body());
                // In the order in which they were made: a row may come and go between two reads.
                changes.items().stream()
                        .sorted(Comparator.comparingLong(StoreCodec.Item::version))
                        .forEach(this::apply);
                directory.advanceTo(changes.revision());
                settleDoubts();
                fresh = true;
            } catch (MalformedException e) {
                LOG.error("changes of jobs: {}", e.getMessage());
            }
        } else if (reply.status() == 410) {
            loaded = false;
            owner.tell(new UsersActor.Load());
        }
        if (fresh) {
            if (leader != null) {
                // A read that was under way at the claim may lack a job whose ledger the leader before wrote after it:
                // with the job
                // unknown its ledger was taken for a left-over, and its tasks were started once more.
                if (followPending && message.askedMicros() >= followMicros) {
                    followPending = false;
                    if (directory.layoutVersion() > 0) {
                        leader.tell(new LeaderActor.LayoutSeen(directory.layoutVersion(), directory.layout()));
                    }
                    if (directory.archiveManifest() != null) {
                        leader.tell(
                                new LeaderActor.HistorySeen(directory.archiveVersion(), directory.archiveManifest()));
                    }
                    leader.tell(new LeaderActor.JobsSeen(directory.openAndCancelled()));
                }
            }
            own.tell(new LeaderActor.StateFresh(message.askedMicros(), directory.revision()));
            asked.forEach(question -> question.fresh().run());
        } else {
            asked.forEach(question -> owner.unavailable(question.request()));
        }
        refresh();
    }

    void whenFresh(Request request, Runnable then) {
        if (arriving.size() >= MOST_WAITING) {
            request.answer(429, UsersActor.BUSY, 2);
            return;
        }
        arriving.add(new Question(request, then));
        refresh();
    }

    /** Rows of a former version may be of jobs that were archived long ago: nothing of them is told or started before that is known. */
    void settleDoubts() {
        for (JobCache.Entry entry : directory.unverified()) {
            if (doubts.add(entry.id())) {
                history.tell(new ArchiveReader.Find(
                        entry.id(), found -> owner.tell(new UsersActor.DoubtSettled(entry.id(), found))));
            }
        }
    }

    void doubtSettled(UsersActor.DoubtSettled message) {
        doubts.remove(message.id());
        if (message.found() instanceof ArchiveReader.Archived) {
            LOG.warn("{} has a row again although it is archived: a former version wrote it; it will go", message.id());
            directory.markStale(message.id());
        } else if (message.found() instanceof ArchiveReader.Nowhere) {
            changed(directory.markVerified(message.id()));
        } else {
            owner.tellLater(new UsersActor.DoubtsDue(), DOUBTS_MICROS);
        }
    }

    void findEnded(long fencingToken) {
        if (leader == null
                || !loaded
                || (directory.ended().isEmpty() && directory.staleRecords().isEmpty())) {
            return;
        }
        Set<String> needed = directory.dependencies();
        List<Archiver.ArchivableJob> result = new ArrayList<>();
        for (JobCache.Entry entry : directory.ended()) {
            if (result.size() >= MOST_ENDED) {
                break;
            }
            if (!needed.contains(entry.id())) {
                result.add(new Archiver.ArchivableJob(
                        entry.id(), entry.version(), JobOutcome.of(entry.record()), directory.furtherRows(entry.id())));
            }
        }
        directory.staleRecords().forEach((id, version) -> result.add(new Archiver.ArchivableJob(id, version, null, 0)));
        leader.tell(new TermMessage.EndedFound(fencingToken, result, directory.archiveVersion()));
    }
}
