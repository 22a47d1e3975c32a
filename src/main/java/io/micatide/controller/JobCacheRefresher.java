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
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the job cache up to date: loads it with a full read of the job records, applies the changes since then, and reports them to a leader
 * on this controller. All requests that arrived before a read of the changes began are answered after that read. Part of the users' actor.
 */
final class JobCacheRefresher {
    /**
     * A user request that awaits a read of the changes.
     *
     * @param continuation run after the read; it answers the request
     */
    private record WaitingRequest(Request request, Runnable continuation) {}

    private static final Logger LOG = LoggerFactory.getLogger(UsersActor.class);
    /** With seven controllers that accept jobs alike, the changes between two reads stay below the largest response. */
    private static final long MAX_WRITTEN_BYTES_BETWEEN_READS = 256 << 10;
    /** Maximum number of finished jobs that one search for archivable jobs returns. */
    private static final int MAX_ARCHIVABLE_JOBS = 5_000;

    /** Further requests are answered 429. */
    private static final int MAX_WAITING_REQUESTS = 400;

    private final UsersActor owner;
    private final StoreClient store;
    private final ArchiveReader archiveReader;
    private final JobCache jobCache;
    private final long refreshIntervalMicros;
    private final List<WaitingRequest> requestsAwaitingNextRead = new ArrayList<>();
    private List<WaitingRequest> requestsAwaitingReadInFlight = List.of();
    private final RecordVerification verification;
    /** Receives feature stages, completed reads and cancellations, whether it leads or not. */
    private LeaderActor leaderActor;

    /** Receives every change of a job, null if this controller does not lead. */
    private LeaderActor subscribedLeader;

    /** Whether the subscribed leader has yet to receive the open and the cancelled jobs. */
    private boolean isSnapshotPending;

    private long subscribedMicros;
    private boolean isLoaded;
    private boolean isRefreshInFlight;
    private boolean isRefreshScheduled;
    /** Whether a standby on this controller awaits a read of the changes. */
    private boolean isRefreshRequested;

    /** Estimated memory of the jobs that this controller wrote since it sent the last read of the changes. */
    private long writtenBytes;

    /** Time at which the last read of the changes was sent. */
    private long lastRefreshMicros;

    JobCacheRefresher(
            UsersActor owner, Settings settings, StoreClient store, ArchiveReader archiveReader, JobCache jobCache) {
        this.owner = owner;
        this.store = store;
        this.archiveReader = archiveReader;
        this.jobCache = jobCache;
        this.verification = new RecordVerification(owner, archiveReader, jobCache, this::jobsChanged);
        // All controllers together use about a third of the store's request rate for these reads.
        this.refreshIntervalMicros = Math.max(
                50 * Micros.MILLISECOND,
                (settings.peers().size() + 1) * Micros.ofSeconds(3 / settings.storeRequestsPerSecond()));
    }

    /** Returns the search of the archive for records that a previous version wrote. */
    RecordVerification verification() {
        return verification;
    }

    /** Returns whether the full read of the job records is complete. */
    boolean isLoaded() {
        return isLoaded;
    }

    /** Sets the actor that receives feature stages, completed reads and cancellations, whether it leads or not. */
    void attachLeaderActor(LeaderActor leader) {
        leaderActor = leader;
    }

    /**
     * Subscribes the leader on this controller to all changes. Sends it the jobs that the cache holds as cancelled at once, since these may be
     * stopped before the snapshot is complete.
     */
    void subscribeLeader(LeaderActor newLeader) {
        subscribedLeader = newLeader;
        isSnapshotPending = true;
        subscribedMicros = owner.now();
        List<String> cancelled = jobCache.openAndCancelledJobs().stream()
                .filter(job -> job.state() == JobState.CANCELLED)
                .map(JobCache.View::id)
                .toList();
        subscribedLeader.tell(new LeaderMessage.CancellationsObserved(cancelled));
        refresh();
    }

    /**
     * Records jobs that a peer reported as cancelled.
     *
     * @param completionMessage sent to the leader's actor after the changes that the jobs cause, null for none
     */
    void cancellationsReceived(List<CancellationDigest.Cancelled> jobs, LeaderMessage completionMessage) {
        jobs.forEach(job -> jobsChanged(jobCache.markCancelled(job.job(), job.version())));
        if (completionMessage != null) {
            leaderActor.tell(completionMessage);
        }
    }

    /** Ends the subscription of the leader on this controller. */
    void unsubscribeLeader() {
        subscribedLeader = null;
    }

    /** Reads the changes for a standby on this controller, also if no user request waits for them. */
    void refreshRequested() {
        isRefreshRequested = true;
        refresh();
    }

