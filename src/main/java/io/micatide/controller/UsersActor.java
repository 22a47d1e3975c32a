package io.micatide.controller;

import io.micatide.jobs.JobCache;
import io.micatide.model.CancellationDigest;
import io.micatide.model.JobProgress;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.CloudClient;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.ApiDescription;
import io.micatide.protocol.CloudCodec;
import io.micatide.protocol.JobCodec;
import io.micatide.protocol.JobCodec.Standing;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Answers users, whether this controller leads or not. Its parts keep the copy of the job rows, take jobs in and cancel them. An answer about an open or
 * unknown job waits for a read of the state service that began after the question, so that no user hears something
 * older than what another node has said; the questions that came in meanwhile share the next read.
 */
final class UsersActor extends Actor<UsersActor.Message> {
    sealed interface Message {}

    record LoadJobs() implements Message {}

    record RequestReceived(Request request) implements Message {}

    record RefreshDue() implements Message {}

    /** A page of the full read; {@code after} null for the first. */
    record JobPageRead(Reply reply, String after) implements Message {}

    record JobPageDue(String after) implements Message {}

    record ChangesRead(Reply reply, long askedMicros) implements Message {}

    record SubmissionWritten(Reply reply, Submissions.Submission submission, StoredRecord.JobRecord row)
            implements Message {}

    record CancellationWritten(Reply reply, Request request, StoredRecord.JobRecord row, String id, int tries)
            implements Message {}

    /** What the archive says of a job that the copy does not hold. */
    record JobLocated(Request request, String id, int tries, ArchiveReader.LookupResult found, JobLookup then)
            implements Message {}

    /** What the archive says of one of the jobs that a submission needs. */
    record DependencyLocated(Submissions.DependencyLookup needs, String id, ArchiveReader.LookupResult found)
            implements Message {}

    /** What the archive says of a job whose row a former version wrote. */
    record RecordVerified(String id, ArchiveReader.LookupResult found) implements Message {}

    record VerificationDue() implements Message {}

    /** The leader on this controller wants to know what may be archived. */
    record FindArchivableJobs(long fencingToken) implements Message {}

    /** The leader on this controller wants every change from now on, beginning with all open jobs. */
    record SubscribeLeader(LeaderActor leader) implements Message {}

    record UnsubscribeLeader() implements Message {}

    record ProgressReported(boolean first, List<JobProgress> jobs) implements Message {}

    record MachineTypesChanged(List<MachineType> types) implements Message {}

    record StoredMachineTypesRead(Reply reply) implements Message {}

    record CloudMachineTypesRead(Reply reply) implements Message {}

    /** This controller follows the leader: the copy is kept fresh though nobody asks. */
    record RefreshRequested() implements Message {}

    /** Whether what is stored is of a form that this version does not know. */
    record IncompatibleStoreChanged(boolean now) implements Message {}

    /** Who is told of the switches, of each read and of cancellations, whether it leads or not. */
    record AttachLeaderActor(LeaderActor leader) implements Message {}

    /** What do users of this controller know of cancellations by rows above this revision? */
    record ReadCancellationDigest(long revision, Consumer<CancellationDigest> then) implements Message {}

    /** A sibling knows these jobs as cancelled; {@code then}, if any, is told to the leader's actor once they are taken in. */
    record CancellationsReceived(List<CancellationDigest.Cancelled> jobs, LeaderMessage then) implements Message {}

    /** This process ends: users are sent to the others. */
    record Closing() implements Message {}

    /** A final row that the leader on this controller knows to be stored. */
    record JobEnded(String id, StoredRecord.JobRecord row, long version) implements Message {}

    record LayoutMarked(long version, StoredRecord.Layout layout) implements Message {}

    /** How often a question that met a change of the archive is tried again before its user is asked to come back. */
    static final int MAX_ATTEMPTS = 4;

    static final byte[] UNAVAILABLE = Json.error(null, "the state service does not answer");
    private static final byte[] BLOCKED =
            Json.error(null, "this version does not know what is stored; another controller answers");
    private static final byte[] ENDING = Json.error(null, "this controller ends; another one answers");
    static final byte[] BUSY = Json.error(null, "too many requests");
    private static final byte[] STARTING = Json.error(null, "starting");
    static final byte[] NO_SUCH_JOB = Json.error(null, "no such job");
    private static final byte[] NO_SUCH_PATH = Json.error(null, "no such path");
    private static final byte[] WRONG_METHOD = Json.error(null, "method not allowed");

