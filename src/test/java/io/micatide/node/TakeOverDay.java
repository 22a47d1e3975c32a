package io.micatide.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.core.JobSpec;
import io.micatide.core.MachineType;
import io.micatide.core.Micros;
import io.micatide.core.Resources;
import io.micatide.core.Row;
import io.micatide.core.Settings;
import io.micatide.core.StoreKeys;
import io.micatide.core.Team;
import io.micatide.core.Tuning;
import io.micatide.history.Archivist;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.rehearsal.CloudStandIn;
import io.micatide.rehearsal.Gangs;
import io.micatide.rehearsal.RuleChecker;
import io.micatide.rehearsal.StateStandIn;
import io.micatide.rehearsal.VirtualNetwork;
import io.micatide.rehearsal.VirtualTime;
import io.micatide.rehearsal.WorkerStandIn;
import io.micatide.standby.Copy;
import io.micatide.wire.CloudSide;
import io.micatide.wire.Json;
import io.micatide.wire.MalformedException;
import io.micatide.wire.StateCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A short day of the whole service in virtual time: jobs of all forms, and controllers that are killed, stopped, stalled and cut off,
 * drawn from a seed. The rules are held against what workers and users saw, and each picture that a standby brings to a take-over
 * against the store.
 */
final class TakeOverDay {
    static final long LEASE = 10 * Micros.SECOND;
    static final long CANCEL = 30 * Micros.SECOND;
    private static final MachineType TYPE = new MachineType("small", Resources.of(8, 0, 64), 25, 0.5, 0.5, 0.2, Micros.SECOND,
            List.of("a", "b"));

    final VirtualTime time = new VirtualTime();
    final Random random;
    final VirtualNetwork network;
    final RuleChecker checker = new RuleChecker(time, CANCEL + Micros.SECOND);
    final StateStandIn state;
    final List<String> wrong = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final int count;
    int brought;
    private final VirtualTime.Process world = time.new Process();
    private final VirtualTime.Process user = time.new Process();
    private final List<VirtualTime.Process> processes = new ArrayList<>();
    private final List<Controller> controllers = new ArrayList<>();
    private final Map<String, WorkerStandIn> workers = new HashMap<>();
    private final Map<VirtualTime.Process, String> zones = new HashMap<>();
    private final Map<String, byte[]> submitted = new LinkedHashMap<>();
    private final Map<String, String> standing = new LinkedHashMap<>();
    private final Map<String, Integer> replicas = new LinkedHashMap<>();
    private final Gangs gangs;
    private final Copy.Maker copies;
    /** Controllers that run without a standby, as those of a former version do. */
    private final int former;
    private int interactions;
    private int killAt;

    TakeOverDay(long seed, int controllers, int former, Copy.Maker copies) {
        this.random = new Random(seed);
        this.count = controllers;
        this.former = former;
        this.copies = copies;
        this.network = new VirtualNetwork(time, random);
        this.state = new StateStandIn(world, new StateStandIn.Limits(400, 120, 16 * 1024, 16));
        this.gangs = new Gangs(world, settings(0));
        CloudStandIn cloud = new CloudStandIn(world, List.of(TYPE), 24, this::up, name -> {
            if (workers.containsKey(name)) {
                workers.remove(name).delete();
            }
        });
        network.listen("state", world, state::handle);
        network.listen("cloud", world, cloud::handle);
        network.observe(new VirtualNetwork.Observer() {
            @Override
            public void leaves(VirtualTime.Process from, String endpoint, String path) {
                if (killAt > 0 && processes.contains(from) && ++interactions == killAt) {
                    kill(processes.indexOf(from), 3);
                }
            }

            @Override
            public void answers(VirtualTime.Process from, String endpoint, String path) {
                // What is answered was asked before.
            }
        });
        for (int i = 0; i < controllers; i++) {
            processes.add(null);
            this.controllers.add(null);
            boot(i);
        }
        looks();
    }

    private void looks() {
        world.later(() -> {
            checker.look();
            looks();
        }, Micros.SECOND);
    }

