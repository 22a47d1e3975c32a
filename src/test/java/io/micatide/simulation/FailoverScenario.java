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
final class FailoverScenario implements SimulatedCluster.Plan {
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
    final int count;
    final SimulatedCluster deployment;
    final VirtualTime time;
    final InvariantChecker checker;
    final List<String> wrong = new ArrayList<>();
    final SimulatedUsers users;
    int brought;
    private final KeyspaceReplica.Maker copies;
    /** Controllers that run without a standby, as those of a former version do. */
    private final int former;
    /** What the version of each controller can do, from its next start on. */
    private final Capabilities[] versions;
    /** How often the state service was asked for each path. */
    final Map<String, Integer> asked = new TreeMap<>();

    private int interactions;
    private int killAt;
    private int killTimes;
    private long killBackMicros;

    FailoverScenario(long seed, int controllers, int former, KeyspaceReplica.Maker copies) {
        this(seed, controllers, former, copies, 800 * Micros.MILLISECOND, 10 * Micros.SECOND);
    }

    /** With workers that report each so many microseconds and have a lease of so many. */
    FailoverScenario(
            long seed,
            int controllers,
            int former,
            KeyspaceReplica.Maker copies,
            long heartbeatIntervalMicros,
            long workerLeaseMicros) {
        this(seed, controllers, former, copies, heartbeatIntervalMicros, workerLeaseMicros, Capabilities.ALL);
    }