    private final String label;
    private final long startedMicros;
    private final StoreClient store;
    private final CloudClient cloud;
    private final JobCache jobCache = new JobCache();
    private Map<String, JobProgress> progress = new HashMap<>();
    private List<MachineType> machineTypes = List.of();
    private final ApiDescription description;
    private final ArchiveReader archiveReader;
    private final JobCacheRefresher refresher;
    private final Submissions submissions;
    private final Cancellations cancellations;
    private boolean typesAsked;
    private boolean closing;
    private boolean blocked;

    /** @param description what is served of the interface itself, null for nothing */
    UsersActor(
            ActorExecutor loop, Settings settings, StoreClient state, CloudClient cloud, ApiDescription description) {
        super(loop);
        this.label = settings.label();
        this.startedMicros = now();
        this.store = state;
        this.cloud = cloud;
        this.description = description;
        this.archiveReader = new ArchiveReader(loop, state);
        this.refresher = new JobCacheRefresher(this, settings, state, archiveReader, jobCache);
        this.submissions = new Submissions(this, settings, state, archiveReader, jobCache, refresher);
        this.cancellations = new Cancellations(this, settings, state, jobCache, refresher);
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
            refresher.recordVerified(m);
        } else if (message instanceof VerificationDue) {
            refresher.verifyRecords();
        } else if (message instanceof LoadJobs) {
            refresher.readPage(null);
            if (!typesAsked) {
                // Once: it repeats by itself until the types are known.
                typesAsked = true;
                store.read(StoreKeys.MACHINE_TYPES, onReply(StoredMachineTypesRead::new));
            }
        } else if (message instanceof JobPageRead m) {
            refresher.pageRead(m);
        } else if (message instanceof JobPageDue m) {
            refresher.readPage(m.after());
        } else if (message instanceof ProgressReported m) {
            if (m.first()) {
                progress = new HashMap<>();
            }
            m.jobs().forEach(job -> progress.put(job.id(), job));
        } else if (message instanceof SubscribeLeader m) {
            refresher.subscribeLeader(m.leader());
        } else if (message instanceof UnsubscribeLeader) {
            refresher.unsubscribeLeader();
        } else if (message instanceof RefreshRequested) {
            refresher.refreshRequested();
        } else if (message instanceof IncompatibleStoreChanged m) {
            blocked = m.now();
        } else if (message instanceof AttachLeaderActor m) {
            refresher.attachLeaderActor(m.leader());
            cancellations.attachLeaderActor(m.leader());
        } else if (message instanceof ReadCancellationDigest m) {
            m.then().accept(jobCache.cancellationLog().digestSince(m.revision(), label, now() - startedMicros));
        } else if (message instanceof CancellationsReceived m) {
            refresher.cancellationsReceived(m.jobs(), m.then());
        } else if (message instanceof Closing) {
            closing = true;
        } else if (message instanceof JobEnded m) {
            refresher.apply(m.id(), m.row(), m.version());
        } else if (message instanceof LayoutMarked m) {
            refresher.layoutMarked(m.version(), m.layout());
        } else if (message instanceof MachineTypesChanged m) {
            machineTypes = m.types();
        } else if (message instanceof StoredMachineTypesRead m) {
            typesRead(m.reply());
        } else if (message instanceof CloudMachineTypesRead m) {
            typesAnswered(m.reply());
        }
    }

    // ---- machine types

    private void typesRead(Reply reply) {
        if (!machineTypes.isEmpty()) {
            return;
        }
        if (reply.ok()) {
            try {
                machineTypes = ((StoredRecord.MachineTypes)
                                StoreCodec.item(reply.body()).record())
                        .types();
                return;
            } catch (MalformedException e) {
                log.error("stored machine types: {}", e.getMessage());
            }
        }
        cloud.types(onReply(CloudMachineTypesRead::new));
    }

    private void typesAnswered(Reply reply) {
        if (!machineTypes.isEmpty()) {
            return;
        }
        if (reply.ok()) {
            try {
                machineTypes = CloudCodec.types(reply.body());
                return;
            } catch (MalformedException e) {
                log.error("machine types: {}", e.getMessage());
            }
        }
        // Another controller may have stored them meanwhile.
        tellLater(new StoredMachineTypesRead(new Reply(0, new byte[0], false)), 2 * Micros.SECOND);
    }

    // ---- what its parts ask of it

    JobCache jobCache() {
        return jobCache;
    }

    List<MachineType> machineTypes() {
        return machineTypes;
    }

    /** A job is over or archived: its counts are not shown any more. */
    void forgetProgress(String id) {
        progress.remove(id);
    }

    /** No answer of the state service; the user is sent away only if another controller can do better. */
    void answerUnavailable(Request request) {
        if (store.connectivity().isOnlyControllerPartitioned(now())) {
            request.answerAndClose(503, UNAVAILABLE, 1);
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    void answerWriteFailure(Request request, Reply reply) {
        if (reply.status() == 429) {
            request.answer(429, BUSY, 1);
        } else {
            answerUnavailable(request);
        }
    }

    // ---- users

    private void handleRequest(Request request) {
        if (closing) {
            request.answerAndClose(503, ENDING, 1);
            return;
        }
        if (blocked) {
            request.answerAndClose(503, BLOCKED, 5);
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
            } else if (refresher.isLoaded() && !machineTypes.isEmpty()) {
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

    private void route(Request request, String method, Runnable then) {
        if (!request.method().equals(method)) {
            request.answer(405, WRONG_METHOD);
        } else if (!refresher.isLoaded()) {
            request.answer(503, STARTING, 1);
        } else {
            then.run();
        }
    }

    private void handleStatus(Request request, String id) {
        JobCache.Entry entry = jobCache.get(id);
        if (entry != null && jobCache.state(id).isFinal()) {
            tellStatus(request, entry);
        } else if (!JobCodec.isId(id)) {
            request.answer(404, NO_SUCH_JOB);
        } else {
            refresher.afterRefresh(
                    request,
                    () -> locate(request, id, 0, new JobLookup() {
                        @Override
                        public void foundInCache() {
                            tellStatus(request, jobCache.get(id));
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
     * Looks for a job in the copy as it is and in the archive by the copy's manifest. Said to be nowhere by a copy that was read
     * after the question, it was not accepted before it.
     */
    void locate(Request request, String id, int tries, JobLookup then) {
        if (jobCache.get(id) != null) {
            then.foundInCache();
        } else if (jobCache.isUnverified(id)) {
            request.answer(503, UNAVAILABLE, 1);
        } else if (jobCache.archiveManifest() == null) {
            then.notFound();
        } else {
            archiveReader.tell(
                    new ArchiveReader.FindJob(id, found -> tell(new JobLocated(request, id, tries, found, then))));
        }
    }

    private void jobLocated(JobLocated message) {
        Request request = message.request();
        if (message.found() instanceof ArchiveReader.Archived archived) {
            message.then().foundInArchive(archived.outcome());
        } else if (message.found() instanceof ArchiveReader.NotArchived) {
            message.then().notFound();
        } else if (message.found() instanceof ArchiveReader.ManifestOutdated && message.tries() < MAX_ATTEMPTS) {
            refresher.afterRefresh(request, () -> locate(request, message.id(), message.tries() + 1, message.then()));
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    Standing standing(JobOutcome outcome) {
        return outcome.state() == JobState.DONE ? Standing.DONE : Standing.CANCELLED;
    }

    private void tellStatus(Request request, JobCache.Entry entry) {
        JobProgress counts = progress.get(entry.id());
        JobState state = jobCache.state(entry.id());
        boolean done = state == JobState.DONE;
        request.answer(
                200,
                JobCodec.status(
                        entry.id(),
                        standing(entry),
                        done ? entry.record().taskCount() : counts == null ? 0 : counts.finishedTasks(),
                        done || counts == null || state == JobState.CANCELLED ? 0 : counts.runningTasks()));
    }

    Standing standing(JobCache.Entry entry) {
        JobProgress counts = progress.get(entry.id());
        return switch (jobCache.state(entry.id())) {
            case DONE -> Standing.DONE;
            case CANCELLED -> Standing.CANCELLED;
            case OPEN -> counts != null && counts.runningTasks() > 0 ? Standing.RUNNING : Standing.QUEUED;
        };
    }
}