    Settings settings(int number) {
        List<Settings.Sibling> siblings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (i != number) {
                siblings.add(new Settings.Sibling("c" + i, i % 2 == 0 ? "a" : "b", "p" + i));
            }
        }
        return new Settings("c" + number, number % 2 == 0 ? "a" : "b", "c" + number, "p" + number, siblings, "cloud", "state",
                List.of("a", "b"), 0, Map.of("blue", new Team("blue", 0, 0, 0, 0)), List.of(), 800 * Micros.MILLISECOND, LEASE,
                30 * Micros.SECOND, 5 * Micros.SECOND, CANCEL, 400, 120, 16 * 1024, 16 * 1024, 16, 20, Micros.SECOND, 0.4, 150, 700);
    }

    private void boot(int number) {
        VirtualTime.Process process = time.new Process();
        processes.set(number, process);
        zones.put(process, number % 2 == 0 ? "a" : "b");
        Settings settings = settings(number);
        Tuning defaults = Tuning.defaults(settings);
        boolean standby = number >= former;
        Controller controller = new Controller(settings, new Tuning(
                standby ? Tuning.leaseWithStandby(settings) : defaults.leaderLeaseMicros(), 60 * Micros.SECOND, true, 4, standby, false),
                process, (endpoint, most) -> network.from(process, endpoint), Archivist::new, copies);
        if (standby) {
            controller.witness((prefix, rows) -> compare(number, prefix, rows));
        }
        controllers.set(number, controller);
        network.listen("c" + number, process, controller::handle);
        network.listen("p" + number, process, controller::handlePeer);
        process.execute(controller::start);
    }

    /** Rows that only leaders write stand still between a claim and the new leader's first round. */
    private void compare(int number, String prefix, List<StateCodec.Item> rows) {
        brought++;
        Map<String, String> stored = new TreeMap<>();
        state.values().subMap(prefix, prefix + Character.MAX_VALUE).forEach((key, value) -> stored.put(key, text(key, value)));
        Map<String, String> copied = new TreeMap<>();
        rows.forEach(row -> copied.put(row.key(), row.version() + " " + row.row()));
        if (!stored.equals(copied) && owner().equals("c" + number)) {
            wrong.add("the copy of " + prefix + " on c" + number + " is " + copied + " and the store has " + stored);
        }
    }

    private static String text(String key, StateStandIn.Value value) {
        try {
            return value.stamp() + " " + StateCodec.item(("{\"k\":\"" + key + "\",\"stamp\":" + value.stamp() + ",\"data\":"
                    + new String(value.json(), StandardCharsets.UTF_8) + "}").getBytes(StandardCharsets.UTF_8)).row();
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- failures

    /** Label of the controller that holds the leader row, or "". */
    String owner() {
        StateStandIn.Value row = state.values().get(StoreKeys.LEADER);
        try {
            return row == null ? "" : ((Row.Leader) StateCodec.item(("{\"k\":\"leader\",\"stamp\":1,\"data\":"
                    + new String(row.json(), StandardCharsets.UTF_8) + "}").getBytes(StandardCharsets.UTF_8)).row()).owner();
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    int leader() {
        String owner = owner();
        return owner.isEmpty() ? 0 : Integer.parseInt(owner.substring(1));
    }

    void kill(int number, int seconds) {
        VirtualTime.Process process = processes.get(number);
        if (!process.ended()) {
            log.add(time.now() / 1000 + " kill c" + number);
            process.end();
            network.ended(process);
            time.at(time.now() + seconds * Micros.SECOND, () -> boot(number));
        }
    }

    /** As SIGTERM does: an orderly end of at most two seconds, then the process is gone. */
    void stop(int number, int seconds) {
        VirtualTime.Process process = processes.get(number);
        if (!process.ended()) {
            log.add(time.now() / 1000 + " stop c" + number);
            process.execute(() -> controllers.get(number).end(() -> gone(process, number, seconds)));
            time.at(time.now() + 2 * Micros.SECOND, () -> gone(process, number, seconds));
        }
    }

    private void gone(VirtualTime.Process process, int number, int seconds) {
        if (!process.ended()) {
            process.end();
            network.ended(process);
            time.at(time.now() + seconds * Micros.SECOND, () -> boot(number));
        }
    }

    void stall(int number, int millis) {
        log.add(time.now() / 1000 + " stall c" + number + " " + millis);
        processes.get(number).stall(millis * Micros.MILLISECOND);
    }

    /** Cuts a controller off from some of: the state service, the workers, its siblings. */
    void cut(int number, boolean fromState, boolean fromWorkers, boolean fromPeers, int seconds) {
        log.add(time.now() / 1000 + " cut c" + number + (fromState ? " state" : "") + (fromWorkers ? " workers" : "")
                + (fromPeers ? " peers" : "") + " " + seconds);
        network.cut((from, endpoint) -> {
            boolean own = from == processes.get(number);
            return fromState && own && endpoint.equals("state")
                    || fromWorkers && endpoint.equals("c" + number) && !processes.contains(from) && from != user
                    || fromPeers && (own && endpoint.startsWith("p") || endpoint.equals("p" + number));
        });
        time.at(time.now() + seconds * Micros.SECOND, () -> network.cut((from, endpoint) -> false));
    }

    /** One of the failures that the operators have met, of a controller that leads more often than not. */
    void fail() {
        int number = random.nextInt(3) > 0 ? leader() : random.nextInt(count);
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> kill(number, 1 + random.nextInt(5));
            case 3, 4 -> stop(number, 1 + random.nextInt(4));
            case 5 -> stall(number, 500 + random.nextInt(8_000));
            case 6 -> cut(number, true, false, random.nextBoolean(), 2 + random.nextInt(10));
            case 7 -> cut(number, false, true, random.nextBoolean(), 2 + random.nextInt(10));
            case 8 -> cut(number, false, false, true, 2 + random.nextInt(10));
            default -> {
                state.away(true);
                log.add(time.now() / 1000 + " state away");
                time.at(time.now() + (1 + random.nextInt(6)) * Micros.SECOND, () -> state.away(false));
            }
        }
    }

    /** The controller that makes the so-manieth request from now on is killed with it on its way. */
    void killAtInteraction(int number) {
        interactions = 0;
        killAt = number;
    }

    // ---- workers

    private void up(CloudStandIn.Rented machine) {
        VirtualTime.Process process = time.new Process();
        Map<String, Http> known = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            known.put("c" + i, network.from(process, "c" + i));
        }
        WorkerStandIn worker = new WorkerStandIn(process, settings(0), machine, known, this::described, gangs, checker);
        workers.put(machine.name(), worker);
        worker.start();
    }

    private JobSpec described(String id) {
        byte[] body = submitted.get(id);
        try {
            return body == null ? null : CloudSide.described(("{\"spec\":" + new String(body, StandardCharsets.UTF_8) + "}")
                    .getBytes(StandardCharsets.UTF_8));
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- users

    private Http anyController() {
        return network.from(user, "c" + random.nextInt(count));
    }

    /** Submits a job, again until it is answered. {@code form} as on the wire. */
    void submit(String form, int tasks, double seconds) {
        String id = "wk-" + (1 + submitted.size());
        submitted.put(id, ("{\"nameId\":\"" + id + "\",\"roster\":\"x\",\"crew\":\"blue\",\"form\":\"" + form + "\",\"rank\":\""
                + (form.equals("daemon") ? "high" : "normal") + "\",\"legs\":" + tasks + ",\"cpus\":2.0,\"cards\":0.0,\"memGb\":1.0,"
                + "\"kit\":\"i\",\"sizeGb\":0.1,\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"runtimeS\":" + seconds
                + ",\"halftimeS\":0.0,\"stowS\":0.0}").getBytes(StandardCharsets.UTF_8));
        checker.submits(id, tasks, form.equals("daemon"));
        if (form.equals("daemon")) {
            replicas.put(id, tasks);
        }
        trySubmit(id);
    }

    private void trySubmit(String id) {
        long asked = time.now();
        anyController().post("/v1/jobs", submitted.get(id), 5 * Micros.SECOND, reply -> {
            hear(id, asked, reply);
            if (reply.status() == 200 || reply.status() == 201) {
                user.later(() -> poll(id), 2 * Micros.SECOND);
            } else {
                user.later(() -> trySubmit(id), Micros.SECOND);
            }
        });
    }

    void cancel(String id) {
        checker.cancels(id);
        long asked = time.now();
        anyController().post("/v1/jobs/" + id + "/abort", new byte[0], 5 * Micros.SECOND, reply -> {
            if (reply.status() == 200) {
                hear(id, asked, reply);
                replicas.remove(id);
            } else if (reply.status() != 404) {
                user.later(() -> cancel(id), Micros.SECOND);
            }
        });
    }

    private void poll(String id) {
        long asked = time.now();
        anyController().get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> {
            hear(id, asked, reply);
            if (!"done".equals(standing.get(id)) && !"withdrawn".equals(standing.get(id))) {
                user.later(() -> poll(id), 2 * Micros.SECOND);
            }
        });
    }

    private void hear(String id, long asked, Reply reply) {
        String word = null;
        if (reply.status() == 200 || reply.status() == 201) {
            try {
                JsonNode tree = Json.tree(reply.body());
                word = tree.path("standing").asText(null);
            } catch (MalformedException e) {
                wrong.add(id + " was answered with " + e.getMessage());
            }
        }
        if (word != null && !"done".equals(standing.get(id)) && !"withdrawn".equals(standing.get(id))) {
            standing.put(id, word);
        }
        checker.heard(id, asked, reply.status(), word);
    }

    /** Jobs of all forms, and some cancellations. */
    void traffic() {
        switch (random.nextInt(6)) {
            case 0 -> submit("daemon", 1 + random.nextInt(4), 0);
            case 1 -> submit("group", 2 + random.nextInt(3), 2 + random.nextInt(4));
            case 2 -> {
                if (!submitted.isEmpty() && random.nextBoolean()) {
                    cancel(List.copyOf(submitted.keySet()).get(random.nextInt(submitted.size())));
                }
            }
            default -> submit("batch", 1 + random.nextInt(12), 1 + random.nextInt(5));
        }
    }

    /** Everything is well again and has had its time: what is left undone? */
    List<String> verdict() {
        List<String> all = new ArrayList<>(checker.broken());
        all.addAll(wrong);
        standing.forEach((id, word) -> {
            if (!replicas.containsKey(id) && !word.equals("done") && !word.equals("withdrawn")) {
                all.add(id + " is still " + word);
            }
        });
        replicas.forEach((id, tasks) -> {
            if (checker.running(id) != tasks) {
                all.add(id + " has " + checker.running(id) + " of " + tasks + " replicas");
            }
        });
        return all;
    }
}
