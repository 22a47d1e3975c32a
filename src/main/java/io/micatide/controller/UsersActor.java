package io.micatide.controller;

import io.micatide.jobs.JobCache;
import io.micatide.jobs.JobMemoryLimit;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobProgress;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import io.micatide.model.Settings;
import io.micatide.net.CloudClient;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.ApiDescription;
import io.micatide.protocol.JobCodec;
import io.micatide.protocol.JobCodec.PublicState;
import io.micatide.protocol.Json;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoredRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Serves the user API, whether this controller leads or not. {@link JobCacheRefresher} keeps the job cache up to date, {@link Submissions}
 * accepts jobs and {@link Cancellations} cancels them. A request about an open or unknown job is answered after a read of the store that
 * began after the request arrived, so that no answer is older than one that another controller has given; all requests that wait at that
 * time share the read.
 */
final class UsersActor extends Actor<UsersActor.Message> {
    /** A message to this actor. */
    sealed interface Message {}

    /** Requests a full read of the job records. */
    record LoadJobs() implements Message {}

    /** A user sent a request. */
    record RequestReceived(Request request) implements Message {}

    /** A scheduled read of the changes is due. */
    record RefreshDue() implements Message {}

    /**
     * The store answered a read of one page of the job records.
     *
     * @param afterKey the key after which the page begins, null for the first page
     */
    record JobPageRead(Reply reply, String afterKey) implements Message {}

    /** A failed read of a page is due to be retried. */
    record JobPageDue(String afterKey) implements Message {}

    /** The store answered a read of the changes that was sent at {@code requestSentMicros}. */
    record ChangesRead(Reply reply, long requestSentMicros) implements Message {}

    /** The store answered the transaction that writes a submitted job. */
    record SubmissionWritten(Reply reply, Submissions.Submission submission, StoredRecord.JobRecord jobRecord)
            implements Message {}

    /**
     * The store answered the transaction that cancels a job.
     *
     * @param conflicts number of earlier transactions for this request that the store rejected because the job record had changed
     */
    record CancellationWritten(Reply reply, Request request, StoredRecord.JobRecord jobRecord, String id, int conflicts)
            implements Message {}

    /**
     * The archive was searched for a job that the job cache does not hold.
     *
     * @param retries number of earlier searches for this request that met an outdated manifest
     */
    record JobLocated(
            Request request, String id, int retries, ArchiveReader.LookupResult result, JobLookupHandler handler)
            implements Message {}

    /** The archive was searched for one of the dependencies of a submitted job. */
    record DependencyLocated(Submissions.DependencyLookup lookup, String id, ArchiveReader.LookupResult result)
            implements Message {}

    /** The archive was searched for a job whose record was written by a previous version. */
    record RecordVerified(String id, ArchiveReader.LookupResult result) implements Message {}

    /** Searches of the archive that failed are due to be retried. */
    record VerificationDue() implements Message {}

    /** The leader on this controller requests the jobs that may be archived. */
    record FindArchivableJobs(long fencingToken) implements Message {}

    /** The leader on this controller subscribes to all changes, beginning with a snapshot of the open and the cancelled jobs. */
    record SubscribeLeader(LeaderActor leader) implements Message {}

    /** Ends the subscription of the leader on this controller. */
    record UnsubscribeLeader() implements Message {}

    /**
     * The leader reported the progress of jobs.
     *
     * @param replacesProgress whether the report replaces all earlier progress instead of adding to it
     */
    record ProgressReported(boolean replacesProgress, List<JobProgress> jobs) implements Message {}

    /** The leader on this controller learned the machine types that the cloud provider offers. */
    record MachineTypesChanged(List<MachineType> types) implements Message {}

    /** The store answered a read of the machine types. */
    record StoredMachineTypesRead(Reply reply) implements Message {}

    /** The cloud provider answered a request for the machine types. */
    record CloudMachineTypesRead(Reply reply) implements Message {}

    /** The standby on this controller requests a read of the changes, although no user request waits for one. */
    record RefreshRequested() implements Message {}

    /** Reports whether the deployment uses a feature that this version does not know; user requests are refused while it does. */
    record IncompatibleStoreChanged(boolean isIncompatible) implements Message {}

    /** Attaches the actor that receives feature stages, completed reads and cancellations, whether it leads or not. */
    record AttachLeaderActor(LeaderActor leader) implements Message {}

