package io.micatide.simulation;

import io.micatide.archive.Archiver;
import io.micatide.controller.Controller;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.Capabilities;
import io.micatide.standby.KeyspaceReplica;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * A whole deployment in virtual time: controllers with the real actors, a state service, a cloud, workers, and what can happen to the
 * controllers. Controller i listens as {@code c<i>}, to siblings as {@code p<i>}; settings have to name them so, and the services
 * {@code state} and {@code cloud}. Times in seconds where the name does not say otherwise.
 */
public final class SimulatedCluster {
    /** What an orderly end may take before the process is gone all the same. */
    private static final long END_MICROS = 2 * Micros.SECOND;

    /** How a controller is made: what differs from one rehearsal to another. */
    public interface Plan {
        Settings settings(int controller);

        Tuning tuning(int controller);

        /** The copy that its standby keeps of a prefix. */
        default KeyspaceReplica copy(String prefix, long mostBytes) {
            return new KeyspaceReplica(prefix, mostBytes);
        }

        /** What its version can do. */
        default Capabilities abilities(int controller) {
            return Capabilities.ALL;
        }

        /** How long a task runs. */
        default long runs(String job, int index, long estimateMicros) {
            return estimateMicros;
        }

        /** What a controller reaches an endpoint by. */
        default Http reaches(int controller, String endpoint, Http http) {
            return http;
        }

        /** A controller was started, at the beginning or again. */
        default void started(int number, Controller controller) {}
    }

    public final VirtualTime time = new VirtualTime();
    public final VirtualNetwork network;
    public final SimulatedStore state;
    public final VirtualTime.Process user = time.new Process();
    private final VirtualTime.Process world = time.new Process();
    private final Plan plan;
    private final int count;
    private final SimulatedWorker.Witness witness;
    private final List<VirtualTime.Process> processes = new ArrayList<>();
    private final List<Controller> controllers = new ArrayList<>();
    private final Map<String, SimulatedWorker> workers = new HashMap<>();
    private final Map<String, byte[]> described = new HashMap<>();
    private final List<String> log = new ArrayList<>();
    private final GangRendezvous gangs;
    private final List<VirtualNetwork.Cut> cuts = new ArrayList<>();
    /** How many refusals are in force for each controller. */
    private final Map<Integer, Integer> refused = new HashMap<>();

    private final Map<VirtualTime.Process, String> machineOf = new HashMap<>();
    private final Random random;
    private final SimulatedCloud cloud;
    /** Machines that are up. */
    private final Map<String, SimulatedCloud.Rented> up = new LinkedHashMap<>();

    private final DelayedHeartbeats kept;

    /** @param machines how many the cloud has */
    public SimulatedCluster(
            Random random,
            int controllers,
            Plan plan,
            List<MachineType> types,
            int machines,
            SimulatedStore.Limits limits,
            SimulatedWorker.Witness witness) {
        this.plan = plan;
        this.count = controllers;
        this.random = random;
        this.network = new VirtualNetwork(time, random);
        this.state = new SimulatedStore(world, limits);
        this.kept = new DelayedHeartbeats(
                time, random, this::fencingToken, number -> network.from(world, "c" + number), controllers, this::note);
        this.gangs = new GangRendezvous(world, plan.settings(0));
        this.witness = witness;
        this.cloud = new SimulatedCloud(world, types, machines, this::up, name -> {
            if (workers.containsKey(name)) {
                up.remove(name);
                workers.remove(name).delete();
            }
        });
        network.listen("state", world, state::handle);
        network.listen("cloud", world, cloud::handle);
        network.cut((from, endpoint) -> cuts.stream().anyMatch(each -> each.between(from, endpoint)));
        for (int i = 0; i < controllers; i++) {
            processes.add(null);
            this.controllers.add(null);
        }
    }

    /** Starts all controllers. */
    public void start() {
        for (int i = 0; i < count; i++) {
            boot(i);
        }
    }

    private void boot(int number) {
        VirtualTime.Process process = time.new Process();
        processes.set(number, process);
        Controller controller = new Controller(
                plan.settings(number),
                plan.tuning(number),
                process,
                (endpoint, most) -> plan.reaches(number, endpoint, refusing(number, endpoint, process)),
                Archiver::new,
                plan::copy,
                plan.abilities(number));
        controllers.set(number, controller);
        network.listen("c" + number, process, controller::handle);
        network.listen("p" + number, process, controller::handlePeer);
        plan.started(number, controller);
        process.execute(controller::start);
    }

    // ---- what is known of it

    /** What happened to it so far, with the millisecond at which it did. */
    public List<String> log() {
        return log;
    }