    /**
     * Records that this controller writes a job. Reads the changes after many of them, although no request waits for them: the memory limit counts
     * the jobs that other controllers accept, and more changes than fit into one response are read with all other records.
     *
     * @param estimatedBytes estimated memory of the job
     */
    void jobWritten(long estimatedBytes) {
        writtenBytes += estimatedBytes;
        if (writtenBytes > MAX_WRITTEN_BYTES_BETWEEN_READS) {
            refreshRequested();
        }
    }

    /** Runs a scheduled read of the changes. */
    void refreshDue() {
        isRefreshScheduled = false;
        refresh();
    }

    /**
     * Reads one page of all job records.
     *
     * @param afterKey the key after which the page begins, null for the first page
     */
    void readPage(String afterKey) {
        store.list(StoreKeys.JOBS, afterKey, owner.onReply(r -> new UsersActor.JobPageRead(r, afterKey)));
    }

    /** Applies a page of the full read and requests the next one; retries a failed page. */
    void pageRead(UsersActor.JobPageRead message) {
        Reply reply = message.reply();
        if (!reply.ok()) {
            // Retries the same page: with enough records to use up the rate limit, a read that restarted with the first
            // page would never complete.
            owner.tellLater(new UsersActor.JobPageDue(message.afterKey()), 300 * Micros.MILLISECOND);
            return;
        }
        try {
            StoreCodec.Items page = StoreCodec.page(reply.body());
            if (message.afterKey() == null) {
                jobCache.beginFullRead(page.revision());
            }
            String lastKey = null;
            for (StoreCodec.Item item : page.items()) {
                apply(item);
                lastKey = item.key();
            }
            if (page.hasMore()) {
                readPage(lastKey);
            } else {
                isLoaded = true;
                jobCache.finishFullRead();
                verification.verifyRecords();
                LOG.info(
                        "job records loaded, {} jobs open, some {} KB with {} dependencies",
                        jobCache.openJobs().size(),
                        jobCache.memoryUsage().totalBytes() >> 10,
                        jobCache.dependencyEdges());
                refresh();
            }
        } catch (MalformedException e) {
            LOG.error("malformed page of job records: {}", e.getMessage());
            owner.tellLater(new UsersActor.LoadJobs(), Micros.SECOND);
        }
    }