    /** Requests a digest of the cancellations that this controller knows from records above the given revision. */
    record ReadCancellationDigest(long revision, Consumer<CancellationDigest> callback) implements Message {}

    /**
     * A peer reported cancelled jobs.
     *
     * @param completionMessage sent to the leader's actor once the jobs are recorded in the job cache, null for none
     */
    record CancellationsReceived(List<CancellationDigest.Cancelled> jobs, LeaderMessage completionMessage)
            implements Message {}

    /** This process shuts down; further user requests are answered 503, and their connections are closed. */
    record ShutdownStarted() implements Message {}

    /** The leader on this controller has stored the final record of a job. */
    record JobFinished(String id, StoredRecord.JobRecord jobRecord, long version) implements Message {}

    /** The leader on this controller has stored the layout that every controller reads. */
    record LayoutMarked(long version, StoredRecord.Layout layout) implements Message {}

    /** Number of retries of a request that met a change of the archive, before it is answered 503. */
    static final int MAX_RETRIES = 4;

    /** Number of jobs that are not known as open whose progress is kept. */
    private static final int MAX_UNKNOWN_PROGRESS = 1_000;

    static final byte[] UNAVAILABLE = Json.error(null, "the state service does not answer");
    private static final byte[] INCOMPATIBLE_STORE =
            Json.error(null, "this version does not know what is stored; another controller answers");
    private static final byte[] SHUTTING_DOWN = Json.error(null, "this controller ends; another one answers");
    static final byte[] TOO_MANY_REQUESTS = Json.error(null, "too many requests");
    private static final byte[] STARTING = Json.error(null, "starting");
    static final byte[] NO_SUCH_JOB = Json.error(null, "no such job");
    private static final byte[] NO_SUCH_PATH = Json.error(null, "no such path");
    private static final byte[] WRONG_METHOD = Json.error(null, "method not allowed");

    private final String label;
    private final long startedMicros;
    private final StoreClient store;
    private final JobCache jobCache = new JobCache();
    private final PendingRequests pendingRequests = new PendingRequests();
    private Map<String, JobProgress> progress = new HashMap<>();
    private final ApiDescription description;
    private final KnownMachineTypes machineTypes;
    private final ArchiveReader archiveReader;
    private final JobCacheRefresher refresher;
    private final Submissions submissions;
    private final Cancellations cancellations;
    private boolean isShuttingDown;
    private boolean isStoreIncompatible;