    /** With controllers that all begin with this version. */
    FailoverScenario(
            long seed,
            int controllers,
            int former,
            KeyspaceReplica.Maker copies,
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
    static FailoverScenario paced(long seed, int controllers, int requests, int changes) {
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
    static FailoverScenario tight(long seed, int controllers, int former) {
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
        deployment.cloudLags(
                () -> (long) (random.nextDouble() * most),
                () -> random.nextInt(3) == 0 ? 5 * Micros.SECOND : (200 + random.nextInt(1_800)) * Micros.MILLISECOND);
    }

    private FailoverScenario(
            long seed,
            int controllers,
            int former,
            KeyspaceReplica.Maker copies,
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
            Arrays.fill(versions, 0, former, Capabilities.FORMER);
        }
        this.heartbeatIntervalMicros = heartbeatIntervalMicros;
        this.workerLeaseMicros = workerLeaseMicros;
        this.random = new Random(seed);
        this.count = controllers;
        this.former = former;
        this.copies = copies;
        InvariantChecker[] rules = new InvariantChecker[1];
        this.deployment = new SimulatedCluster(
                random,
                controllers,
                this,
                types,
                MACHINES,
                new SimulatedStore.Limits(requests, changes, 16 * 1024, 16),
                new SimulatedWorker.Witness() {
                    @Override
                    public void started(String task, long attempt, String machine) {
                        rules[0].started(task, attempt, machine);
                    }

                    @Override
                    public void over(String task, long attempt, String machine, io.micatide.model.ExitCause cause) {
                        rules[0].over(task, attempt, machine, cause);
                        if (cause == io.micatide.model.ExitCause.DONE) {
                            users.ended(task.substring(0, task.indexOf('/')));
                        }
                    }

                    @Override
                    public void taken(JobSpec spec, String task, long attempt, SimulatedCloud.Rented machine) {
                        rules[0].taken(spec, task, attempt, machine);
                    }

                    @Override
                    public void released(String task, long attempt, SimulatedCloud.Rented machine) {
                        rules[0].released(task, attempt, machine);
                    }
                });
        this.time = deployment.time;
        this.checker = new InvariantChecker(time, CANCEL + Micros.SECOND, teams);
        checker.machines(deployment::up);
        rules[0] = checker;
        this.users = new SimulatedUsers(deployment, checker, random, controllers, teams.size() > 1, wrong);
        deployment.network.observe(new VirtualNetwork.Observer() {
            @Override
            public void leaves(VirtualTime.Process from, String endpoint, String path) {
                if (endpoint.equals("state")) {
                    asked.merge(path, 1, Integer::sum);
                }
                if (killAt > 0 && controller(from) >= 0 && ++interactions == killAt) {
                    if (--killTimes > 0) {
                        interactions = 0;
                    }
                    deployment.killFor(controller(from), killBackMicros);
                }
            }

            @Override
            public void answers(VirtualTime.Process from, String endpoint, String path) {
                // What is answered was asked before.
            }
        });
        deployment.start();
        looks();
    }

    private int controller(VirtualTime.Process process) {
        for (int i = 0; i < count; i++) {
            if (deployment.process(i) == process) {
                return i;
            }
        }
        return -1;
    }

    private void looks() {
        time.at(time.now() + Micros.SECOND, () -> {
            checker.look();
            looks();
        });
    }

    @Override
    public Settings settings(int number) {
        List<Settings.Sibling> siblings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (i != number) {
                siblings.add(new Settings.Sibling("c" + i, i % 2 == 0 ? "a" : "b", "p" + i));
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
        boolean standby = number >= former;
        Settings settings = settings(number);
        return new Tuning(
                standby
                        ? Tuning.leaseWithStandby(settings)
                        : Tuning.defaults(settings).leaderLeaseMicros(),
                60 * Micros.SECOND,
                true,
                4,
                standby,
                false,
                true);
    }

    @Override
    public KeyspaceReplica copy(String prefix, long mostBytes) {
        return copies.make(prefix, mostBytes);
    }

    @Override
    public Capabilities abilities(int number) {
        return versions[number];
    }

    /** A controller is replaced by one of another version, after so many microseconds. */
    void replace(int number, Capabilities version, long backMicros) {
        versions[number] = version;
        deployment.killFor(number, backMicros);
    }

    /** To a version before the switches their row is a job without a state, and it cannot read on. */
    @Override
    public Http reaches(int number, String endpoint, Http http) {
        Http to = versions[number].registers() || !endpoint.equals("state") ? http : new FormerVersionReader(http);
        return endpoint.equals("state")
                ? new DelayedChanges(to, () -> lateRowsMicros[number], () -> deployment.process(number))
                : to;
    }

    /** How much later than it was made this controller hears an answer about changed jobs. */
    final long[] lateRowsMicros;

    @Override
    public void started(int number, Controller controller) {
        if (number >= former) {
            controller.witness((prefix, rows) -> compare(number, prefix, rows));
        }
    }

    /** Rows that only leaders write stand still between a claim and the new leader's first round. */
    private void compare(int number, String prefix, List<StoreCodec.Item> rows) {
        brought++;
        Map<String, String> stored = new TreeMap<>();
        deployment
                .state
                .values()
                .subMap(prefix, prefix + Character.MAX_VALUE)
                .forEach((key, value) -> stored.put(key, value.stamp() + " " + SimulatedCluster.row(key, value)));
        Map<String, String> copied = new TreeMap<>();
        rows.forEach(row -> copied.put(row.key(), row.version() + " " + row.record()));
        if (!stored.equals(copied) && deployment.owner().equals("c" + number)) {
            wrong.add("the copy of " + prefix + " on c" + number + " is " + copied + " and the store has " + stored);
        }
    }

    // ---- failures

    /** One of the failures that the operators have met, of a controller that leads more often than not. */
    void fail() {
        int number = random.nextInt(3) > 0 ? deployment.leader() : random.nextInt(count);
        switch (random.nextInt(11)) {
            case 10 -> deployment.stateSlow((200 + random.nextInt(1_200)) * Micros.MILLISECOND, 2 + random.nextInt(8));
            case 0, 1, 2 -> deployment.kill(number, 1 + random.nextInt(5));
            case 3, 4 -> deployment.stop(number, 1 + random.nextInt(4));
            case 5 -> deployment.stall(number, 500 + random.nextInt(8_000));
            case 6 -> deployment.cut(number, true, false, random.nextBoolean(), 2 + random.nextInt(10));
            case 7 -> deployment.cut(number, false, true, random.nextBoolean(), 2 + random.nextInt(10));
            case 8 -> deployment.cut(number, false, false, true, 2 + random.nextInt(10));
            default -> deployment.stateAway(1 + random.nextInt(6));
        }
    }

    /** The controller that makes the so-manieth request from now on is killed with it on its way. */
    void killAtInteraction(int number) {
        killAtInteraction(number, 1, 3 * Micros.SECOND);
    }

    /** The same so many times, counted anew after each, with processes that are back after so many microseconds. */
    void killAtInteraction(int number, int times, long backMicros) {
        interactions = 0;
        killAt = number;
        killTimes = times;
        killBackMicros = backMicros;
    }

    /** A fraction of a second, the shorter ones as likely as the longer: 1 ms to 1 s. */
    long backSoon() {
        return (long) (Micros.MILLISECOND * Math.pow(1_000, random.nextDouble()));
    }

    void at(long inMicros, Runnable what) {
        time.at(time.now() + inMicros, what);
    }

    /** Processes that end and are back within a second, as the operators' are: one, all, again and again, in order or not. */
    void failBriefly() {
        int number = random.nextInt(3) > 0 ? deployment.leader() : random.nextInt(count);
        switch (random.nextInt(7)) {
            case 0 -> deployment.killFor(number, backSoon());
            case 1 -> deployment.stopFor(number, backSoon());
            case 2 -> {
                for (int again = 0; again < 3; again++) {
                    at(again * (200 + random.nextInt(1_300)) * Micros.MILLISECOND, () -> {
                        for (int each = 0; each < count; each++) {
                            deployment.killFor(each, backSoon());
                        }
                    });
                }
            }
            case 3 -> {
                boolean leaders = random.nextBoolean();
                for (int again = 0; again < 10; again++) {
                    at(
                            again * 400 * Micros.MILLISECOND,
                            () -> deployment.killFor(leaders ? deployment.leader() : number, backSoon()));
                }
            }
            case 4 -> killAtInteraction(1 + random.nextInt(60), 1 + random.nextInt(3), backSoon());
            case 5 -> {
                deployment.stateAway(1 + random.nextInt(4));
                for (int each = 0; each < count; each++) {
                    int ends = each;
                    at(random.nextInt(4_000) * Micros.MILLISECOND, () -> deployment.killFor(ends, backSoon()));
                }
            }
            default -> {
                for (int each = 0; each < count; each++) {
                    int ends = each;
                    at(each * 500 * Micros.MILLISECOND, () -> deployment.stopFor(ends, backSoon()));
                }
            }
        }
    }

    /** One of the troubles that the operators want to see in pairs, most often of the controller that leads. */
    void trouble() {
        int number = random.nextInt(4) > 0 ? deployment.leader() : random.nextInt(count);
        int seconds = 1 + random.nextInt(random.nextInt(4) == 0 ? 50 : 14);
        switch (random.nextInt(17)) {
            case 0 -> deployment.refuse(number, seconds);
            case 1 -> deployment.cut(number, true, false, true, seconds);
            case 2 -> deployment.cut(number, true, random.nextBoolean(), random.nextBoolean(), seconds);
            case 3 -> deployment.cut(number, false, true, random.nextBoolean(), seconds);
            case 4, 5 -> deployment.stateAway(seconds);
            case 6 -> deployment.stateSlow((200 + random.nextInt(1_500)) * Micros.MILLISECOND, seconds);
            case 7 -> deployment.lateWrites(0.05 + random.nextDouble() * 0.4, 2, 12, seconds);
            case 8 -> deployment.lateWrites(0.05 + random.nextDouble() * 0.3, 20, 90, seconds);
            case 9 -> deployment.lateReports(0.1 + random.nextDouble() * 0.5, seconds);
            case 10 -> deployment.deaf(0.1 + random.nextDouble() * 0.8, seconds);
            case 11 -> deployment.hang(0.1 + random.nextDouble() * 0.6, 1_000 + random.nextInt(20_000));
            case 12 -> deployment.unreachable(0.1 + random.nextDouble() * 0.6, seconds);
            case 13 -> deployment.stall(number, 500 + random.nextInt(20_000));
            case 14 -> deployment.killFor(number, backSoon());
            case 15 -> deployment.stopFor(number, backSoon());
            default -> {
                for (int each = 0; each < count; each++) {
                    int ends = each;
                    at(random.nextInt(3_000) * Micros.MILLISECOND, () -> deployment.killFor(ends, backSoon()));
                }
            }
        }
    }

    @Override
    public long runs(String job, int index, long estimateMicros) {
        return users.apart.contains(job) ? estimateMicros * (1 + 4L * index) : estimateMicros;
    }

    /** One of the troubles that have come since, most often with a change of hands close by. */
    void laterTrouble() {
        int seconds = 3 + random.nextInt(25);
        switch (random.nextInt(9)) {
            case 0 -> deployment.lostAnswers(0.2 + random.nextDouble() * 0.6, seconds, random.nextBoolean());
            case 1 ->
                deployment.reportsForNext(
                        0.5 + random.nextDouble() * 0.5, 60, random.nextBoolean() ? 0 : random.nextInt(6_000));
            case 2 -> deployment.mute(0.1 + random.nextDouble() * 0.8, seconds);
            case 3, 4 ->
                users.cancelNow(1 + random.nextInt(6), random.nextInt(3) == 0 ? 0 : 1_000 + random.nextInt(20_000));
            case 5 -> users.lookClosely(seconds);
            case 6 -> users.cancelAtEnd(0.2 + random.nextDouble() * 0.8, seconds);
            case 7 -> {
                for (int each = 0; each < seconds; each++) {
                    at(each * 300 * Micros.MILLISECOND, users::oddRequests);
                }
            }
            default -> changeOfHands();
        }
    }

    /** The leader ends, in order or not, or loses the state service for longer than its lease. */
    void changeOfHands() {
        int leader = deployment.leader();
        switch (random.nextInt(4)) {
            case 0 -> deployment.kill(leader, 1 + random.nextInt(10));
            case 1 -> deployment.killFor(leader, backSoon());
            case 2 -> deployment.stopFor(leader, backSoon());
            default -> deployment.refuse(leader, 6 + random.nextInt(10));
        }
    }

    /** Everything is well again and has had its time: what is left undone? */
    List<String> verdict() {
        List<String> all = new ArrayList<>(checker.broken());
        all.addAll(wrong);
        all.addAll(users.undone());
        return all;
    }
}
