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
    private record WaitingRequest(Request request, Runnable continuation) {}

    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);
    private static final long VERIFICATION_RETRY_MICROS = Micros.SECOND;
    /** What one look at what may be archived gives at most. */
    private static final int MAX_ARCHIVABLE_JOBS = 5_000;

    private static final int MAX_WAITING_REQUESTS = 400;

    private final UsersActor owner;
    private final StoreClient store;
    private final ArchiveReader archiveReader;
    private final JobCache jobCache;
    private final long refreshEveryMicros;
    private final List<WaitingRequest> nextQuestions = new ArrayList<>();
    private List<WaitingRequest> inFlightQuestions = List.of();
    private final Set<String> verificationsInFlight = new HashSet<>();
    /** Is told of the switches, of each read and of cancellations, whether it leads or not. */
    private LeaderActor leaderActor;

    private LeaderActor subscribedLeader;
    private boolean snapshotPending;
    private long subscribedMicros;
    private boolean isLoaded;
    private boolean refreshInFlight;
    private boolean refreshScheduled;
    private boolean refreshRequested;
    private long refreshedMicros;

    JobCacheRefresher(
            UsersActor owner, Settings settings, StoreClient state, ArchiveReader history, JobCache directory) {
        this.owner = owner;
        this.store = state;
        this.archiveReader = history;
        this.jobCache = directory;
        // All controllers together take about a third of the requests for this.
        this.refreshEveryMicros = Math.max(
                50 * Micros.MILLISECOND,
                (settings.siblings().size() + 1) * Micros.ofSeconds(3 / settings.storeRequestsPerSecond()));
    }

    /** Whether the copy has been read whole. */
    boolean isLoaded() {
        return isLoaded;
    }

    void attachLeaderActor(LeaderActor told) {
        leaderActor = told;
    }

    /** The leader on this controller wants every change from now on. What the copy knows as cancelled may be stopped at once. */
    void subscribeLeader(LeaderActor newLeader) {
        subscribedLeader = newLeader;
        snapshotPending = true;
        subscribedMicros = owner.now();
        List<String> cancelled = jobCache.openAndCancelled().stream()
                .filter(job -> job.state() == JobState.CANCELLED)
                .map(JobCache.View::id)
                .toList();
        subscribedLeader.tell(new LeaderMessage.CancellationsObserved(cancelled));
        refresh();
    }

    /** Jobs that a sibling knows as cancelled; {@code then} is told to the leader's actor after what follows from them. */
    void cancellationsReceived(List<CancellationDigest.Cancelled> jobs, LeaderMessage then) {
        jobs.forEach(job -> changed(jobCache.markCancelled(job.job(), job.version())));
        if (then != null) {
            leaderActor.tell(then);
        }
    }

    void unsubscribeLeader() {
        subscribedLeader = null;
    }

    /** A standby on this controller wants the copy fresh though nobody asks. */
    void refreshRequested() {
        refreshRequested = true;
        refresh();
    }

    void refreshDue() {
        refreshScheduled = false;
        refresh();
    }

    void readPage(String after) {
        store.list(StoreKeys.JOBS, after, owner.onReply(r -> new UsersActor.JobPageRead(r, after)));
    }

    void pageRead(UsersActor.JobPageRead message) {
        Reply reply = message.reply();
        if (!reply.ok()) {
            // The same page: with as many rows as use up the rate, a read that began anew would never end.
            owner.tellLater(new UsersActor.JobPageDue(message.after()), 300 * Micros.MILLISECOND);
            return;
        }
        try {
            StoreCodec.Items page = StoreCodec.page(reply.body());
            if (message.after() == null) {
                jobCache.beginFullRead(page.revision());
            }
            String last = null;
            for (StoreCodec.Item item : page.items()) {
                apply(item);
                last = item.key();
            }
            if (page.hasMore()) {
                readPage(last);
            } else {
                isLoaded = true;
                jobCache.finishFullRead();
                verifyRecords();
                LOG.info("job rows loaded, {} open", jobCache.openJobs().size());
                refresh();
            }
        } catch (MalformedException e) {
            LOG.error("job rows: {}", e.getMessage());
            owner.tellLater(new UsersActor.LoadJobs(), Micros.SECOND);
        }
    }

    private void apply(StoreCodec.Item item) {
        if (item.record() == null) {
            if (!StoreKeys.isDependencies(item.key())) {
                String id = StoreKeys.jobIdOf(item.key());
                jobCache.remove(id, item.version());
                owner.forgetProgress(id);
            }
        } else if (item.record() instanceof StoredRecord.ArchiveManifest manifest) {
            archiveManifestRead(item.version(), manifest);
        } else if (item.record() instanceof StoredRecord.FeatureStages features) {
            leaderActor.tell(new LeaderMessage.FeatureStagesObserved(item.version(), features));
        } else if (item.record() instanceof StoredRecord.JobRecord row) {
            apply(StoreKeys.jobIdOf(item.key()), row, item.version());
        } else if (item.record() instanceof StoredRecord.FurtherDependencies dependencies) {
            changed(jobCache.applyDependencies(
                    StoreKeys.jobIdOf(item.key()), StoreKeys.dependenciesPieceOf(item.key()), dependencies.names()));
        } else if (item.record() instanceof StoredRecord.Layout layout) {
            layoutMarked(item.version(), layout);
        }
    }

    private void archiveManifestRead(long version, StoredRecord.ArchiveManifest manifest) {
        jobCache.archiveManifestRead(version, manifest);
        archiveReader.tell(new ArchiveReader.ManifestChanged(manifest));
        if (subscribedLeader != null) {
            subscribedLeader.tell(new LeaderMessage.ArchiveManifestObserved(version, manifest));
        }
    }

    void layoutMarked(long version, StoredRecord.Layout layout) {
        jobCache.layoutMarked(version, layout);
        if (subscribedLeader != null) {
            subscribedLeader.tell(new LeaderMessage.LayoutObserved(version, layout));
        }
    }

    void apply(String id, StoredRecord.JobRecord row, long version) {
        changed(jobCache.apply(id, row, version));
    }

    private void changed(List<String> ids) {
        for (String changed : ids) {
            if (jobCache.state(changed).isFinal()) {
                owner.forgetProgress(changed);
            }
            if (subscribedLeader != null && !snapshotPending) {
                subscribedLeader.tell(new LeaderMessage.JobObserved(jobCache.view(changed)));
            } else if (subscribedLeader != null && jobCache.state(changed) == JobState.CANCELLED) {
                subscribedLeader.tell(new LeaderMessage.CancellationsObserved(List.of(changed)));
            }
        }
    }

    void refresh() {
        if (!isLoaded
                || refreshInFlight
                || (nextQuestions.isEmpty() && subscribedLeader == null && !refreshRequested)) {
            return;
        }
        long now = owner.now();
        long wait = refreshedMicros + refreshEveryMicros - now;
        // A new leader's first read does not wait. Its next ones do: in an outage that began with its claim it asked
        // again as fast as it was
        // answered, and above the rate, where the answer is its own, without end.
        if (wait > 0 && !(snapshotPending && refreshedMicros < subscribedMicros)) {
            if (!refreshScheduled) {
                refreshScheduled = true;
                owner.tellLater(new UsersActor.RefreshDue(), wait);
            }
            return;
        }
        refreshedMicros = now;
        refreshInFlight = true;
        refreshRequested = false;
        inFlightQuestions = new ArrayList<>(nextQuestions);
        nextQuestions.clear();
        store.changes(StoreKeys.JOBS, jobCache.revision(), owner.onReply(r -> new UsersActor.ChangesRead(r, now)));
    }

    void changesRead(UsersActor.ChangesRead message) {
        refreshInFlight = false;
        List<WaitingRequest> asked = inFlightQuestions;
        inFlightQuestions = List.of();
        Reply reply = message.reply();
        boolean fresh = false;
        if (reply.ok()) {
            try {
                StoreCodec.Items changes = StoreCodec.changes(reply.body());
                // In the order in which they were made: a row may come and go between two reads.
                changes.items().stream()
                        .sorted(Comparator.comparingLong(StoreCodec.Item::version))
                        .forEach(this::apply);
                jobCache.advanceTo(changes.revision());
                verifyRecords();
                fresh = true;
            } catch (MalformedException e) {
                LOG.error("changes of jobs: {}", e.getMessage());
            }
        } else if (reply.status() == 410) {
            isLoaded = false;
            owner.tell(new UsersActor.LoadJobs());
        }
        if (fresh) {
            if (subscribedLeader != null) {
                // A read that was under way at the claim may lack a job whose ledger the leader before wrote after it:
                // with the job
                // unknown its ledger was taken for a left-over, and its tasks were started once more.
                if (snapshotPending && message.askedMicros() >= subscribedMicros) {
                    snapshotPending = false;
                    if (jobCache.layoutVersion() > 0) {
                        subscribedLeader.tell(
                                new LeaderMessage.LayoutObserved(jobCache.layoutVersion(), jobCache.layout()));
                    }
                    if (jobCache.archiveManifest() != null) {
                        subscribedLeader.tell(new LeaderMessage.ArchiveManifestObserved(
                                jobCache.archiveVersion(), jobCache.archiveManifest()));
                    }
                    subscribedLeader.tell(new LeaderMessage.JobsObserved(jobCache.openAndCancelled()));
                }
            }
            leaderActor.tell(new LeaderMessage.StoreRead(message.askedMicros(), jobCache.revision()));
            asked.forEach(question -> question.continuation().run());
        } else {
            asked.forEach(question -> owner.answerUnavailable(question.request()));
        }
        refresh();
    }

    void afterRefresh(Request request, Runnable then) {
        if (nextQuestions.size() >= MAX_WAITING_REQUESTS) {
            request.answer(429, UsersActor.BUSY, 2);
            return;
        }
        nextQuestions.add(new WaitingRequest(request, then));
        refresh();
    }

    /** Rows of a former version may be of jobs that were archived long ago: nothing of them is told or started before that is known. */
    void verifyRecords() {
        for (JobCache.Entry entry : jobCache.unverified()) {
            if (verificationsInFlight.add(entry.id())) {
                archiveReader.tell(new ArchiveReader.FindJob(
                        entry.id(), found -> owner.tell(new UsersActor.RecordVerified(entry.id(), found))));
            }
        }
    }

    void recordVerified(UsersActor.RecordVerified message) {
        verificationsInFlight.remove(message.id());
        if (message.found() instanceof ArchiveReader.Archived) {
            LOG.warn("{} has a row again although it is archived: a former version wrote it; it will go", message.id());
            jobCache.markStale(message.id());
        } else if (message.found() instanceof ArchiveReader.NotArchived) {
            changed(jobCache.markVerified(message.id()));
        } else {
            owner.tellLater(new UsersActor.VerificationDue(), VERIFICATION_RETRY_MICROS);
        }
    }

    void findArchivableJobs(long fencingToken) {
        if (subscribedLeader == null
                || !isLoaded
                || (jobCache.endedJobs().isEmpty() && jobCache.staleRecords().isEmpty())) {
            return;
        }
        Set<String> needed = jobCache.dependencies();
        List<Archiver.ArchivableJob> result = new ArrayList<>();
        for (JobCache.Entry entry : jobCache.endedJobs()) {
            if (result.size() >= MAX_ARCHIVABLE_JOBS) {
                break;
            }
            if (!needed.contains(entry.id())) {
                result.add(new Archiver.ArchivableJob(
                        entry.id(),
                        entry.version(),
                        JobOutcome.of(entry.record()),
                        jobCache.furtherDependencyRecords(entry.id())));
            }
        }
        jobCache.staleRecords().forEach((id, version) -> result.add(new Archiver.ArchivableJob(id, version, null, 0)));
        subscribedLeader.tell(new TermMessage.ArchivableJobsFound(fencingToken, result, jobCache.archiveVersion()));
    }
}
