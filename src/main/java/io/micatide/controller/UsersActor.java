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

    record Load() implements Message {}

    record Ask(Request request) implements Message {}

    record RefreshDue() implements Message {}

    /** A page of the full read; {@code after} null for the first. */
    record PageRead(Reply reply, String after) implements Message {}

    record PageDue(String after) implements Message {}

    record ChangesRead(Reply reply, long askedMicros) implements Message {}

    record Submitted(Reply reply, Submissions.Submission submission, StoredRecord.JobRecord row) implements Message {}

    record Cancelled(Reply reply, Request request, StoredRecord.JobRecord row, String id, int tries)
            implements Message {}

    /** What the archive says of a job that the copy does not hold. */
    record Located(Request request, String id, int tries, ArchiveReader.Found found, JobLookup then)
            implements Message {}

    /** What the archive says of one of the jobs that a submission needs. */
    record NeedLocated(Submissions.Needs needs, String id, ArchiveReader.Found found) implements Message {}

    /** What the archive says of a job whose row a former version wrote. */
    record DoubtSettled(String id, ArchiveReader.Found found) implements Message {}

    record DoubtsDue() implements Message {}

    /** The leader on this controller wants to know what may be archived. */
    record FindEnded(long fencingToken) implements Message {}

    /** The leader on this controller wants every change from now on, beginning with all open jobs. */
    record Follow(LeaderActor leader) implements Message {}

    record Unfollow() implements Message {}

    record Progress(boolean first, List<JobProgress> jobs) implements Message {}

    record TypesKnown(List<MachineType> types) implements Message {}

    record TypesRead(Reply reply) implements Message {}

    record TypesAnswered(Reply reply) implements Message {}

    /** This controller follows the leader: the copy is kept fresh though nobody asks. */
    record KeepUp() implements Message {}

    /** Whether what is stored is of a form that this version does not know. */
    record Blocked(boolean now) implements Message {}

    /** Who is told of the switches, of each read and of cancellations, whether it leads or not. */
    record BelongsTo(LeaderActor leader) implements Message {}

    /** What do users of this controller know of cancellations by rows above this revision? */
    record Testify(long revision, Consumer<CancellationDigest> then) implements Message {}

    /** A sibling knows these jobs as cancelled; {@code then}, if any, is told to the leader's actor once they are taken in. */
    record TakeIn(List<CancellationDigest.Cancelled> jobs, LeaderMessage then) implements Message {}

    /** This process ends: users are sent to the others. */
    record Closing() implements Message {}

    /** A final row that the leader on this controller knows to be stored. */
    record Stored(String id, StoredRecord.JobRecord row, long version) implements Message {}

    record LayoutKnown(long version, StoredRecord.Layout layout) implements Message {}

    /** How often a question that met a change of the archive is tried again before its user is asked to come back. */
    static final int MOST_TRIES = 4;

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
    private final StoreClient state;
    private final CloudClient cloud;
    private final JobCache directory = new JobCache();
    private Map<String, JobProgress> progress = new HashMap<>();
    private List<MachineType> types = List.of();
    private final ApiDescription description;
    private final ArchiveReader history;
    private final JobCacheRefresher rows;
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
        this.state = state;
        this.cloud = cloud;
        this.description = description;
        this.history = new ArchiveReader(loop, state);
        this.rows = new JobCacheRefresher(this, settings, state, history, directory);
        this.submissions = new Submissions(this, settings, state, history, directory, rows);
        this.cancellations = new Cancellations(this, settings, state, directory, rows);
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Ask m) {
            ask(m.request());
        } else if (message instanceof ChangesRead m) {
            rows.changesRead(m);
        } else if (message instanceof RefreshDue) {
            rows.refreshDue();
        } else if (message instanceof Submitted m) {
            submissions.submitted(m);
        } else if (message instanceof Cancelled m) {
            cancellations.cancelled(m);
        } else if (message instanceof Located m) {
            located(m);
        } else if (message instanceof NeedLocated m) {
            submissions.needLocated(m);
        } else if (message instanceof FindEnded m) {
            rows.findEnded(m.fencingToken());
        } else if (message instanceof DoubtSettled m) {
            rows.doubtSettled(m);
        } else if (message instanceof DoubtsDue) {
            rows.settleDoubts();
        } else if (message instanceof Load) {
            rows.readPage(null);
            if (!typesAsked) {
                // Once: it repeats by itself until the types are known.
                typesAsked = true;
                state.read(StoreKeys.MACHINE_TYPES, answer(TypesRead::new));
            }
        } else if (message instanceof PageRead m) {
            rows.pageRead(m);
        } else if (message instanceof PageDue m) {
            rows.readPage(m.after());
        } else if (message instanceof Progress m) {
            if (m.first()) {
                progress = new HashMap<>();
            }
            m.jobs().forEach(job -> progress.put(job.id(), job));
        } else if (message instanceof Follow m) {
            rows.follow(m.leader());
        } else if (message instanceof Unfollow) {
            rows.unfollow();
        } else if (message instanceof KeepUp) {
            rows.keepUp();
        } else if (message instanceof Blocked m) {
            blocked = m.now();
        } else if (message instanceof BelongsTo m) {
            rows.belongsTo(m.leader());
            cancellations.belongsTo(m.leader());
        } else if (message instanceof Testify m) {
            m.then().accept(directory.cancellationLog().digestSince(m.revision(), label, now() - startedMicros));
        } else if (message instanceof TakeIn m) {
            rows.takeIn(m.jobs(), m.then());
        } else if (message instanceof Closing) {
            closing = true;
        } else if (message instanceof Stored m) {
            rows.apply(m.id(), m.row(), m.version());
        } else if (message instanceof LayoutKnown m) {
            rows.layoutKnown(m.version(), m.layout());
        } else if (message instanceof TypesKnown m) {
            types = m.types();
        } else if (message instanceof TypesRead m) {
            typesRead(m.reply());
        } else if (message instanceof TypesAnswered m) {
            typesAnswered(m.reply());
        }
    }

    // ---- machine types

    private void typesRead(Reply reply) {
        if (!types.isEmpty()) {
            return;
        }
        if (reply.ok()) {
            try {
                types = ((StoredRecord.MachineTypes)
                                StoreCodec.item(reply.body()).row())
                        .types();
                return;
            } catch (MalformedException e) {
                log.error("stored machine types: {}", e.getMessage());
            }
        }
        cloud.types(answer(TypesAnswered::new));
    }

    private void typesAnswered(Reply reply) {
        if (!types.isEmpty()) {
            return;
        }
        if (reply.ok()) {
            try {
                types = CloudCodec.types(reply.body());
                return;
            } catch (MalformedException e) {
                log.error("machine types: {}", e.getMessage());
            }
        }
        // Another controller may have stored them meanwhile.
        tellLater(new TypesRead(new Reply(0, new byte[0], false)), 2 * Micros.SECOND);
    }

    // ---- what its parts ask of it

    JobCache directory() {
        return directory;
    }

    List<MachineType> types() {
        return types;
    }

    /** A job is over or archived: its counts are not shown any more. */
    void over(String id) {
        progress.remove(id);
    }

    /** No answer of the state service; the user is sent away only if another controller can do better. */
    void unavailable(Request request) {
        if (state.reach().isPartitionedAlone(now())) {
            request.answerAndClose(503, UNAVAILABLE, 1);
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    void notWritten(Request request, Reply reply) {
        if (reply.status() == 429) {
            request.answer(429, BUSY, 1);
        } else {
            unavailable(request);
        }
    }

    // ---- users

    private void ask(Request request) {
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
            } else if (state.reach().isPartitionedAlone(now())) {
                request.answer(503, UNAVAILABLE, 1);
            } else if (rows.loaded() && !types.isEmpty()) {
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
                route(request, "GET", () -> poll(request, rest));
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
        } else if (!rows.loaded()) {
            request.answer(503, STARTING, 1);
        } else {
            then.run();
        }
    }

    private void poll(Request request, String id) {
        JobCache.Entry entry = directory.get(id);
        if (entry != null && directory.state(id).isFinal()) {
            tellStatus(request, entry);
        } else if (!JobCodec.isId(id)) {
            request.answer(404, NO_SUCH_JOB);
        } else {
            rows.whenFresh(
                    request,
                    () -> locate(request, id, 0, new JobLookup() {
                        @Override
                        public void inCopy() {
                            tellStatus(request, directory.get(id));
                        }

                        @Override
                        public void archived(JobOutcome outcome) {
                            request.answer(
                                    200,
                                    JobCodec.status(
                                            id,
                                            standing(outcome),
                                            outcome.state() == JobState.DONE ? outcome.tasks() : 0,
                                            0));
                        }

                        @Override
                        public void nowhere() {
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
        if (directory.get(id) != null) {
            then.inCopy();
        } else if (directory.isUnverified(id)) {
            request.answer(503, UNAVAILABLE, 1);
        } else if (directory.archiveManifest() == null) {
            then.nowhere();
        } else {
            history.tell(new ArchiveReader.Find(id, found -> tell(new Located(request, id, tries, found, then))));
        }
    }

    private void located(Located message) {
        Request request = message.request();
        if (message.found() instanceof ArchiveReader.Archived archived) {
            message.then().archived(archived.outcome());
        } else if (message.found() instanceof ArchiveReader.Nowhere) {
            message.then().nowhere();
        } else if (message.found() instanceof ArchiveReader.Moved && message.tries() < MOST_TRIES) {
            rows.whenFresh(request, () -> locate(request, message.id(), message.tries() + 1, message.then()));
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    Standing standing(JobOutcome outcome) {
        return outcome.state() == JobState.DONE ? Standing.DONE : Standing.CANCELLED;
    }

    private void tellStatus(Request request, JobCache.Entry entry) {
        JobProgress counts = progress.get(entry.id());
        JobState state = directory.state(entry.id());
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
        return switch (directory.state(entry.id())) {
            case DONE -> Standing.DONE;
            case CANCELLED -> Standing.CANCELLED;
            case OPEN -> counts != null && counts.runningTasks() > 0 ? Standing.RUNNING : Standing.QUEUED;
        };
    }
}
