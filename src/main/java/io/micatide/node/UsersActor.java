package io.micatide.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.core.Admission;
import io.micatide.core.JobDirectory;
import io.micatide.core.JobProgress;
import io.micatide.core.JobSpec;
import io.micatide.core.JobState;
import io.micatide.core.MachineType;
import io.micatide.core.Micros;
import io.micatide.core.Outcome;
import io.micatide.core.PipelineAdmission;
import io.micatide.core.Row;
import io.micatide.core.Settings;
import io.micatide.core.StoreKeys;
import io.micatide.core.Transaction;
import io.micatide.history.Archivist;
import io.micatide.net.CloudClient;
import io.micatide.net.Request;
import io.micatide.net.Reply;
import io.micatide.net.StateClient;
import io.micatide.wire.CloudCodec;
import io.micatide.wire.Description;
import io.micatide.wire.JobCodec;
import io.micatide.wire.JobCodec.Standing;
import io.micatide.wire.Json;
import io.micatide.wire.MalformedException;
import io.micatide.wire.StateCodec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Answers users, whether this controller leads or not. Owns the copy of the job rows. An answer about an open or
 * unknown job waits for a read of the state service that began after the question, so that no user hears something
 * older than what another node has said; the questions that came in meanwhile share the next read.
 */
final class UsersActor extends Actor<UsersActor.Message> {
    sealed interface Message {
    }

    record Load() implements Message {
    }

    record Ask(Request request) implements Message {
    }

    record RefreshDue() implements Message {
    }

    /** A page of the full read; {@code after} null for the first. */
    record PageRead(Reply reply, String after) implements Message {
    }

    record PageDue(String after) implements Message {
    }

    record ChangesRead(Reply reply, long askedMicros) implements Message {
    }

    record Submitted(Reply reply, Submission submission, Row.JobRow row) implements Message {
    }

    record Cancelled(Reply reply, Request request, Row.JobRow row, String id, int tries) implements Message {
    }

    /** What the archive says of a job that the copy does not hold. */
    record Located(Request request, String id, int tries, HistoryReader.Found found, Place then) implements Message {
    }

    /** What the archive says of one of the jobs that a submission needs. */
    record NeedLocated(Needs needs, String id, HistoryReader.Found found) implements Message {
    }

    /** What the archive says of a job whose row a former version wrote. */
    record DoubtSettled(String id, HistoryReader.Found found) implements Message {
    }

    record DoubtsDue() implements Message {
    }

    /** The leader on this controller wants to know what may be archived. */
    record FindEnded(long token) implements Message {
    }

    /** The leader on this controller wants every change from now on, beginning with all open jobs. */
    record Follow(LeaderActor leader) implements Message {
    }

    record Unfollow() implements Message {
    }

    record Progress(boolean first, List<JobProgress> jobs) implements Message {
    }

    record TypesKnown(List<MachineType> types) implements Message {
    }

    record TypesRead(Reply reply) implements Message {
    }

    record TypesAnswered(Reply reply) implements Message {
    }

    /** This controller follows the leader: the copy is kept fresh though nobody asks. */
    record KeepUp() implements Message {
    }

    /** This process ends: users are sent to the others. */
    record Closing() implements Message {
    }

    /** A final row that the leader on this controller knows to be stored. */
    record Stored(String id, Row.JobRow row, long version) implements Message {
    }

    record LayoutKnown(long version, Row.Layout layout) implements Message {
    }

    /** What to do with a question once the copy is fresh. */
    private interface Question {
        Request request();

        void fresh();
    }

    /** Where a job is. */
    private interface Place {
        /** The copy holds it. */
        void inCopy();

        void archived(Outcome outcome);

        /** It was never accepted, as far as the copy is fresh. */
        void nowhere();
    }

    /**
     * A submission of a job that was neither in the copy nor in the archive.
     *
     * @param historyVersion the manifest by which it was not archived, 0 for none
     * @param tries how often it was refused for a change of the archive or of the mark
     */
    private record Submission(Request request, JobSpec spec, long historyVersion, int tries) {
    }

    /** A submission whose needs are looked up in the archive, one after the other. */
    private record Needs(Submission submission, List<String> left, Map<String, Outcome> archived) {
    }