    public int controllers() {
        return count;
    }

    public Controller controller(int number) {
        return controllers.get(number);
    }

    public VirtualTime.Process process(int number) {
        return processes.get(number);
    }

    public int machines() {
        return workers.size();
    }

    /** Machines that are up. */
    public Collection<SimulatedCloud.Rented> up() {
        return up.values();
    }

    /** Machines are gone from one moment to the next, with all that is on them. */
    public void takeAway(Predicate<SimulatedCloud.Rented> which) {
        List<String> names = up.values().stream()
                .filter(which)
                .map(SimulatedCloud.Rented::name)
                .toList();
        note("taken away " + names);
        names.forEach(cloud::delete);
    }

    /** A machine that is up already and that nobody rented. */
    public void standing(MachineType type, String zone) {
        cloud.standing(type, zone, false);
    }

    /** How many machines the cloud has from now on; those that are rented stay. */
    public void capacity(int machines) {
        cloud.capacity(machines);
    }

    /** The cloud's lists are so old from now on, and machines take so long to boot, drawn anew for each; microseconds. */
    public void cloudLags(LongSupplier listMicros, LongSupplier bootMicros) {
        cloud.lags(listMicros, bootMicros);
    }

    /** Label of the controller that holds the leader row, or "". */
    public String owner() {
        SimulatedStore.Value row = state.values().get(StoreKeys.LEADER);
        return row == null ? "" : ((StoredRecord.Leader) row(StoreKeys.LEADER, row)).owner();
    }

    /** Token of that row, 0 if there is none. */
    public long fencingToken() {
        SimulatedStore.Value row = state.values().get(StoreKeys.LEADER);
        return row == null ? 0 : row.stamp();
    }

    /** Number of that controller, 0 if there is none. */
    public int leader() {
        String owner = owner();
        return owner.isEmpty() ? 0 : Integer.parseInt(owner.substring(1));
    }

    /** A stored value as the service reads it. */
    public static StoredRecord row(String key, SimulatedStore.Value value) {
        try {
            return StoreCodec.item(("{\"k\":\"" + key + "\",\"stamp\":" + value.stamp() + ",\"data\":"
                                    + new String(value.json(), StandardCharsets.UTF_8) + "}")
                            .getBytes(StandardCharsets.UTF_8))
                    .record();
        } catch (MalformedException e) {
            throw new IllegalStateException(key, e);
        }
    }

    // ---- what happens to it

    private void note(String what) {
        log.add(time.now() / Micros.MILLISECOND + " " + what);
    }

    /** A process is gone without a word, and comes back. */
    public void kill(int number, int backAfter) {
        killFor(number, backAfter * Micros.SECOND);
    }

    /** The same with the time until it is back in microseconds. */
    public void killFor(int number, long backMicros) {
        if (!processes.get(number).ended()) {
            note("kill c" + number + " for " + backMicros / Micros.MILLISECOND + " ms");
            gone(processes.get(number), number, backMicros);
        }
    }

    /** As SIGTERM does: an orderly end, then the process is gone. */
    public void stop(int number, int backAfter) {
        stopFor(number, backAfter * Micros.SECOND);
    }

    /** The same with the time until it is back in microseconds. */
    public void stopFor(int number, long backMicros) {
        VirtualTime.Process process = processes.get(number);
        if (!process.ended()) {
            note("stop c" + number);
            process.execute(() -> controllers.get(number).end(() -> gone(process, number, backMicros)));
            time.at(time.now() + END_MICROS, () -> gone(process, number, backMicros));
        }
    }

    private void gone(VirtualTime.Process process, int number, long backMicros) {
        if (!process.ended()) {
            process.end();
            network.ended(process);
            time.at(time.now() + backMicros, () -> boot(number));
        }
    }

    public void stall(int number, int millis) {
        note("stall c" + number + " " + millis);
        processes.get(number).stall(millis * Micros.MILLISECOND);
    }

    /** Cuts a controller off from some of: the state service, the workers, its siblings. Cuts may overlap. */
    public void cut(int number, boolean fromState, boolean fromWorkers, boolean fromPeers, int seconds) {
        note("cut c" + number + (fromState ? " state" : "") + (fromWorkers ? " workers" : "")
                + (fromPeers ? " peers" : "") + " " + seconds);
        cutFor(
                (from, endpoint) -> {
                    boolean own = from == processes.get(number);
                    return (fromState && own && endpoint.equals("state"))
                            || (fromWorkers
                                    && endpoint.equals("c" + number)
                                    && !processes.contains(from)
                                    && from != user)
                            || (fromPeers && ((own && endpoint.startsWith("p")) || endpoint.equals("p" + number)));
                },
                seconds);
    }

