package io.micatide.archive;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.controller.Controller;
import io.micatide.model.ExitCause;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.simulation.GangRendezvous;
import io.micatide.simulation.SimulatedCloud;
import io.micatide.simulation.SimulatedStore;
import io.micatide.simulation.SimulatedWorker;
import io.micatide.simulation.VirtualNetwork;
import io.micatide.simulation.VirtualTime;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * A short day of the whole service in virtual time, with small batches so that rows move all the time: users submit, cancel, poll and
 * submit again long after, controllers are killed. What users are told and where tasks run is held against the rules.
 */
public final class ArchiveScenario {
    static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0, 0.5, 0.2, Micros.SECOND, List.of("a", "b"));
    private static final int CONTROLLERS = 3;

    final VirtualTime time = new VirtualTime();
    final Random random;
    final VirtualNetwork network;
    final SimulatedStore state;
    final List<String> broken = new ArrayList<>();
    final List<VirtualTime.Process> processes = new ArrayList<>();
    final Map<String, Job> jobs = new LinkedHashMap<>();
    int kills;
    int interactions;
    /** The interaction with the state service at which its controller is killed; 0: never. */
    int killAt;
    /** Whether what is killed had its request carried out already. */
    boolean killAfterwards;

    private final VirtualTime.Process world = time.new Process();
    private final VirtualTime.Process user = time.new Process();
    private final SimulatedCloud cloud;
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final Map<String, String> running = new HashMap<>();
    private final Set<String> finished = new HashSet<>();
    private final Set<String> unknownAsked = new LinkedHashSet<>();
    private final int changes;
    private final int valueBytes;
    private final Archiver.Maker maker;

    /** What a job's user knows. */
    static final class Job {
        final String id;
        final List<String> needs;
        final int tasks;
        boolean accepted;
        boolean cancelAsked;
        String last;
        String end;

        Job(String id, List<String> needs, int tasks) {
            this.id = id;
            this.needs = needs;
            this.tasks = tasks;
        }
    }

    ArchiveScenario(long seed, int valueBytes, int changes, Archiver.Maker maker) {
        this(seed, valueBytes, changes, maker, true);
    }

    /** A state service, a cloud and a network, and nobody there yet. */
    static ArchiveScenario withoutControllers(long seed, int valueBytes, int changes) {
        return new ArchiveScenario(seed, valueBytes, changes, Archiver::new, false);
    }

    /** An ordinary day from a seed, on a network that the recorder hears. */
    public static void play(long seed, VirtualNetwork.Recorder recorder) {
        ArchiveScenario day = new ArchiveScenario(seed, 2048, 5, Archiver::new);
        day.network.record(recorder);
        day.busy(30);
        day.time.run(30 * Micros.SECOND);
    }

    /** The controllers start with what is stored; users know what they were told by another service. */
    void goesOnAs(ArchiveScenario other) {
        jobs.putAll(other.jobs);
        submitted.putAll(other.submitted);
        finished.addAll(other.finished);
        unknownAsked.addAll(other.unknownAsked);
        for (int i = 0; i < CONTROLLERS; i++) {
            boot(i);
        }
        time.run(5 * Micros.SECOND);
    }

    /** Users submit, cancel and poll for so many seconds while somebody else lets time pass. */
    void later(int seconds) {
        for (int second = 0; second < seconds; second++) {
            user.later(
                    () -> {
                        Job job = submit(1, 1 + random.nextInt(12), List.of());
                        if (random.nextInt(4) == 0) {
                            user.later(() -> cancel(job), random.nextInt(3_000) * Micros.MILLISECOND);
                        }
                        submit(1, 2, List.of(job.id));
                        List<Job> all = List.copyOf(jobs.values());
                        poll(all.get(random.nextInt(all.size())));
                    },
                    second * Micros.SECOND);
        }
    }

    private ArchiveScenario(long seed, int valueBytes, int changes, Archiver.Maker maker, boolean controllers) {
        this.random = new Random(seed);
        this.valueBytes = valueBytes;
        this.changes = changes;
        this.maker = maker;
        network = new VirtualNetwork(time, random);
        state = new SimulatedStore(world, new SimulatedStore.Limits(400, 120, valueBytes, changes));
        cloud = new SimulatedCloud(world, List.of(TYPE), 6, this::up, name -> {
            if (workers.containsKey(name)) {
                workers.remove(name).delete();
            }
        });
        network.listen("state", world, state::handle);
        network.listen("cloud", world, cloud::handle);
        network.observe(new VirtualNetwork.Observer() {
            @Override
            public void leaves(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state") && !killAfterwards) {
                    interaction(from);
                }
            }

            @Override
            public void answers(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state") && killAfterwards) {
                    interaction(from);
                }
            }
        });
        for (int i = 0; i < CONTROLLERS; i++) {
            processes.add(null);
            if (controllers) {
                boot(i);
            }
        }
    }

    private void interaction(VirtualTime.Process from) {
        if (++interactions == killAt && processes.contains(from)) {
            kill(processes.indexOf(from), 1 + random.nextInt(5));
        }
    }

    private Settings settings(int number) {
        Map<String, Team> teams = new LinkedHashMap<>();
        teams.put("blue", new Team("blue", 0, 0, 0, 0));
        List<Settings.Sibling> siblings = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != number) {
                siblings.add(new Settings.Sibling("c" + i, "a", "p" + i));
            }
        }
        return new Settings(
                "c" + number,
                "a",
                "c" + number,
                "p" + number,
                siblings,
                "cloud",
                "state",
                List.of("a", "b"),
                0,
                teams,
                List.of(),
                800 * Micros.MILLISECOND,
                10 * Micros.SECOND,
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                30 * Micros.SECOND,
                400,
                120,
                valueBytes,
                valueBytes,
                changes,
                20,
                Micros.SECOND,
                0.4,
                150,
                700);
    }

    private void boot(int number) {
        VirtualTime.Process process = time.new Process();
        processes.set(number, process);
        Settings settings = settings(number);
        Tuning defaults = Tuning.defaults(settings);
        Controller controller = new Controller(
                settings,
                new Tuning(defaults.leaderLeaseMicros(), 60 * Micros.SECOND, true, 4, false, false, true),
                process,
                (endpoint, most) -> network.from(process, endpoint),
                maker);
        network.listen("c" + number, process, controller::handle);
        network.listen("p" + number, process, controller::handlePeer);
        process.execute(controller::start);
    }

    void kill(int number, int seconds) {
        VirtualTime.Process process = processes.get(number);
        if (process.ended()) {
            return;
        }
        kills++;
        process.end();
        network.ended(process);
        time.at(time.now() + seconds * Micros.SECOND, () -> boot(number));
    }

    // ---- workers

    private void up(SimulatedCloud.Rented machine) {
        Map<String, Http> controllers = new LinkedHashMap<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.put("c" + i, network.from(world, "c" + i));
        }
        SimulatedWorker worker = new SimulatedWorker(
                world,
                settings(0),
                machine,
                controllers,
                this::described,
                new GangRendezvous(world, settings(0)),
                new SimulatedWorker.Witness() {
                    @Override
                    public void started(String task, long attempt, String name) {
                        String other = running.putIfAbsent(task, name);
                        if (other != null) {
                            broken.add("ran_twice " + task + " on " + other + " and " + name);
                        }
                        Job job = jobs.get(task.substring(0, task.indexOf('/')));
                        for (String need : job.needs) {
                            for (int i = 0; i < jobs.get(need).tasks; i++) {
                                if (!finished.contains(need + "/" + i)) {
                                    broken.add("too_early " + task + " before " + need);
                                }
                            }
                        }
                        if (finished.contains(task) && "done".equals(job.end)) {
                            broken.add("ran again " + task);
                        }
                    }

                    @Override
                    public void over(String task, long attempt, String name, ExitCause cause) {
                        running.remove(task, name);
                        if (cause == ExitCause.DONE) {
                            finished.add(task);
                        }
                    }
                });
        workers.put(machine.name(), worker);
        worker.start();
    }

    private final Map<String, byte[]> submitted = new HashMap<>();

    private JobSpec described(String id) {
        byte[] body = submitted.get(id);
        try {
            return body == null
                    ? null
                    : CloudSideCodec.described(("{\"spec\":" + new String(body, StandardCharsets.UTF_8) + "}")
                            .getBytes(StandardCharsets.UTF_8));
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- users

    private Http anyController() {
        return network.from(user, "c" + random.nextInt(CONTROLLERS));
    }

    /** Submits a job, again until it is told; its id is drawn so that ids come in no order. */
    Job submit(int tasks, int tenths, List<String> needs) {
        String id;
        do {
            id = String.format("wk-%06d", random.nextInt(1_000_000));
        } while (jobs.containsKey(id) || unknownAsked.contains(id));
        Job job = describe(id, tasks, tenths, needs);
        trySubmit(job);
        return job;
    }

    /** A job of one short task that nobody submits. */
    Job describe(String id) {
        return describe(id, 1, 5, List.of());
    }

    private Job describe(String id, int tasks, int tenths, List<String> needs) {
        Job job = new Job(id, needs, tasks);
        jobs.put(id, job);
        String awaits = needs.isEmpty() ? "" : ",\"awaits\":[\"" + String.join("\",\"", needs) + "\"]";
        submitted.put(
                id,
                ("{\"nameId\":\"" + id + "\",\"roster\":\"x\",\"crew\":\"blue\",\"form\":\"batch\",\"rank\":\"normal\","
                                + "\"legs\":" + tasks
                                + ",\"cpus\":1.0,\"cards\":0.0,\"memGb\":1.0,\"kit\":\"i\",\"sizeGb\":0.0,\"builds\":null,"
                                + "\"ground\":null,\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"runtimeS\":"
                                + tenths / 10.0
                                + ",\"halftimeS\":0.0,\"stowS\":0.0,\"whistleS\":null" + awaits + "}")
                        .getBytes(StandardCharsets.UTF_8));
        return job;
    }

    /** A row of an open job as a former version puts it: on condition of the row alone. */
    void writeAsFormerVersion(Job job) {
        String row = "{\"state\":\"OPEN\",\"tasks\":" + job.tasks + ",\"submitted\":" + user.wall() + ",\"spec\":"
                + new String(submitted.get(job.id), StandardCharsets.UTF_8) + "}";
        network.from(world, "state")
                .post(
                        "/txn",
                        ("{\"if\":[{\"k\":\"job/" + job.id + "\",\"stamp\":0}],\"writes\":[{\"put\":\"job/" + job.id
                                        + "\",\"data\":" + row + "}]}")
                                .getBytes(StandardCharsets.UTF_8),
                        Micros.SECOND,
                        reply -> {
                            if (!reply.ok()) {
                                throw new IllegalStateException("not written " + reply.status());
                            }
                        });
    }

    /** A row of a job that is over, from before the archive. */
    void presetEnded(Job job) {
        String state = job.end.equals("done") ? "DONE" : "CANCELLED";
        this.state.preset(
                "job/" + job.id,
                ("{\"state\":\"" + state + "\",\"tasks\":" + job.tasks + ",\"submitted\":5}")
                        .getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < job.tasks; i++) {
            finished.add(job.id + "/" + i);
        }
    }

    /** Changes a letter of a packed value. */
    void damage(String key) {
        String text = new String(state.values().get(key).json(), StandardCharsets.UTF_8);
        int at = text.indexOf("packed") + 20;
        char other = text.charAt(at) == 'A' ? 'B' : 'A';
        state.preset(key, (text.substring(0, at) + other + text.substring(at + 1)).getBytes(StandardCharsets.UTF_8));
    }

    /** What a poll of a job is answered with. */
    int status(Job job) {
        int[] status = new int[1];
        anyController().get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> status[0] = reply.status());
        time.run(300 * Micros.MILLISECOND);
        return status[0];
    }

    /** Also long after the job is over. */
    void trySubmit(Job job) {
        boolean before = job.accepted;
        String end = job.end;
        anyController().post("/v1/jobs", submitted.get(job.id), 5 * Micros.SECOND, reply -> {
            if (reply.status() == 200 || reply.status() == 201) {
                job.accepted = true;
                told(job, end, reply);
                if (reply.status() == 201 && before) {
                    broken.add("accepted anew " + job.id);
                }
            } else if (reply.status() == 400 || reply.status() == 422) {
                broken.add((before ? "forgotten " : "refused ") + job.id + " " + reply.status());
            } else {
                user.later(() -> trySubmit(job), Micros.SECOND);
            }
        });
    }

    void cancel(Job job) {
        job.cancelAsked = true;
        boolean accepted = job.accepted;
        String end = job.end;
        anyController().post("/v1/jobs/" + job.id + "/abort", new byte[0], 5 * Micros.SECOND, reply -> {
            if (reply.ok()) {
                told(job, end, reply);
            } else if (reply.status() == 404 && accepted) {
                broken.add("forgotten by abort " + job.id);
            } else if (reply.status() != 404) {
                user.later(() -> cancel(job), Micros.SECOND);
            }
        });
    }

    void poll(Job job) {
        boolean accepted = job.accepted;
        String end = job.end;
        anyController().get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> {
            if (reply.ok()) {
                told(job, end, reply);
            } else if (reply.status() == 404 && accepted) {
                broken.add("forgotten " + job.id + " told before: " + end);
            }
        });
    }

    /** An id that nobody submits. */
    void pollUnknown() {
        String id = String.format("wk-%06d", random.nextInt(1_000_000));
        if (jobs.containsKey(id)) {
            return;
        }
        unknownAsked.add(id);
        anyController().get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> {
            if (reply.ok()) {
                broken.add("invented " + id);
            }
        });
    }

    /** @param endBefore the end that the user had been told when they asked: answers on their way may overtake each other */
    private void told(Job job, String endBefore, Reply reply) {
        JsonNode said;
        try {
            said = Json.tree(reply.body());
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
        String standing = said.path("standing").asText();
        job.last = standing;
        boolean over = standing.equals("done") || standing.equals("withdrawn");
        if ((endBefore != null && !endBefore.equals(standing))
                || (over && job.end != null && !job.end.equals(standing))) {
            broken.add("went_back " + job.id + " from " + job.end + " to " + standing);
        }
        if (over) {
            job.end = standing;
        }
        if (standing.equals("done")) {
            for (int i = 0; i < job.tasks; i++) {
                if (!finished.contains(job.id + "/" + i)) {
                    broken.add("not_done " + job.id + "/" + i);
                }
            }
            if (said.has("done") && said.path("done").asInt() != job.tasks) {
                broken.add("counts " + job.id + " " + said);
            }
        }
        if (standing.equals("withdrawn") && !mayBeWithdrawn(job)) {
            broken.add("withdrawn by nobody " + job.id);
        }
    }

    private boolean mayBeWithdrawn(Job job) {
        return job.cancelAsked || job.needs.stream().anyMatch(need -> mayBeWithdrawn(jobs.get(need)));
    }

    // ---- the day

    /** Everybody does what they do for so long. */
    void busy(int seconds) {
        for (int second = 0; second < seconds; second++) {
            for (int i = random.nextInt(3); i > 0; i--) {
                List<String> needs = new ArrayList<>();
                List<Job> known =
                        jobs.values().stream().filter(job -> job.accepted).toList();
                if (!known.isEmpty() && random.nextInt(4) == 0) {
                    needs.add(known.get(random.nextInt(known.size())).id);
                }
                Job job = submit(1 + random.nextInt(2), 1 + random.nextInt(12), needs);
                if (random.nextInt(5) == 0) {
                    user.later(() -> cancel(job), random.nextInt(4_000) * Micros.MILLISECOND);
                }
            }
            List<Job> all = List.copyOf(jobs.values());
            for (int i = 0; i < 4 && !all.isEmpty(); i++) {
                poll(all.get(random.nextInt(all.size())));
            }
            if (!all.isEmpty() && random.nextInt(2) == 0) {
                trySubmit(all.get(random.nextInt(all.size())));
            }
            pollUnknown();
            time.run(Micros.SECOND);
        }
    }

    /** Until every job is over and told, then once more by every controller. */
    void settle() {
        network.losses(0, 0);
        killAt = 0;
        for (int i = 0; i < 60 && jobs.values().stream().anyMatch(job -> job.end == null); i++) {
            jobs.values().stream().filter(job -> job.end == null).forEach(this::poll);
            time.run(Micros.SECOND);
        }
        time.run(20 * Micros.SECOND);
        for (Job job : jobs.values()) {
            if (job.end == null) {
                broken.add("never over " + job.id + " " + job.last + " " + job.accepted + " needs " + job.needs);
            }
        }
        List<Job> all = new ArrayList<>(jobs.values());
        for (int i = 0; i < CONTROLLERS; i++) {
            for (Job job : all) {
                int number = i;
                network.from(user, "c" + i).get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> {
                    if (reply.ok()) {
                        told(job, job.end, reply);
                    } else {
                        broken.add("c" + number + " does not tell " + job.id + ": " + reply.status());
                    }
                });
                time.run(50 * Micros.MILLISECOND);
            }
        }
        time.run(3 * Micros.SECOND);
    }

    /** What the manifest names is all there and all that is there, and holds what users were told, each job once in rows or runs. */
    void checkStored() throws MalformedException, DamagedSegmentException {
        Map<String, Outcomes> found = new TreeMap<>();
        SimulatedStore.Value manifest = state.values().get(StoreKeys.ARCHIVE_MANIFEST);
        if (manifest == null) {
            broken.add("no archive");
            return;
        }
        Set<String> named = new HashSet<>();
        for (StoredRecord.ArchiveRun run : ((StoredRecord.ArchiveManifest) row(StoreKeys.ARCHIVE_MANIFEST)).runs()) {
            for (int number = 0; number < run.segments(); number++) {
                String key = StoreKeys.segment(run.name(), number);
                named.add(key);
                if (!state.values().containsKey(key)) {
                    broken.add("missing " + key);
                    continue;
                }
                for (ArchivedJob each : SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment) row(key))) {
                    found.computeIfAbsent(each.id(), k -> new Outcomes())
                            .add(each.outcome().state().name());
                }
            }
        }
        int rows = 0;
        for (String key : state.values().keySet()) {
            if (key.startsWith(StoreKeys.ARCHIVE_SEGMENTS) && !named.contains(key)) {
                broken.add("unnamed " + key);
            }
            if (key.startsWith("job/wk-") && key.indexOf('/', 4) < 0) {
                rows++;
                found.computeIfAbsent(key.substring(4), k -> new Outcomes())
                        .add(((StoredRecord.JobRecord) row(key)).state().name());
            }
        }
        for (Job job : jobs.values()) {
            String expected = "done".equals(job.end) ? "[DONE]" : "[CANCELLED]";
            String stored = String.valueOf(found.get(job.id));
            if (job.end != null && !stored.equals(expected)) {
                broken.add("stored " + job.id + " " + stored + " and told " + job.end);
            }
        }
        if (rows > 12) {
            broken.add(rows + " rows are left");
        }
    }

    private static final class Outcomes extends java.util.TreeSet<String> {
        private static final long serialVersionUID = 1L;
    }

    private StoredRecord row(String key) throws MalformedException {
        SimulatedStore.Value value = state.values().get(key);
        return StoreCodec.item(("{\"k\":\"" + key + "\",\"data\":" + new String(value.json(), StandardCharsets.UTF_8)
                                + ",\"stamp\":" + value.stamp() + "}")
                        .getBytes(StandardCharsets.UTF_8))
                .record();
    }
}