    /** How often a question that met a change of the archive is tried again before its user is asked to come back. */
    private static final int MOST_TRIES = 4;
    private static final long DOUBTS_MICROS = Micros.SECOND;
    /** What one look at what may be archived gives at most. */
    private static final int MOST_ENDED = 5_000;
    private static final int MOST_WAITING = 400;
    private static final byte[] UNAVAILABLE = Json.error(null, "the state service does not answer");
    private static final byte[] ENDING = Json.error(null, "this controller ends; another one answers");
    private static final byte[] BUSY = Json.error(null, "too many requests");
    private static final byte[] STARTING = Json.error(null, "starting");
    private static final byte[] NO_SUCH_JOB = Json.error(null, "no such job");
    private static final byte[] NO_SUCH_PATH = Json.error(null, "no such path");
    private static final byte[] UPGRADING = Json.error("awaits",
            "awaits: not yet, a controller may still be of a version that does not know it");
    private static final int UPGRADING_RETRY_S = 2;
    private static final byte[] WRONG_METHOD = Json.error(null, "method not allowed");

    private final Settings settings;
    private final StateClient state;
    private final CloudClient cloud;
    private final JobDirectory directory = new JobDirectory();
    private final long refreshEveryMicros;
    private final List<Question> arriving = new ArrayList<>();
    private List<Question> asking = List.of();
    private Map<String, JobProgress> progress = new HashMap<>();
    private List<MachineType> types = List.of();
    private final Description description;
    private final HistoryReader history;
    private final Set<String> doubts = new HashSet<>();
    private LeaderActor leader;
    private boolean followPending;
    private boolean loaded;
    private boolean typesAsked;
    private boolean refreshing;
    private boolean refreshTimer;
    private boolean keepUp;
    private boolean closing;
    private long refreshedMicros;