    /** What crosses it is lost for so many seconds, beside the other cuts that there are. */
    public void cutFor(VirtualNetwork.Cut cut, int seconds) {
        cuts.add(cut);
        time.at(time.now() + seconds * Micros.SECOND, () -> cuts.remove(cut));
    }

    /** The state service answers one controller with 503 for so long, whoever runs in its place; the others are served. */
    public void refuse(int number, int seconds) {
        note("refuse c" + number + " " + seconds);
        refused.merge(number, 1, Integer::sum);
        time.at(time.now() + seconds * Micros.SECOND, () -> refused.merge(number, -1, Integer::sum));
    }

    private Http refusing(int number, String endpoint, VirtualTime.Process process) {
        Http http = network.from(process, endpoint);
        return endpoint.equals("state")
                ? new RefusingHttp(http, () -> refused.getOrDefault(number, 0) > 0, process)
                : http;
    }

    public void stateAway(int seconds) {
        note("state away " + seconds);
        state.away(true);
        time.at(time.now() + seconds * Micros.SECOND, () -> state.away(false));
    }

    /** The state service answers late: each of its answers by up to so long, for so many seconds. */
    public void stateSlow(long mostMicros, int seconds) {
        note("state slow " + mostMicros / Micros.MILLISECOND + " ms " + seconds);
        network.slow("state", mostMicros);
        time.at(time.now() + seconds * Micros.SECOND, () -> network.slow("state", 0));
    }

    /** That share of the controllers' transactions gets no answer and is carried out so much later, after newer ones. */
    public void lateWrites(double share, int leastSeconds, int mostSeconds, int seconds) {
        note("late writes " + share + " of " + leastSeconds + " to " + mostSeconds + " s " + seconds);
        fatesFor(
                (from, endpoint, path) -> path.equals("/txn") && random.nextDouble() < share
                        ? new VirtualNetwork.Fate(between(leastSeconds, mostSeconds), 0, false)
                        : null,
                seconds);
    }

    /**
     * That share of the controllers' transactions is carried out at once, and only the answer is lost: others read what it wrote.
     *
     * @param all whether the same holds for leases of the state service and for what the cloud is asked
     */
    public void lostAnswers(double share, int seconds, boolean all) {
        note("lost answers " + share + " " + seconds + (all ? " of all" : ""));
        fatesFor(
                (from, endpoint, path) ->
                        (path.equals("/txn") || (all && (path.startsWith("/grants") || endpoint.equals("cloud"))))
                                        && random.nextDouble() < share
                                ? new VirtualNetwork.Fate(0, 0, true)
                                : null,
                seconds);
    }

    /**
     * Of that share of the workers' reports a copy is kept, the newest of each machine, until another controller leads: then all of them
     * arrive at every controller at once, and once more within half a second.
     *
     * @param afterMillis how long the next one has led by then
     */
    public void reportsForNext(double share, int seconds, int afterMillis) {
        note("reports for next " + share + " " + seconds + " after " + afterMillis + " ms");
        kept.untilNext(share, time.now() + seconds * Micros.SECOND, afterMillis * Micros.MILLISECOND);
    }

    /** Of that share of the workers' reports a copy arrives again, 2 s to two leases later, at the controller that had it. */
    public void lateReports(double share, int seconds) {
        note("late reports " + share + " " + seconds);
        int most = (int) (2 * plan.settings(0).workerLeaseMicros() / Micros.SECOND);
        fatesFor(
                (from, endpoint, path) -> path.equals("/v1/report") && random.nextDouble() < share
                        ? new VirtualNetwork.Fate(0, between(2, most), false)
                        : null,
                seconds);
    }

    private long between(int leastSeconds, int mostSeconds) {
        return leastSeconds * Micros.SECOND
                + (long) (random.nextDouble() * (mostSeconds - leastSeconds) * Micros.SECOND);
    }

    private void fatesFor(VirtualNetwork.Fates fates, int seconds) {
        network.fates(fates);
        time.at(time.now() + seconds * Micros.SECOND, () -> network.ordinary(fates));
    }

    /** Reports of that share of the machines arrive; answers and direct commands to them are lost. */
    public void deaf(double share, int seconds) {
        Set<String> names = drawn(share);
        note("deaf " + names + " " + seconds);
        fatesFor(
                (from, endpoint, path) ->
                        names.contains(machineOf.getOrDefault(from, "")) ? new VirtualNetwork.Fate(0, 0, true) : null,
                seconds);
        cutFor(
                (from, endpoint) ->
                        endpoint.endsWith(":9000") && names.contains(endpoint.substring(0, endpoint.indexOf(':'))),
                seconds);
    }