    private void apply(StoreCodec.Item item) {
        if (item.record() == null) {
            if (!StoreKeys.isFurtherDependencies(item.key())) {
                String id = StoreKeys.jobIdOf(item.key());
                jobCache.remove(id, item.version());
                owner.forgetProgress(id);
            }
        } else if (item.record() instanceof StoredRecord.ArchiveManifest manifest) {
            archiveManifestRead(item.version(), manifest);
        } else if (item.record() instanceof StoredRecord.FeatureStages features) {
            leaderActor.tell(new LeaderMessage.FeatureStagesObserved(item.version(), features));
        } else if (item.record() instanceof StoredRecord.JobRecord jobRecord) {
            apply(StoreKeys.jobIdOf(item.key()), jobRecord, item.version());
        } else if (item.record() instanceof StoredRecord.FurtherDependencies dependencies) {
            jobsChanged(jobCache.applyDependencies(
                    StoreKeys.jobIdOf(item.key()),
                    StoreKeys.furtherDependenciesPieceOf(item.key()),
                    dependencies.names()));
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

    /** Records the layout that every controller reads, and reports it to the subscribed leader. */
    void layoutMarked(long version, StoredRecord.Layout layout) {
        jobCache.layoutRead(version, layout);
        if (subscribedLeader != null) {
            subscribedLeader.tell(new LeaderMessage.LayoutObserved(version, layout));
        }
    }

    /** Applies a job record of the given version, and reports the changes that it causes. */
    void apply(String id, StoredRecord.JobRecord jobRecord, long version) {
        jobsChanged(jobCache.apply(id, jobRecord, version));
    }

    private void jobsChanged(List<String> ids) {
        for (String id : ids) {
            if (jobCache.state(id).isFinal()) {
                owner.forgetProgress(id);
            }
            if (subscribedLeader != null && !isSnapshotPending) {
                subscribedLeader.tell(new LeaderMessage.JobObserved(jobCache.view(id)));
            } else if (subscribedLeader != null && jobCache.state(id) == JobState.CANCELLED) {
                subscribedLeader.tell(new LeaderMessage.CancellationsObserved(List.of(id)));
            }
        }
    }

    /**
     * Reads the changes since the cache's revision if a request, the subscribed leader or a standby awaits them and no read is in flight.
     * Schedules the read instead if the last one was sent less than the refresh interval ago.
     */
    void refresh() {
        if (!isLoaded
                || isRefreshInFlight
                || (requestsAwaitingNextRead.isEmpty() && subscribedLeader == null && !isRefreshRequested)) {
            return;
        }
        long now = owner.now();
        long delayMicros = lastRefreshMicros + refreshIntervalMicros - now;
        // A new leader's first read is sent without delay, its next ones are not: in an outage that began with the
        // claim, they were retried as fast as they were answered, and without end above the rate limit, where the
        // client itself answers.
        if (delayMicros > 0 && !(isSnapshotPending && lastRefreshMicros < subscribedMicros)) {
            if (!isRefreshScheduled) {
                isRefreshScheduled = true;
                owner.tellLater(new UsersActor.RefreshDue(), delayMicros);
            }
            return;
        }
        lastRefreshMicros = now;
        isRefreshInFlight = true;
        isRefreshRequested = false;
        writtenBytes = 0;
        requestsAwaitingReadInFlight = new ArrayList<>(requestsAwaitingNextRead);
        requestsAwaitingNextRead.clear();
        store.changes(StoreKeys.JOBS, jobCache.revision(), owner.onReply(r -> new UsersActor.ChangesRead(r, now)));
    }

    /** Applies the changes that were read, reports them, and runs the requests that awaited the read. */
    void changesRead(UsersActor.ChangesRead message) {
        isRefreshInFlight = false;
        List<WaitingRequest> answeredRequests = requestsAwaitingReadInFlight;
        requestsAwaitingReadInFlight = List.of();
        Reply reply = message.reply();
        boolean isFresh = false;
        if (reply.ok()) {
            try {
                StoreCodec.Items changes = StoreCodec.changes(reply.body());
                // Applied in the order in which they were made: a record may be created and deleted between two reads.
                changes.items().stream()
                        .sorted(Comparator.comparingLong(StoreCodec.Item::version))
                        .forEach(this::apply);
                jobCache.advanceTo(changes.revision());
                verification.verifyRecords();
                isFresh = true;
            } catch (MalformedException e) {
                LOG.error("malformed changes of job records: {}", e.getMessage());
            }
        } else if (reply.status() == 410 || reply.isTooLarge()) {
            // Page by page, all records can be read in little memory.
            LOG.warn("changes of job records cannot be read ({}): reading all records", reply.status());
            isLoaded = false;
            owner.tell(new UsersActor.LoadJobs());
        }
        if (isFresh) {
            if (subscribedLeader != null) {
                // A read that was in flight at the claim may lack a job whose ledger the previous leader wrote after
                // that read. With the job unknown, its ledger was treated as obsolete and its tasks were started a
                // second time.
                if (isSnapshotPending && message.requestSentMicros() >= subscribedMicros) {
                    isSnapshotPending = false;
                    if (jobCache.layoutVersion() > 0) {
                        subscribedLeader.tell(
                                new LeaderMessage.LayoutObserved(jobCache.layoutVersion(), jobCache.layout()));
                    }
                    if (jobCache.archiveManifest() != null) {
                        subscribedLeader.tell(new LeaderMessage.ArchiveManifestObserved(
                                jobCache.archiveVersion(), jobCache.archiveManifest()));
                    }
                    subscribedLeader.tell(new LeaderMessage.JobsObserved(jobCache.openAndCancelledJobs()));
                }
            }
            leaderActor.tell(new LeaderMessage.StoreRead(message.requestSentMicros(), jobCache.revision()));
            answeredRequests.forEach(waiting -> waiting.continuation().run());
        } else {
            answeredRequests.forEach(waiting -> owner.answerUnavailable(waiting.request()));
        }
        refresh();
    }

    /** Runs the continuation of a request after a read of the changes that begins from now on; answers 429 if too many requests wait. */
    void afterRefresh(Request request, Runnable continuation) {
        if (requestsAwaitingNextRead.size() >= MAX_WAITING_REQUESTS) {
            request.answer(429, UsersActor.TOO_MANY_REQUESTS, 2);
            return;
        }
        requestsAwaitingNextRead.add(new WaitingRequest(request, continuation));
        refresh();
    }

    /** Sends the term with the given token the finished jobs that no open job depends on, and the stale records of archived jobs. */
    void findArchivableJobs(long fencingToken) {
        if (subscribedLeader == null
                || !isLoaded
                || (jobCache.finishedJobs().isEmpty()
                        && jobCache.staleRecordVersions().isEmpty())) {
            return;
        }
        Set<String> dependencies = jobCache.dependencies();
        List<Archiver.ArchivableJob> archivableJobs = new ArrayList<>();
        for (JobCache.Entry entry : jobCache.finishedJobs()) {
            if (archivableJobs.size() >= MAX_ARCHIVABLE_JOBS) {
                break;
            }
            if (!dependencies.contains(entry.id())) {
                archivableJobs.add(new Archiver.ArchivableJob(
                        entry.id(),
                        entry.version(),
                        JobOutcome.of(entry.record()),
                        jobCache.furtherDependencyRecords(entry.id())));
            }
        }
        jobCache.staleRecordVersions()
                .forEach((id, version) -> archivableJobs.add(new Archiver.ArchivableJob(id, version, null, 0)));
        subscribedLeader.tell(
                new TermMessage.ArchivableJobsFound(fencingToken, archivableJobs, jobCache.archiveVersion()));
    }
}