    /** @param description what is served of the interface itself, null for nothing */
    UsersActor(Loop loop, Settings settings, StateClient state, CloudClient cloud, Description description) {
        super(loop);
        this.settings = settings;
        this.state = state;
        this.cloud = cloud;
        this.description = description;
        this.history = new HistoryReader(loop, state);
        // All controllers together take about a third of the requests for this.
        this.refreshEveryMicros = Math.max(50 * Micros.MILLISECOND,
                Math.round(settings.siblings().size() + 1) * Micros.ofSeconds(3 / settings.stateRate()));
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Ask m) {
            ask(m.request());
        } else if (message instanceof ChangesRead m) {
            changesRead(m);
        } else if (message instanceof RefreshDue) {
            refreshTimer = false;
            refresh();
        } else if (message instanceof Submitted m) {
            submitted(m);
        } else if (message instanceof Cancelled m) {
            cancelled(m);
        } else if (message instanceof Located m) {
            located(m);
        } else if (message instanceof NeedLocated m) {
            needLocated(m);
        } else if (message instanceof FindEnded m) {
            findEnded(m.token());
        } else if (message instanceof DoubtSettled m) {
            doubtSettled(m);
        } else if (message instanceof DoubtsDue) {
            settleDoubts();
        } else if (message instanceof Load) {
            readPage(null);
            if (!typesAsked) {
                // Once: it repeats by itself until the types are known.
                typesAsked = true;
                state.read(StoreKeys.TYPES, answer(TypesRead::new));
            }
        } else if (message instanceof PageRead m) {
            pageRead(m);
        } else if (message instanceof PageDue m) {
            readPage(m.after());
        } else if (message instanceof Progress m) {
            if (m.first()) {
                progress = new HashMap<>();
            }
            m.jobs().forEach(job -> progress.put(job.id(), job));
        } else if (message instanceof Follow m) {
            leader = m.leader();
            followPending = true;
            refresh();
        } else if (message instanceof Unfollow) {
            leader = null;
        } else if (message instanceof KeepUp) {
            keepUp = true;
            refresh();
        } else if (message instanceof Closing) {
            closing = true;
        } else if (message instanceof Stored m) {
            apply(m.id(), m.row(), m.version());
        } else if (message instanceof LayoutKnown m) {
            layoutKnown(m.version(), m.layout());
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
                types = ((Row.Types) StateCodec.item(reply.body()).row()).types();
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

    // ---- the copy

    private void readPage(String after) {
        state.list(StoreKeys.JOBS, after, answer(r -> new PageRead(r, after)));
    }

    private void pageRead(PageRead message) {
        Reply reply = message.reply();
        if (!reply.ok()) {
            // The same page: with as many rows as use up the rate, a read that began anew would never end.
            tellLater(new PageDue(message.after()), 300 * Micros.MILLISECOND);
            return;
        }
        try {
            StateCodec.Items page = StateCodec.page(reply.body());
            if (message.after() == null) {
                directory.restartAt(page.revision());
            }
            String last = null;
            for (StateCodec.Item item : page.items()) {
                apply(item);
                last = item.key();
            }
            if (page.more()) {
                readPage(last);
            } else {
                loaded = true;
                directory.readWhole();
                settleDoubts();
                log.info("job rows loaded, {} open", directory.open().size());
                refresh();
            }
        } catch (MalformedException e) {
            log.error("job rows: {}", e.getMessage());
            tellLater(new Load(), Micros.SECOND);
        }
    }

    private void apply(StateCodec.Item item) {
        String name = item.key().substring(StoreKeys.JOBS.length());
        if (item.row() == null) {
            if (name.indexOf('/') < 0) {
                directory.removed(name, item.version());
                progress.remove(name);
            }
        } else if (item.row() instanceof Row.History manifest) {
            historyKnown(item.version(), manifest);
        } else if (item.row() instanceof Row.JobRow row) {
            apply(name, row, item.version());
        } else if (item.row() instanceof Row.Needs needs) {
            int slash = name.indexOf('/');
            changed(directory.applyNeeds(name.substring(0, slash), Integer.parseInt(
                    name.substring(name.lastIndexOf('/') + 1)), needs.names()));
        } else if (item.row() instanceof Row.Layout layout) {
            layoutKnown(item.version(), layout);
        }
    }

    private void historyKnown(long version, Row.History manifest) {
        directory.historyKnown(version, manifest);
        history.tell(new HistoryReader.Manifest(manifest));
        if (leader != null) {
            leader.tell(new LeaderActor.HistorySeen(version, manifest));
        }
    }

    private void layoutKnown(long version, Row.Layout layout) {
        directory.layoutMarked(version, layout);
        if (leader != null) {
            leader.tell(new LeaderActor.LayoutSeen(version, layout));
        }
    }

    private void apply(String id, Row.JobRow row, long version) {
        changed(directory.apply(id, row, version));
    }

    private void changed(List<String> ids) {
        for (String changed : ids) {
            if (directory.state(changed).isFinal()) {
                progress.remove(changed);
            }
            if (leader != null && !followPending) {
                leader.tell(new LeaderActor.JobSeen(directory.view(changed)));
            }
        }
    }

    private void refresh() {
        if (!loaded || refreshing || arriving.isEmpty() && leader == null && !keepUp) {
            return;
        }
        long now = now();
        long wait = refreshedMicros + refreshEveryMicros - now;
        if (wait > 0 && !followPending) {
            if (!refreshTimer) {
                refreshTimer = true;
                tellLater(new RefreshDue(), wait);
            }
            return;
        }
        refreshedMicros = now;
        refreshing = true;
        keepUp = false;
        asking = new ArrayList<>(arriving);
        arriving.clear();
        state.changes(StoreKeys.JOBS, directory.revision(), answer(r -> new ChangesRead(r, now)));
    }

    private void changesRead(ChangesRead message) {
        refreshing = false;
        List<Question> asked = asking;
        asking = List.of();
        Reply reply = message.reply();
        boolean fresh = false;
        if (reply.ok()) {
            try {
                StateCodec.Items changes = StateCodec.changes(reply.body());
                // In the order in which they were made: a row may come and go between two reads.
                changes.items().stream().sorted(Comparator.comparingLong(StateCodec.Item::version)).forEach(this::apply);
                directory.upTo(changes.revision());
                settleDoubts();
                fresh = true;
            } catch (MalformedException e) {
                log.error("changes of jobs: {}", e.getMessage());
            }
        } else if (reply.status() == 410) {
            loaded = false;
            tell(new Load());
        }
        if (fresh) {
            if (leader != null) {
                if (followPending) {
                    followPending = false;
                    if (directory.layoutVersion() > 0) {
                        leader.tell(new LeaderActor.LayoutSeen(directory.layoutVersion(), directory.layout()));
                    }
                    if (directory.history() != null) {
                        leader.tell(new LeaderActor.HistorySeen(directory.historyVersion(), directory.history()));
                    }
                    leader.tell(new LeaderActor.JobsSeen(directory.openAndCancelled()));
                }
                leader.tell(new LeaderActor.StateFresh(message.askedMicros()));
            }
            asked.forEach(Question::fresh);
        } else {
            asked.forEach(question -> unavailable(question.request()));
        }
        refresh();
    }

    /** No answer of the state service; the user is sent away only if another controller can do better. */
    private void unavailable(Request request) {
        if (state.reach().lostAlone(now())) {
            request.answerAndClose(503, UNAVAILABLE, 1);
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    private void notWritten(Request request, Reply reply) {
        if (reply.status() == 429) {
            request.answer(429, BUSY, 1);
        } else {
            unavailable(request);
        }
    }

    private void whenFresh(Request request, Runnable then) {
        if (arriving.size() >= MOST_WAITING) {
            request.answer(429, BUSY, 2);
            return;
        }
        arriving.add(new Question() {
            @Override
            public Request request() {
                return request;
            }

            @Override
            public void fresh() {
                then.run();
            }
        });
        refresh();
    }

    // ---- users

    private void ask(Request request) {
        if (closing) {
            request.answerAndClose(503, ENDING, 1);
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
            } else if (state.reach().lostAlone(now())) {
                request.answer(503, UNAVAILABLE, 1);
            } else if (loaded && !types.isEmpty()) {
                request.answer(200, "{\"status\":\"ok\"}".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            } else {
                request.answer(503, STARTING, 1);
            }
            return;
        }
        if (path.equals(Description.PATH) && description != null) {
            if (request.method().equals("GET")) {
                request.answer(200, description.bytes());
            } else {
                request.answer(405, WRONG_METHOD);
            }
        } else if (path.equals("/v1/jobs")) {
            route(request, "POST", () -> submit(request));
        } else if (path.startsWith("/v1/jobs/")) {
            String rest = path.substring("/v1/jobs/".length());
            if (rest.endsWith("/abort") && rest.indexOf('/') == rest.length() - 6) {
                String id = rest.substring(0, rest.length() - 6);
                route(request, "POST", () -> cancel(request, id, 0));
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
        } else if (!loaded) {
            request.answer(503, STARTING, 1);
        } else {
            then.run();
        }
    }

    private void poll(Request request, String id) {
        JobDirectory.Entry entry = directory.get(id);
        if (entry != null && directory.state(id).isFinal()) {
            tellStatus(request, entry);
        } else if (!JobCodec.isId(id)) {
            request.answer(404, NO_SUCH_JOB);
        } else {
            whenFresh(request, () -> locate(request, id, 0, new Place() {
                @Override
                public void inCopy() {
                    tellStatus(request, directory.get(id));
                }

                @Override
                public void archived(Outcome outcome) {
                    request.answer(200, JobCodec.status(id, standing(outcome),
                            outcome.state() == JobState.DONE ? outcome.tasks() : 0, 0));
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
    private void locate(Request request, String id, int tries, Place then) {
        if (directory.get(id) != null) {
            then.inCopy();
        } else if (directory.isDoubtful(id)) {
            request.answer(503, UNAVAILABLE, 1);
        } else if (directory.history() == null) {
            then.nowhere();
        } else {
            history.tell(new HistoryReader.Find(id, found -> tell(new Located(request, id, tries, found, then))));
        }
    }

    private void located(Located message) {
        Request request = message.request();
        if (message.found() instanceof HistoryReader.Archived archived) {
            message.then().archived(archived.outcome());
        } else if (message.found() instanceof HistoryReader.Nowhere) {
            message.then().nowhere();
        } else if (message.found() instanceof HistoryReader.Moved && message.tries() < MOST_TRIES) {
            whenFresh(request, () -> locate(request, message.id(), message.tries() + 1, message.then()));
        } else {
            request.answer(503, UNAVAILABLE, 1);
        }
    }

    private static Standing standing(Outcome outcome) {
        return outcome.state() == JobState.DONE ? Standing.DONE : Standing.CANCELLED;
    }

    /** Rows of a former version may be of jobs that were archived long ago: nothing of them is told or started before that is known. */
    private void settleDoubts() {
        for (JobDirectory.Entry entry : directory.doubtful()) {
            if (doubts.add(entry.id())) {
                history.tell(new HistoryReader.Find(entry.id(), found -> tell(new DoubtSettled(entry.id(), found))));
            }
        }
    }

    private void doubtSettled(DoubtSettled message) {
        doubts.remove(message.id());
        if (message.found() instanceof HistoryReader.Archived) {
            log.warn("{} has a row again although it is archived: a former version wrote it; it will go", message.id());
            directory.ghost(message.id());
        } else if (message.found() instanceof HistoryReader.Nowhere) {
            changed(directory.sound(message.id()));
        } else {
            tellLater(new DoubtsDue(), DOUBTS_MICROS);
        }
    }

    private void findEnded(long token) {
        if (leader == null || !loaded || directory.ended().isEmpty() && directory.ghosts().isEmpty()) {
            return;
        }
        Set<String> needed = directory.needed();
        List<Archivist.Ended> result = new ArrayList<>();
        for (JobDirectory.Entry entry : directory.ended()) {
            if (result.size() >= MOST_ENDED) {
                break;
            }
            if (!needed.contains(entry.id())) {
                result.add(new Archivist.Ended(entry.id(), entry.version(), Outcome.of(entry.row()),
                        directory.furtherRows(entry.id())));
            }
        }
        directory.ghosts().forEach((id, version) -> result.add(new Archivist.Ended(id, version, null, 0)));
        leader.tell(new TermMessage.EndedFound(token, result, directory.historyVersion()));
    }

    private void tellStatus(Request request, JobDirectory.Entry entry) {
        JobProgress counts = progress.get(entry.id());
        JobState state = directory.state(entry.id());
        boolean done = state == JobState.DONE;
        request.answer(200, JobCodec.status(entry.id(), standing(entry),
                done ? entry.row().tasks() : counts == null ? 0 : counts.done(),
                done || counts == null || state == JobState.CANCELLED ? 0 : counts.running()));
    }

    private Standing standing(JobDirectory.Entry entry) {
        JobProgress counts = progress.get(entry.id());
        return switch (directory.state(entry.id())) {
            case DONE -> Standing.DONE;
            case CANCELLED -> Standing.CANCELLED;
            case OPEN -> counts != null && counts.running() > 0 ? Standing.RUNNING : Standing.QUEUED;
        };
    }

    private void submit(Request request) {
        JsonNode body;
        String id;
        try {
            body = Json.tree(request.body());
            id = JobCodec.id(body);
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
            return;
        }
        submit(request, body, id, 0);
    }

    private void submit(Request request, JsonNode body, String id, int tries) {
        if (directory.get(id) != null) {
            answerKnown(request, id);
            return;
        }
        JobSpec spec;
        try {
            spec = JobCodec.spec(body);
        } catch (MalformedException e) {
            refuse(request, id, 400, Json.error(e.field(), e.getMessage()));
            return;
        }
        if (types.isEmpty()) {
            refuse(request, id, 503, Json.error(null, "the machine types are not known yet"));
            return;
        }
        String refusal = Admission.refusal(spec, settings.teams(), settings.zones(), types);
        if (refusal != null) {
            refuse(request, id, 422, Json.error(null, refusal));
            return;
        }
        // The copy may be old, and may get newer while the archive is asked: what is written holds only by the manifest that was asked.
        long version = directory.historyVersion();
        locate(request, id, 0, new Accepted(request, id) {
            @Override
            public void nowhere() {
                Submission submission = new Submission(request, spec, version, tries);
                if (spec.needs().isEmpty()) {
                    put(submission, new Row.JobRow(JobState.OPEN, spec, wall(), spec.tasks()));
                } else {
                    submitDependent(submission);
                }
            }
        });
    }

    /** A submission of a job that was accepted before gets 200 and how it stands. */
    private abstract class Accepted implements Place {
        private final Request request;
        private final String id;

        Accepted(Request request, String id) {
            this.request = request;
            this.id = id;
        }

        @Override
        public void inCopy() {
            request.answer(200, JobCodec.accepted(id, standing(directory.get(id))));
        }

        @Override
        public void archived(Outcome outcome) {
            request.answer(200, JobCodec.accepted(id, standing(outcome)));
        }
    }

    /**
     * A job that needs others. A name that this copy does not have may have been accepted elsewhere just now, so nothing is
     * said of it before a read that began after the submission.
     */
    private void submitDependent(Submission submission) {
        Request request = submission.request();
        JobSpec spec = submission.spec();
        PipelineAdmission admission = PipelineAdmission.of(spec, directory);
        if (admission instanceof PipelineAdmission.Accepted accepted) {
            put(submission, accepted.row(wall()));
            return;
        }
        whenFresh(request, () -> {
            if (directory.get(spec.id()) != null) {
                request.answer(200, JobCodec.accepted(spec.id(), standing(directory.get(spec.id()))));
                return;
            }
            List<String> left = new ArrayList<>();
            for (String need : spec.needs()) {
                if (directory.history() != null && directory.get(need) == null) {
                    left.add(need);
                }
            }
            lookUpNeeds(new Needs(submission, left, new HashMap<>()));
        });
    }

    private void lookUpNeeds(Needs needs) {
        if (!needs.left().isEmpty()) {
            String next = needs.left().remove(needs.left().size() - 1);
            history.tell(new HistoryReader.Find(next, found -> tell(new NeedLocated(needs, next, found))));
            return;
        }
        Request request = needs.submission().request();
        PipelineAdmission now = PipelineAdmission.of(needs.submission().spec(), directory, needs.archived());
        if (now instanceof PipelineAdmission.Accepted accepted) {
            put(needs.submission(), accepted.row(wall()));
        } else if (now instanceof PipelineAdmission.Refused refused) {
            request.answer(422, Json.error("awaits", refused.reason()));
        } else {
            request.answer(503, UPGRADING, UPGRADING_RETRY_S);
        }
    }

    private void needLocated(NeedLocated message) {
        Needs needs = message.needs();
        if (message.found() instanceof HistoryReader.Archived archived) {
            needs.archived().put(message.id(), archived.outcome());
            lookUpNeeds(needs);
        } else if (message.found() instanceof HistoryReader.Nowhere) {
            lookUpNeeds(needs);
        } else if (message.found() instanceof HistoryReader.Moved) {
            again(needs.submission());
        } else {
            needs.submission().request().answer(503, UNAVAILABLE, 1);
        }
    }

    private void put(Submission submission, Row.JobRow unchecked) {
        Request request = submission.request();
        String id = submission.spec().id();
        Row.JobRow row = unchecked.asChecked(submission.historyVersion() > 0);
        // Should the archive change meanwhile, or should this arrive minutes late, it is refused.
        List<Transaction.Compare> conditions = new ArrayList<>(List.of(new Transaction.Compare(StoreKeys.job(id), 0),
                new Transaction.Compare(StoreKeys.HISTORY, submission.historyVersion())));
        if (row.spec() != null && !row.spec().needs().isEmpty()) {
            // A leader of the former version would start it at once.
            conditions.add(new Transaction.Compare(StoreKeys.LAYOUT, directory.layoutVersion()));
        }
        // What the state service would refuse each time is refused here, or the user would try again for nothing.
        List<Transaction.Write> rows = StateCodec.jobRows(id, row, settings.writableBytes());
        if (rows == null) {
            refuse(request, id, 400, Json.error("body", "body: is too long to be kept"));
        } else if (rows.size() > settings.transactionOps()) {
            refuse(request, id, 400, Json.error("awaits", "awaits: more names than can be kept with the job"));
        } else {
            state.transaction(new Transaction(conditions, rows), answer(r -> new Submitted(r, submission, row)));
        }
    }

    /** A job that was accepted before gets 200 whatever this copy of it says. */
    private void refuse(Request request, String id, int status, byte[] json) {
        whenFresh(request, () -> locate(request, id, 0, new Accepted(request, id) {
            @Override
            public void nowhere() {
                request.answer(status, json, status == 503 ? 1 : 0);
            }
        }));
    }

    private void answerKnown(Request request, String id) {
        JobDirectory.Entry known = directory.get(id);
        if (known != null && directory.state(id).isFinal()) {
            request.answer(200, JobCodec.accepted(id, standing(known)));
            return;
        }
        whenFresh(request, () -> locate(request, id, 0, new Accepted(request, id) {
            @Override
            public void nowhere() {
                request.answer(503, UNAVAILABLE, 1);
            }
        }));
    }

    private void submitted(Submitted message) {
        String id = message.submission().spec().id();
        Request request = message.submission().request();
        Reply reply = message.reply();
        if (reply.ok()) {
            try {
                apply(id, message.row(), StateCodec.revision(reply.body()));
                request.answer(201, JobCodec.accepted(id, standing(directory.get(id))));
                return;
            } catch (MalformedException e) {
                log.error("transaction answer: {}", e.getMessage());
            }
        }
        if (reply.status() == 409) {
            refusedPut(message);
        } else {
            notWritten(request, reply);
        }
    }

    /** It is known by now, or the archive or the mark changed since the copy was read: then it is looked at again. */
    private void refusedPut(Submitted message) {
        Submission submission = message.submission();
        String id = submission.spec().id();
        try {
            if (!StateCodec.failed(message.reply().body()).contains(StoreKeys.job(id))) {
                again(submission);
                return;
            }
        } catch (MalformedException e) {
            log.error("transaction answer: {}", e.getMessage());
        }
        answerKnown(submission.request(), id);
    }

    private void again(Submission submission) {
        Request request = submission.request();
        if (submission.tries() >= MOST_TRIES) {
            request.answer(503, UNAVAILABLE, 1);
            return;
        }
        try {
            JsonNode body = Json.tree(request.body());
            whenFresh(request, () -> submit(request, body, submission.spec().id(), submission.tries() + 1));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private void cancel(Request request, String id, int tries) {
        if (!JobCodec.isId(id)) {
            request.answer(404, NO_SUCH_JOB);
            return;
        }
        JobDirectory.Entry entry = directory.get(id);
        if (entry == null || tries > 0 && !directory.state(id).isFinal()) {
            whenFresh(request, () -> locate(request, id, 0, new Accepted(request, id) {
                @Override
                public void inCopy() {
                    tryCancel(request, id, tries);
                }

                @Override
                public void nowhere() {
                    request.answer(404, NO_SUCH_JOB);
                }
            }));
        } else {
            tryCancel(request, id, tries);
        }
    }

    private void tryCancel(Request request, String id, int tries) {
        JobDirectory.Entry entry = directory.get(id);
        if (directory.state(id).isFinal()) {
            request.answer(200, JobCodec.accepted(id, standing(entry)));
            return;
        }
        Row.JobRow row = cancelledRow(entry);
        Transaction put = new Transaction(List.of(new Transaction.Compare(StoreKeys.job(id), entry.version())),
                List.of(new Transaction.Write(StoreKeys.job(id), row, 0)));
        state.transaction(put, answer(r -> new Cancelled(r, request, row, id, tries)));
    }

    /**
     * The description stays: a leader that finds tasks of the job has to know what they take of their team's limit. What was
     * accepted under a larger limit of the state service keeps only that.
     */
    private Row.JobRow cancelledRow(JobDirectory.Entry entry) {
        Row.JobRow open = entry.row();
        boolean checked = directory.history() != null;
        Row.JobRow whole = new Row.JobRow(JobState.CANCELLED, open.spec().withNeeds(List.of()), open.submittedWall(),
                open.tasks()).asChecked(checked);
        return StateCodec.size(whole) <= settings.writableBytes() ? whole
                : new Row.JobRow(JobState.CANCELLED, open.spec().essentials(), open.submittedWall(), open.tasks())
                        .asChecked(checked);
    }

    private void cancelled(Cancelled message) {
        Reply reply = message.reply();
        String id = message.id();
        if (reply.ok()) {
            try {
                apply(id, message.row(), StateCodec.revision(reply.body()));
                message.request().answer(200, JobCodec.accepted(id, Standing.CANCELLED));
                return;
            } catch (MalformedException e) {
                log.error("transaction answer: {}", e.getMessage());
            }
        }
        if (reply.status() == 409 && message.tries() < 3) {
            cancel(message.request(), id, message.tries() + 1);
        } else {
            notWritten(message.request(), reply);
        }
    }
}