    /** That share of the machines reaches no controller; direct commands reach them. */
    public void mute(double share, int seconds) {
        Set<String> names = drawn(share);
        note("mute " + names + " " + seconds);
        cutFor(
                (from, endpoint) -> endpoint.startsWith("c") && names.contains(machineOf.getOrDefault(from, "")),
                seconds);
    }

    /** Controllers reach that share of the machines and these reach no controller, or the other way round: nothing gets through. */
    public void unreachable(double share, int seconds) {
        Set<String> names = drawn(share);
        note("unreachable " + names + " " + seconds);
        cutFor(
                (from, endpoint) -> names.contains(machineOf.getOrDefault(from, ""))
                        || (endpoint.endsWith(":9000") && names.contains(endpoint.substring(0, endpoint.indexOf(':')))),
                seconds);
    }

    /** That share of the machines hangs: what was sent to them is carried out when they go on, what runs on them ends with its lease. */
    public void hang(double share, int millis) {
        hang(drawn(share), millis);
    }

    /** The same for machines that are named. */
    public void hang(Set<String> names, int millis) {
        note("hang " + names + " " + millis);
        machineOf.forEach((process, name) -> {
            if (names.contains(name)) {
                process.stall(millis * Micros.MILLISECOND);
            }
        });
        for (int at = 50; at < millis; at += 50) {
            time.at(
                    time.now() + at * Micros.MILLISECOND,
                    () -> names.stream()
                            .map(workers::get)
                            .filter(Objects::nonNull)
                            .forEach(worker -> worker.endLease(time.now())));
        }
    }

    /** What controllers and the state service answer takes longer by up to so much, for so many seconds. */
    public void slowLinks(long mostMicros, int seconds) {
        note("slow links " + mostMicros / Micros.MILLISECOND + " ms " + seconds);
        List<String> all = new ArrayList<>(List.of("state"));
        for (int i = 0; i < count; i++) {
            all.add("c" + i);
            all.add("p" + i);
        }
        all.forEach(endpoint -> network.slow(endpoint, mostMicros));
        time.at(time.now() + seconds * Micros.SECOND, () -> all.forEach(endpoint -> network.slow(endpoint, 0)));
    }

    private Set<String> drawn(double share) {
        Set<String> names = new TreeSet<>();
        workers.keySet().stream()
                .sorted()
                .filter(name -> random.nextDouble() < share)
                .forEach(names::add);
        return names;
    }

    // ---- workers

    private void up(SimulatedCloud.Rented machine) {
        VirtualTime.Process process = time.new Process();
        Map<String, Http> known = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            known.put("c" + i, kept.through(network.from(process, "c" + i), machine.name()));
        }
        machineOf.put(process, machine.name());
        SimulatedWorker worker =
                new SimulatedWorker(process, plan.settings(0), machine, known, this::spec, gangs, witness);
        network.listen(machine.name() + ":9000", process, worker::handle);
        workers.put(machine.name(), worker);
        up.put(machine.name(), machine);
        worker.runs(plan::runs);
        worker.start();
    }

    private JobSpec spec(String id) {
        byte[] body = described.get(id);
        try {
            return body == null
                    ? null
                    : CloudSideCodec.described(("{\"spec\":" + new String(body, StandardCharsets.UTF_8) + "}")
                            .getBytes(StandardCharsets.UTF_8));
        } catch (MalformedException e) {
            throw new IllegalStateException(id, e);
        }
    }

    // ---- users

    /** A job's body on the wire that asks for nothing more. */
    public byte[] describe(String id, String form, int tasks, double cpus, double seconds) {
        return describe(id, form, tasks, cpus, seconds, JobConstraints.NONE);
    }

    /**
     * A job's body on the wire, which workers know from now on as its user's description.
     *
     * @param form the wire's word
     */
    public byte[] describe(String id, String form, int tasks, double cpus, double seconds, JobConstraints constraints) {
        byte[] body = constraints.body(id, form, tasks, cpus, seconds);
        described.put(id, body);
        return body;
    }

    /** A user's description of a job on the wire, as workers obtain it. */
    public void uploaded(String id, byte[] body) {
        described.put(id, body);
    }

    /** The job as workers know it. */
    public JobSpec described(String id) {
        return spec(id);
    }

    public Http toController(int number) {
        return network.from(user, "c" + number);
    }
}
