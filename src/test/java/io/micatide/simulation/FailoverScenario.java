package io.micatide.simulation;

import io.micatide.controller.Controller;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import io.micatide.net.Http;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.Capabilities;
import io.micatide.standby.KeyspaceReplica;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A short day of the whole service in virtual time: jobs of all forms, and controllers that are killed, stopped, stalled and cut off,
 * drawn from a seed. The rules are held against what workers and users saw, and each picture that a standby brings to a take-over
 * against the store.
 */
final class FailoverScenario implements SimulatedCluster.ClusterConfiguration {
    /** Of a worker. */
    private final long heartbeatIntervalMicros;

    private final long workerLeaseMicros;
    static final long CANCEL = 30 * Micros.SECOND;
    private static final int MACHINES = 24;
    private static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0.5, 0.5, 0.2, Micros.SECOND, List.of("a", "b"));

    private static final MachineType LARGE =
            new MachineType("large", Resources.of(16, 0, 128), 25, 0.5, 1.1, 0.4, Micros.SECOND, List.of("b"));

    private final Map<String, Team> teams;
    /** What the state service takes a second. */
    private final int requests;

    private final int changes;
    final Random random;
    final int controllers;
    final SimulatedCluster cluster;
    final VirtualTime time;
    final InvariantChecker checker;
    final List<String> otherViolations = new ArrayList<>();
    final SimulatedUsers users;
    int replicasUsed;
    private final KeyspaceReplica.Factory copies;
    /** Controllers that run without a standby, as those of a former version do. */
    private final int formerVersionControllers;
    /** What the version of each controller can do, from its next start on. */
    private final Capabilities[] versions;
    /** How often the state service was asked for each path. */
    final Map<String, Integer> storeRequests = new TreeMap<>();

    private int interactions;
    private int crashAtRequestNumber;
    private int remainingCrashes;
    private long restartDelayMicros;

    FailoverScenario(long seed, int controllers, int former, KeyspaceReplica.Factory copies) {
        this(seed, controllers, former, copies, 800 * Micros.MILLISECOND, 10 * Micros.SECOND);
    }

    /** With workers that report each so many microseconds and have a lease of so many. */
    FailoverScenario(
            long seed,
            int controllers,
            int former,
            KeyspaceReplica.Factory copies,
            long heartbeatIntervalMicros,
            long workerLeaseMicros) {
        this(seed, controllers, former, copies, heartbeatIntervalMicros, workerLeaseMicros, Capabilities.ALL);
    }

    /** With controllers that all begin with this version. */
    FailoverScenario(
            long seed,
            int controllers,
            int former,
            KeyspaceReplica.Factory copies,
            long heartbeatIntervalMicros,
            long workerLeaseMicros,
            Capabilities version) {
        this(
                seed,
                controllers,
                former,
                copies,
                heartbeatIntervalMicros,
                workerLeaseMicros,
                version,
                Map.of("blue", new Team("blue", 0, 0, 0, 0)),
                List.of(TYPE),
                400,
                120);
    }

    /** With a state service that takes so many requests and changes a second. */
    static FailoverScenario withStoreLimits(long seed, int controllers, int requests, int changes) {
        return new FailoverScenario(
                seed,
                controllers,
                0,
                KeyspaceReplica::new,
                800 * Micros.MILLISECOND,
                10 * Micros.SECOND,
                Capabilities.ALL,
                Map.of("blue", new Team("blue", 0, 0, 0, 0)),
                List.of(TYPE),
                requests,
                changes);
    }

    /**
     * Three teams with guarantees and tight limits, two types of machines that boot within 0.2 to 2 s or the ordinary time, and a cloud
     * whose lists are up to 8 s old; jobs ask for types, zones, one zone or several.
     */
    static FailoverScenario atQuota(long seed, int controllers, int former) {
        FailoverScenario day = new FailoverScenario(
                seed,
                controllers,
                former,
                KeyspaceReplica::new,
                800 * Micros.MILLISECOND,
                10 * Micros.SECOND,
                Capabilities.ALL,
                Map.of(
                        "blue",
                        new Team("blue", 24_000, 0, 40_000, 0),
                        "red",
                        new Team("red", 16_000, 0, 32_000, 0),
                        "green",
                        new Team("green", 8_000, 0, 24_000, 0)),
                List.of(TYPE, LARGE),
                400,
                120);
        day.listLags(8 * Micros.SECOND);
        return day;
    }

    /** Lists of the cloud are up to so old from now on; machines boot within 0.2 to 2 s or the ordinary time. */
    private void listLags(long most) {
        cluster.setCloudDelays(
                () -> (long) (random.nextDouble() * most),
                () -> random.nextInt(3) == 0 ? 5 * Micros.SECOND : (200 + random.nextInt(1_800)) * Micros.MILLISECOND);
    }

    private FailoverScenario(
            long seed,
            int controllers,
            int former,
            KeyspaceReplica.Factory copies,
            long heartbeatIntervalMicros,
            long workerLeaseMicros,
            Capabilities version,
            Map<String, Team> teams,
            List<MachineType> types,
            int requests,
            int changes) {
        this.requests = requests;
        this.changes = changes;
        this.teams = new TreeMap<>(teams);
        this.versions = new Capabilities[controllers];
        this.lateRowsMicros = new long[controllers];
        Arrays.fill(versions, version);
        if (teams.size() > 1) {
            // As in production: neither a standby nor the switches.
            Arrays.fill(versions, 0, former, Capabilities.LEGACY);
        }
        this.heartbeatIntervalMicros = heartbeatIntervalMicros;
        this.workerLeaseMicros = workerLeaseMicros;
        this.random = new Random(seed);
        this.controllers = controllers;
        this.formerVersionControllers = former;
        this.copies = copies;
        InvariantChecker[] rules = new InvariantChecker[1];
        this.cluster = new SimulatedCluster(
                random,
                controllers,
                this,
                types,
                MACHINES,
                new SimulatedStore.Limits(requests, changes, 16 * 1024, 16),
                new SimulatedWorker.Witness() {
                    @Override
                    public void taskStarted(String task, long attempt, String machine) {
                        rules[0].taskStarted(task, attempt, machine);
                    }

                    @Override
                    public void taskEnded(
                            String task, long attempt, String machine, io.micatide.model.ExitCause cause) {
                        rules[0].taskEnded(task, attempt, machine, cause);
                        if (cause == io.micatide.model.ExitCause.DONE) {
                            users.ended(task.substring(0, task.indexOf('/')));
                        }
                    }

                    @Override
                    public void startAccepted(
                            JobSpec spec, String task, long attempt, SimulatedCloud.RentedMachine machine) {
                        rules[0].startAccepted(spec, task, attempt, machine);
                    }

                    @Override
                    public void resourcesReleased(String task, long attempt, SimulatedCloud.RentedMachine machine) {
                        rules[0].resourcesReleased(task, attempt, machine);
                    }
                });
        this.time = cluster.time;
        this.checker = new InvariantChecker(time, CANCEL + Micros.SECOND, teams);
        checker.machines(cluster::runningMachines);
        rules[0] = checker;
        this.users = new SimulatedUsers(cluster, checker, random, controllers, teams.size() > 1, otherViolations);
        cluster.network.observe(new VirtualNetwork.Observer() {
            @Override
            public void requestSent(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state")) {
                    storeRequests.merge(path, 1, Integer::sum);
                }
                if (crashAtRequestNumber > 0 && controller(from) >= 0 && ++interactions == crashAtRequestNumber) {
                    if (--remainingCrashes > 0) {
                        interactions = 0;
                    }
                    cluster.faults.crashForMicros(controller(from), restartDelayMicros);
                }
            }

            @Override
            public void responseSent(VirtualTime.Process from, String endpoint, String path) {
                // What is answered was asked before.
            }
        });
        cluster.start();
        scheduleChecks();
    }

    private int controller(VirtualTime.Process process) {
        for (int i = 0; i < controllers; i++) {
            if (cluster.process(i) == process) {
                return i;
            }
        }
        return -1;
    }

    private void scheduleChecks() {
        time.at(time.now() + Micros.SECOND, () -> {
            checker.check();
            scheduleChecks();
        });
    }

    @Override
    public Settings settings(int number) {
        List<Settings.Peer> siblings = new ArrayList<>();
        for (int i = 0; i < controllers; i++) {
            if (i != number) {
                siblings.add(new Settings.Peer("c" + i, i % 2 == 0 ? "a" : "b", "p" + i));
            }
        }
        return new Settings(
                "c" + number,
                number % 2 == 0 ? "a" : "b",
                "c" + number,
                "p" + number,
                siblings,
                "cloud",
                "state",
                List.of("a", "b"),
                0,
                teams,
                List.of(),
                heartbeatIntervalMicros,
                workerLeaseMicros,
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                CANCEL,
                requests,
                changes,
                16 * 1024,
                16 * 1024,
                16,
                20,
                teams.size() > 1 ? 4 * Micros.SECOND : Micros.SECOND,
                0.4,
                150,
                700);
    }

    @Override
    public Tuning tuning(int number) {
        boolean standby = number >= formerVersionControllers;
        Settings settings = settings(number);
        return new Tuning(
                standby
                        ? Tuning.defaultLeaseWithStandbyMicros(settings)
                        : Tuning.defaults(settings).leaderLeaseMicros(),
                60 * Micros.SECOND,
                true,
                4,
                standby,
                false,
                true);
    }

    @Override
    public KeyspaceReplica keyspaceReplica(String prefix, long mostBytes) {
        return copies.create(prefix, mostBytes);
    }

    @Override
    public Capabilities capabilities(int number) {
        return versions[number];
    }

    /** A controller is replaced by one of another version, after so many microseconds. */
    void replace(int number, Capabilities version, long backMicros) {
        versions[number] = version;
        cluster.faults.crashForMicros(number, backMicros);
    }

    /** To a version before the switches their row is a job without a state, and it cannot read on. */
    @Override
    public Http link(int number, String endpoint, Http http) {
        Http to = versions[number].supportsRegistration() || !endpoint.equals("state")
                ? http
                : new FormerVersionReader(http);
        return endpoint.equals("state")
                ? new DelayedChanges(
                        new LimitedResponses(to, () -> maxResponseBytes, () -> tooLargeResponses++),
                        () -> lateRowsMicros[number],
                        () -> cluster.process(number))
                : to;
    }

    /** What a controller takes of one answer of the state service. */
    int maxResponseBytes = Integer.MAX_VALUE;

    /** Number of answers that were larger. */
    int tooLargeResponses;

    /** How much later than it was made this controller hears an answer about changed jobs. */
    final long[] lateRowsMicros;

    @Override
    public void controllerStarted(int number, Controller controller) {
        if (number >= formerVersionControllers) {
            controller.observeReplicaRecords((prefix, rows) -> compareReplica(number, prefix, rows));
        }
    }

    /** Rows that only leaders write stand still between a claim and the new leader's first round. */
    private void compareReplica(int number, String prefix, List<StoreCodec.Item> rows) {
        replicasUsed++;
        Map<String, String> stored = new TreeMap<>();
        cluster.store
                .values()
                .subMap(prefix, prefix + Character.MAX_VALUE)
                .forEach(
                        (key, value) -> stored.put(key, value.version() + " " + SimulatedCluster.recordOf(key, value)));
        Map<String, String> copied = new TreeMap<>();
        rows.forEach(row -> copied.put(row.key(), row.version() + " " + row.record()));
        if (!stored.equals(copied) && cluster.leaderLabel().equals("c" + number)) {
            otherViolations.add(
                    "the copy of " + prefix + " on c" + number + " is " + copied + " and the store has " + stored);
        }
    }

    // ---- failures

    /** One of the failures that the operators have met, of a controller that leads more often than not. */
    void injectFailure() {
        int number = random.nextInt(3) > 0 ? cluster.leader() : random.nextInt(controllers);
        switch (random.nextInt(11)) {
            case 10 ->
                cluster.faults.slowStore((200 + random.nextInt(1_200)) * Micros.MILLISECOND, 2 + random.nextInt(8));
            case 0, 1, 2 -> cluster.faults.crashForSeconds(number, 1 + random.nextInt(5));
            case 3, 4 -> cluster.faults.shutDownForSeconds(number, 1 + random.nextInt(4));
            case 5 -> cluster.faults.pauseForMillis(number, 500 + random.nextInt(8_000));
            case 6 ->
                cluster.faults.partitionController(
                        number, new FaultInjector.Links(true, false, random.nextBoolean()), 2 + random.nextInt(10));
            case 7 ->
                cluster.faults.partitionController(
                        number, new FaultInjector.Links(false, true, random.nextBoolean()), 2 + random.nextInt(10));
            case 8 ->
                cluster.faults.partitionController(
                        number, new FaultInjector.Links(false, false, true), 2 + random.nextInt(10));
            default -> cluster.faults.storeOutage(1 + random.nextInt(6));
        }
    }

    /** The controller that makes the so-manieth request from now on is killed with it on its way. */
    void crashAtRequest(int number) {
        crashAtRequest(number, 1, 3 * Micros.SECOND);
    }

    /** The same so many times, counted anew after each, with processes that are back after so many microseconds. */
    void crashAtRequest(int number, int times, long backMicros) {
        interactions = 0;
        crashAtRequestNumber = number;
        remainingCrashes = times;
        restartDelayMicros = backMicros;
    }

    /** A fraction of a second, the shorter ones as likely as the longer: 1 ms to 1 s. */
    long drawRestartDelay() {
        return (long) (Micros.MILLISECOND * StrictMath.pow(1_000, random.nextDouble()));
    }

    void at(long inMicros, Runnable what) {
        time.at(time.now() + inMicros, what);
    }

    /** Processes that end and are back within a second, as the operators' are: one, all, again and again, in order or not. */
    void injectBriefRestarts() {
        int number = random.nextInt(3) > 0 ? cluster.leader() : random.nextInt(controllers);
        switch (random.nextInt(7)) {
            case 0 -> cluster.faults.crashForMicros(number, drawRestartDelay());
            case 1 -> cluster.faults.shutDownForMicros(number, drawRestartDelay());
            case 2 -> {
                for (int again = 0; again < 3; again++) {
                    at(again * (200 + random.nextInt(1_300)) * Micros.MILLISECOND, () -> {
                        for (int each = 0; each < controllers; each++) {
                            cluster.faults.crashForMicros(each, drawRestartDelay());
                        }
                    });
                }
            }
            case 3 -> {
                boolean leaders = random.nextBoolean();
                for (int again = 0; again < 10; again++) {
                    at(
                            again * 400 * Micros.MILLISECOND,
                            () -> cluster.faults.crashForMicros(
                                    leaders ? cluster.leader() : number, drawRestartDelay()));
                }
            }
            case 4 -> crashAtRequest(1 + random.nextInt(60), 1 + random.nextInt(3), drawRestartDelay());
            case 5 -> {
                cluster.faults.storeOutage(1 + random.nextInt(4));
                for (int each = 0; each < controllers; each++) {
                    int ends = each;
                    at(
                            random.nextInt(4_000) * Micros.MILLISECOND,
                            () -> cluster.faults.crashForMicros(ends, drawRestartDelay()));
                }
            }
            default -> {
                for (int each = 0; each < controllers; each++) {
                    int ends = each;
                    at(
                            each * 500 * Micros.MILLISECOND,
                            () -> cluster.faults.shutDownForMicros(ends, drawRestartDelay()));
                }
            }
        }
    }

    /** One of the troubles that the operators want to see in pairs, most often of the controller that leads. */
    void injectFault() {
        int number = random.nextInt(4) > 0 ? cluster.leader() : random.nextInt(controllers);
        int seconds = 1 + random.nextInt(random.nextInt(4) == 0 ? 50 : 14);
        switch (random.nextInt(17)) {
            case 0 -> cluster.faults.refuseStoreRequests(number, seconds);
            case 1 -> cluster.faults.partitionController(number, new FaultInjector.Links(true, false, true), seconds);
            case 2 ->
                cluster.faults.partitionController(
                        number, new FaultInjector.Links(true, random.nextBoolean(), random.nextBoolean()), seconds);
            case 3 ->
                cluster.faults.partitionController(
                        number, new FaultInjector.Links(false, true, random.nextBoolean()), seconds);
            case 4, 5 -> cluster.faults.storeOutage(seconds);
            case 6 -> cluster.faults.slowStore((200 + random.nextInt(1_500)) * Micros.MILLISECOND, seconds);
            case 7 -> cluster.faults.delayTransactions(0.05 + random.nextDouble() * 0.4, 2, 12, seconds);
            case 8 -> cluster.faults.delayTransactions(0.05 + random.nextDouble() * 0.3, 20, 90, seconds);
            case 9 -> cluster.faults.duplicateHeartbeats(0.1 + random.nextDouble() * 0.5, seconds);
            case 10 -> cluster.faults.dropMessagesToWorkers(0.1 + random.nextDouble() * 0.8, seconds);
            case 11 -> cluster.faults.hangWorkers(0.1 + random.nextDouble() * 0.6, 1_000 + random.nextInt(20_000));
            case 12 -> cluster.faults.partitionWorkers(0.1 + random.nextDouble() * 0.6, seconds);
            case 13 -> cluster.faults.pauseForMillis(number, 500 + random.nextInt(20_000));
            case 14 -> cluster.faults.crashForMicros(number, drawRestartDelay());
            case 15 -> cluster.faults.shutDownForMicros(number, drawRestartDelay());
            default -> {
                for (int each = 0; each < controllers; each++) {
                    int ends = each;
                    at(
                            random.nextInt(3_000) * Micros.MILLISECOND,
                            () -> cluster.faults.crashForMicros(ends, drawRestartDelay()));
                }
            }
        }
    }

    @Override
    public long runtimeMicros(String job, int index, long estimateMicros) {
        return users.skewedJobs.contains(job) ? estimateMicros * (1 + 4L * index) : estimateMicros;
    }

    /** One of the troubles that have come since, most often with a change of hands close by. */
    void injectInteractingFault() {
        int seconds = 3 + random.nextInt(25);
        switch (random.nextInt(9)) {
            case 0 -> loseResponses(0.2 + random.nextDouble() * 0.6, seconds);
            case 1 ->
                cluster.faults.replayHeartbeatsToNextLeader(
                        0.5 + random.nextDouble() * 0.5, 60, random.nextBoolean() ? 0 : random.nextInt(6_000));
            case 2 -> cluster.faults.dropHeartbeats(0.1 + random.nextDouble() * 0.8, seconds);
            case 3, 4 ->
                users.cancelRunningJobs(
                        1 + random.nextInt(6), random.nextInt(3) == 0 ? 0 : 1_000 + random.nextInt(20_000));
            case 5 -> users.pollClosely(seconds);
            case 6 -> users.cancelAsTasksEnd(0.2 + random.nextDouble() * 0.8, seconds);
            case 7 -> {
                for (int each = 0; each < seconds; each++) {
                    at(each * 300 * Micros.MILLISECOND, users::sendUnusualRequests);
                }
            }
            default -> forceFailover();
        }
    }

    private void loseResponses(double share, int seconds) {
        if (random.nextBoolean()) {
            cluster.faults.loseStoreAndCloudResponses(share, seconds);
        } else {
            cluster.faults.loseTransactionResponses(share, seconds);
        }
    }

    /** The leader ends, in order or not, or loses the state service for longer than its lease. */
    void forceFailover() {
        int leader = cluster.leader();
        switch (random.nextInt(4)) {
            case 0 -> cluster.faults.crashForSeconds(leader, 1 + random.nextInt(10));
            case 1 -> cluster.faults.crashForMicros(leader, drawRestartDelay());
            case 2 -> cluster.faults.shutDownForMicros(leader, drawRestartDelay());
            default -> cluster.faults.refuseStoreRequests(leader, 6 + random.nextInt(10));
        }
    }

    /** Everything is well again and has had its time: what is left undone? */
    List<String> violations() {
        List<String> all = new ArrayList<>(checker.violations());
        all.addAll(otherViolations);
        all.addAll(users.unfinishedJobs());
        return all;
    }
}