    /**
     * Creates the actor.
     *
     * @param description description of the user API that is served with it, null to serve none
     * @param jobMemoryBytes limit of the estimated heap that the accepted jobs may take, in bytes
     */
    UsersActor(
            ActorExecutor executor,
            Settings settings,
            StoreClient store,
            CloudClient cloud,
            ApiDescription description,
            long jobMemoryBytes) {
        super(executor);
        this.label = settings.label();
        this.startedMicros = now();
        this.store = store;
        this.description = description;
        this.machineTypes = new KnownMachineTypes(this, store, cloud);
        this.archiveReader = new ArchiveReader(executor, store);
        this.refresher = new JobCacheRefresher(this, settings, store, archiveReader, jobCache);
        this.submissions = new Submissions(
                this,
                settings,
                store,
                archiveReader,
                jobCache,
                refresher,
                new JobMemoryLimit(
                        jobCache.memoryUsage(), jobMemoryBytes, settings.teams().keySet()));
        this.cancellations = new Cancellations(this, settings, store, jobCache, refresher);
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof RequestReceived m) {
            handleRequest(m.request());
        } else if (message instanceof ChangesRead m) {
            refresher.changesRead(m);
        } else if (message instanceof RefreshDue) {
            refresher.refreshDue();
        } else if (message instanceof SubmissionWritten m) {
            submissions.submissionWritten(m);
        } else if (message instanceof CancellationWritten m) {
            cancellations.cancellationWritten(m);
        } else if (message instanceof JobLocated m) {
            jobLocated(m);
        } else if (message instanceof DependencyLocated m) {
            submissions.dependencyLocated(m);
        } else if (message instanceof FindArchivableJobs m) {
            refresher.findArchivableJobs(m.fencingToken());
        } else if (message instanceof RecordVerified m) {
            refresher.verification().recordVerified(m);
        } else if (message instanceof VerificationDue) {
            refresher.verification().verifyRecords();
        } else if (message instanceof LoadJobs) {
            refresher.readPage(null);
            machineTypes.request();
        } else if (message instanceof JobPageRead m) {
            refresher.pageRead(m);
        } else if (message instanceof JobPageDue m) {
            refresher.readPage(m.afterKey());
        } else if (message instanceof ProgressReported m) {
            if (m.replacesProgress()) {
                progress = new HashMap<>();
            }
            m.jobs().forEach(job -> progress.put(job.id(), job));
            forgetUnknownProgress();
        } else if (message instanceof SubscribeLeader m) {
            refresher.subscribeLeader(m.leader());
        } else if (message instanceof UnsubscribeLeader) {
            refresher.unsubscribeLeader();
        } else if (message instanceof RefreshRequested) {
            refresher.refreshRequested();
        } else if (message instanceof IncompatibleStoreChanged m) {
            isStoreIncompatible = m.isIncompatible();
        } else if (message instanceof AttachLeaderActor m) {
            refresher.attachLeaderActor(m.leader());
            cancellations.attachLeaderActor(m.leader());
        } else if (message instanceof ReadCancellationDigest m) {
            m.callback().accept(jobCache.cancellationLog().digestSince(m.revision(), label, now() - startedMicros));
        } else if (message instanceof CancellationsReceived m) {
            refresher.cancellationsReceived(m.jobs(), m.completionMessage());
        } else if (message instanceof ShutdownStarted) {
            isShuttingDown = true;
        } else if (message instanceof JobFinished m) {
            refresher.apply(m.id(), m.jobRecord(), m.version());
        } else if (message instanceof LayoutMarked m) {
            refresher.layoutMarked(m.version(), m.layout());
        } else if (message instanceof MachineTypesChanged m) {
            machineTypes.changed(m.types());
        } else if (message instanceof StoredMachineTypesRead m) {
            machineTypes.storedTypesRead(m.reply());
        } else if (message instanceof CloudMachineTypesRead m) {
            machineTypes.cloudTypesRead(m.reply());
        }
    }

    // ---- shared with the parts of this actor

    JobCache jobCache() {
        return jobCache;
    }

    List<MachineType> machineTypes() {
        return machineTypes.types();
    }

    /** Removes progress that was reported after the job's end, once there is much of it. */
    private void forgetUnknownProgress() {
        if (progress.size() > 2 * jobCache.openJobs().size() + MAX_UNKNOWN_PROGRESS) {
            progress.keySet()
                    .removeIf(
                            id -> jobCache.get(id) == null || jobCache.state(id).isFinal());
        }
    }

    /** Removes the progress of a job that is finished or archived. */
    void forgetProgress(String id) {
        progress.remove(id);
    }

    /**
     * Answers 503 because the store did not answer. Closes the connection only if a peer reaches the store, so that the user turns to another
     * controller.
     */
    void answerUnavailable(Request request) {
        if (store.connectivity().isOnlyControllerPartitioned(now())) {
            request.answerAndClose(503, UNAVAILABLE, 1);
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    /** Answers 429 if the write was above the rate limit, else 503. */
    void answerWriteFailure(Request request, Reply reply) {
        if (reply.status() == 429) {
            request.answer(429, TOO_MANY_REQUESTS, 1);
        } else {
            answerUnavailable(request);
        }
    }

    // ---- routing of requests

    private void handleRequest(Request received) {
        Request request = pendingRequests.admit(received, now());
        if (request == null) {
            received.answer(429, TOO_MANY_REQUESTS, 1);
            return;
        }
        if (isShuttingDown) {
            request.answerAndClose(503, SHUTTING_DOWN, 1);
            return;
        }
        if (isStoreIncompatible) {
            request.answerAndClose(503, INCOMPATIBLE_STORE, 5);
            return;
        }
        String path = request.path();
        int query = path.indexOf('?');
        if (query >= 0) {
            path = path.substring(0, query);
        }
        if (path.equals("/healthz")) {
            if (!request.method().equals("GET")) {
                request.answer(405, WRONG_METHOD);
            } else if (store.connectivity().isOnlyControllerPartitioned(now())) {
                request.answer(503, UNAVAILABLE, 1);
            } else if (refresher.isLoaded() && !machineTypes.types().isEmpty()) {
                request.answer(200, "{\"status\":\"ok\"}".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            } else {
                request.answer(503, STARTING, 1);
            }
            return;
        }
        if (path.equals(ApiDescription.PATH) && description != null) {
            if (request.method().equals("GET")) {
                request.answer(200, description.bytes());
            } else {
                request.answer(405, WRONG_METHOD);
            }
        } else if (path.equals("/v1/jobs")) {
            route(request, "POST", () -> submissions.submit(request));
        } else if (path.startsWith("/v1/jobs/")) {
            String rest = path.substring("/v1/jobs/".length());
            if (rest.endsWith("/abort") && rest.indexOf('/') == rest.length() - 6) {
                String id = rest.substring(0, rest.length() - 6);
                route(request, "POST", () -> cancellations.cancel(request, id, 0));
            } else if (rest.indexOf('/') < 0 && !rest.isEmpty()) {
                route(request, "GET", () -> handleStatus(request, rest));
            } else {
                request.answer(404, NO_SUCH_PATH);
            }
        } else {
            request.answer(404, NO_SUCH_PATH);
        }
    }

    private void route(Request request, String method, Runnable handler) {
        if (!request.method().equals(method)) {
            request.answer(405, WRONG_METHOD);
        } else if (!refresher.isLoaded()) {
            request.answer(503, STARTING, 1);
        } else {
            handler.run();
        }
    }

    private void handleStatus(Request request, String id) {
        JobCache.Entry entry = jobCache.get(id);
        if (entry != null && jobCache.state(id).isFinal()) {
            answerStatus(request, entry);
        } else if (!JobCodec.isId(id)) {
            request.answer(404, NO_SUCH_JOB);
        } else {
            refresher.afterRefresh(
                    request,
                    () -> locate(request, id, 0, new JobLookupHandler() {
                        @Override
                        public void foundInCache() {
                            answerStatus(request, jobCache.get(id));
                        }

                        @Override
                        public void foundInArchive(JobOutcome outcome) {
                            request.answer(
                                    200,
                                    JobCodec.status(
                                            id,
                                            standing(outcome),
                                            outcome.state() == JobState.DONE ? outcome.taskCount() : 0,
                                            0));
                        }

                        @Override
                        public void notFound() {
                            request.answer(404, NO_SUCH_JOB);
                        }
                    }));
        }
    }

    // ---- the archive

    /**
     * Looks for a job in the job cache as it is and then in the archive, by the cache's manifest. A job that is not found although the cache
     * was refreshed after the request arrived was not accepted before the request.
     */
    void locate(Request request, String id, int retries, JobLookupHandler handler) {
        if (jobCache.get(id) != null) {
            handler.foundInCache();
        } else if (jobCache.isUnverified(id)) {
            request.answer(503, UNAVAILABLE, 1);
        } else if (jobCache.archiveManifest() == null) {
            handler.notFound();
        } else {
            archiveReader.tell(
                    new ArchiveReader.FindJob(id, found -> tell(new JobLocated(request, id, retries, found, handler))));
        }
    }

    private void jobLocated(JobLocated message) {
        Request request = message.request();
        if (message.result() instanceof ArchiveReader.Archived archived) {
            message.handler().foundInArchive(archived.outcome());
        } else if (message.result() instanceof ArchiveReader.NotArchived) {
            message.handler().notFound();
        } else if (message.result() instanceof ArchiveReader.ManifestOutdated && message.retries() < MAX_RETRIES) {
            refresher.afterRefresh(
                    request, () -> locate(request, message.id(), message.retries() + 1, message.handler()));
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    PublicState standing(JobOutcome outcome) {
        return outcome.state() == JobState.DONE ? PublicState.DONE : PublicState.CANCELLED;
    }

    private void answerStatus(Request request, JobCache.Entry entry) {
        JobProgress jobProgress = progress.get(entry.id());
        JobState state = jobCache.state(entry.id());
        boolean isDone = state == JobState.DONE;
        request.answer(
                200,
                JobCodec.status(
                        entry.id(),
                        standing(entry),
                        isDone ? entry.record().taskCount() : jobProgress == null ? 0 : jobProgress.finishedTasks(),
                        isDone || jobProgress == null || state == JobState.CANCELLED ? 0 : jobProgress.runningTasks()));
    }

    PublicState standing(JobCache.Entry entry) {
        JobProgress jobProgress = progress.get(entry.id());
        return switch (jobCache.state(entry.id())) {
            case DONE -> PublicState.DONE;
            case CANCELLED -> PublicState.CANCELLED;
            case OPEN ->
                jobProgress != null && jobProgress.runningTasks() > 0 ? PublicState.RUNNING : PublicState.QUEUED;
        };
    }
}
