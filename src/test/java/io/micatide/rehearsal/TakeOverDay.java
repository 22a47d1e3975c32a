package io.micatide.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.core.JobSpec;
import io.micatide.core.MachineType;
import io.micatide.core.Micros;
import io.micatide.core.Resources;
import io.micatide.core.Settings;
import io.micatide.core.Team;
import io.micatide.core.Tuning;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.node.Controller;
import io.micatide.rollout.Abilities;
import io.micatide.standby.Copy;
import io.micatide.wire.Json;
import io.micatide.wire.MalformedException;
import io.micatide.wire.StateCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * A short day of the whole service in virtual time: jobs of all forms, and controllers that are killed, stopped, stalled and cut off,
 * drawn from a seed. The rules are held against what workers and users saw, and each picture that a standby brings to a take-over
 * against the store.
 */
final class TakeOverDay implements Deployment.Plan {
    /** Of a worker. */
    private final long reportMicros;
    private final long leaseMicros;
    static final long CANCEL = 30 * Micros.SECOND;
    private static final int MACHINES = 24;
    private static final MachineType TYPE = new MachineType("small", Resources.of(8, 0, 64), 25, 0.5, 0.5, 0.2, Micros.SECOND,
            List.of("a", "b"));

    private static final MachineType LARGE = new MachineType("large", Resources.of(16, 0, 128), 25, 0.5, 1.1, 0.4, Micros.SECOND,
            List.of("b"));

    private final Map<String, Team> teams;
    /** What the state service takes a second. */
    private final int requests;
    private final int changes;
    final Random random;
    final int count;
    final Deployment deployment;
    final VirtualTime time;
    final RuleChecker checker;
    final List<String> wrong = new ArrayList<>();
    int brought;
    private final Map<String, byte[]> submitted = new LinkedHashMap<>();
    private final Map<String, String> standing = new LinkedHashMap<>();
    private final Map<String, Integer> replicas = new LinkedHashMap<>();
    private final Copy.Maker copies;
    /** Controllers that run without a standby, as those of a former version do. */
    private final int former;
    /** What the version of each controller can do, from its next start on. */
    private final Abilities[] versions;
    /** How often the state service was asked for each path. */
    final Map<String, Integer> asked = new TreeMap<>();
    private final Map<String, String> toldLast = new HashMap<>();
    private boolean closeLooks;
    private double cancelAtEndShare;
    private int odd;
    private int interactions;
    private int killAt;
    private int killTimes;
    private long killBackMicros;

    TakeOverDay(long seed, int controllers, int former, Copy.Maker copies) {
        this(seed, controllers, former, copies, 800 * Micros.MILLISECOND, 10 * Micros.SECOND);
    }

    /** With workers that report each so many microseconds and have a lease of so many. */
    TakeOverDay(long seed, int controllers, int former, Copy.Maker copies, long reportMicros, long leaseMicros) {
        this(seed, controllers, former, copies, reportMicros, leaseMicros, Abilities.ALL);
    }

    /** With controllers that all begin with this version. */
    TakeOverDay(long seed, int controllers, int former, Copy.Maker copies, long reportMicros, long leaseMicros, Abilities version) {
        this(seed, controllers, former, copies, reportMicros, leaseMicros, version, Map.of("blue", new Team("blue", 0, 0, 0, 0)), List.of(TYPE), 400, 120);
    }

    /** With a state service that takes so many requests and changes a second. */
    static TakeOverDay paced(long seed, int controllers, int requests, int changes) {
        return new TakeOverDay(seed, controllers, 0, Copy::new, 800 * Micros.MILLISECOND, 10 * Micros.SECOND, Abilities.ALL,
                Map.of("blue", new Team("blue", 0, 0, 0, 0)), List.of(TYPE), requests, changes);
    }

    /**
     * Three teams with guarantees and tight limits, two types of machines that boot within 0.2 to 2 s or the ordinary time, and a cloud
     * whose lists are up to 8 s old; jobs ask for types, zones, one zone or several.
     */
    static TakeOverDay tight(long seed, int controllers, int former) {
        TakeOverDay day = new TakeOverDay(seed, controllers, former, Copy::new, 800 * Micros.MILLISECOND, 10 * Micros.SECOND, Abilities.ALL,
                Map.of("blue", new Team("blue", 24_000, 0, 40_000, 0), "red", new Team("red", 16_000, 0, 32_000, 0),
                        "green", new Team("green", 8_000, 0, 24_000, 0)), List.of(TYPE, LARGE), 400, 120);
        day.listLags(8 * Micros.SECOND);
        return day;
    }

    /** Lists of the cloud are up to so old from now on; machines boot within 0.2 to 2 s or the ordinary time. */
    private void listLags(long most) {
        deployment.cloudLags(() -> (long) (random.nextDouble() * most),
                () -> random.nextInt(3) == 0 ? 5 * Micros.SECOND : (200 + random.nextInt(1_800)) * Micros.MILLISECOND);
    }

    private TakeOverDay(long seed, int controllers, int former, Copy.Maker copies, long reportMicros, long leaseMicros, Abilities version,
            Map<String, Team> teams, List<MachineType> types, int requests, int changes) {
        this.requests = requests;
        this.changes = changes;
        this.teams = new TreeMap<>(teams);
        this.versions = new Abilities[controllers];
        this.lateRowsMicros = new long[controllers];
        Arrays.fill(versions, version);
        this.reportMicros = reportMicros;
        this.leaseMicros = leaseMicros;
        this.random = new Random(seed);
        this.count = controllers;
        this.former = former;
        this.copies = copies;
        RuleChecker[] rules = new RuleChecker[1];
        this.deployment = new Deployment(random, controllers, this, types, MACHINES,
                new StateStandIn.Limits(requests, changes, 16 * 1024, 16), new WorkerStandIn.Witness() {
                    @Override
                    public void started(String task, long attempt, String machine) {
                        rules[0].started(task, attempt, machine);
                    }

                    @Override
                    public void over(String task, long attempt, String machine, io.micatide.core.ExitCause cause) {
                        rules[0].over(task, attempt, machine, cause);
                        if (cause == io.micatide.core.ExitCause.DONE && random.nextDouble() < cancelAtEndShare) {
                            String id = task.substring(0, task.indexOf('/'));
                            at(random.nextInt(1_200) * Micros.MILLISECOND, () -> cancel(id));
                        }
                    }

                    @Override
                    public void taken(JobSpec spec, String task, long attempt, CloudStandIn.Rented machine) {
                        rules[0].taken(spec, task, attempt, machine);
                    }

                    @Override
                    public void released(String task, long attempt, CloudStandIn.Rented machine) {
                        rules[0].released(task, attempt, machine);
                    }
                });
        this.time = deployment.time;
        this.checker = new RuleChecker(time, CANCEL + Micros.SECOND, teams);
        checker.machines(deployment::up);
        rules[0] = checker;
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
        return new Settings("c" + number, number % 2 == 0 ? "a" : "b", "c" + number, "p" + number, siblings, "cloud", "state",
                List.of("a", "b"), 0, teams, List.of(), reportMicros, leaseMicros,
                30 * Micros.SECOND, 5 * Micros.SECOND, CANCEL, requests, changes, 16 * 1024, 16 * 1024, 16, 20,
                teams.size() > 1 ? 4 * Micros.SECOND : Micros.SECOND, 0.4, 150, 700);
    }

    @Override
    public Tuning tuning(int number) {
        boolean standby = number >= former;
        Settings settings = settings(number);
        return new Tuning(standby ? Tuning.leaseWithStandby(settings) : Tuning.defaults(settings).leaderLeaseMicros(),
                60 * Micros.SECOND, true, 4, standby, false, true);
    }

    @Override
    public Copy copy(String prefix, long mostBytes) {
        return copies.make(prefix, mostBytes);
    }

    @Override
    public Abilities abilities(int number) {
        return versions[number];
    }

    /** A controller is replaced by one of another version, after so many microseconds. */
    void replace(int number, Abilities version, long backMicros) {
        versions[number] = version;
        deployment.killFor(number, backMicros);
    }

    /** To a version before the switches their row is a job without a state, and it cannot read on. */
    @Override
    public Http reaches(int number, String endpoint, Http http) {
        Http to = versions[number].registers() || !endpoint.equals("state") ? http : new FormerReader(http);
        return endpoint.equals("state") ? new LateRows(to, () -> lateRowsMicros[number], () -> deployment.process(number)) : to;
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
    private void compare(int number, String prefix, List<StateCodec.Item> rows) {
        brought++;
        Map<String, String> stored = new TreeMap<>();
        deployment.state.values().subMap(prefix, prefix + Character.MAX_VALUE)
                .forEach((key, value) -> stored.put(key, value.stamp() + " " + Deployment.row(key, value)));
        Map<String, String> copied = new TreeMap<>();
        rows.forEach(row -> copied.put(row.key(), row.version() + " " + row.row()));
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
                    at(again * 400 * Micros.MILLISECOND, () -> deployment.killFor(leaders ? deployment.leader() : number, backSoon()));
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

    /** Tasks of these end far apart. */
    final Set<String> apart = new HashSet<>();

    @Override
    public long runs(String job, int index, long estimateMicros) {
        return apart.contains(job) ? estimateMicros * (1 + 4L * index) : estimateMicros;
    }

    /** All troubles are over, and every user asks once more for each job. */
    void calm() {
        checker.calm();
        for (int number = 0; number < count; number++) {
            int each = number;
            submitted.keySet().forEach(id -> askOnce(id, deployment.toController(each)));
        }
    }

    /** What never ends by itself is called off, so that everything else gets its room; true once all is over, within so many seconds. */
    boolean drain(int seconds) {
        replicas.keySet().stream().toList().forEach(this::cancel);
        for (int second = 0; second < seconds; second++) {
            if (standing.keySet().containsAll(submitted.keySet()) && standing.values().stream().allMatch(word -> word.equals("done") || word.equals("withdrawn"))) {
                return true;
            }
            time.run(Micros.SECOND);
        }
        return false;
    }

    private void askOnce(String id, Http controller) {
        checker.asks(id);
        long asked = time.now();
        controller.get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> {
            hear(id, asked, reply);
            if (reply.status() != 200 && reply.status() != 404) {
                deployment.user.later(() -> askOnce(id, controller), 3 * Micros.SECOND);
            }
        });
    }

    // ---- users

    private Http anyController() {
        return deployment.toController(random.nextInt(count));
    }

    /** What a job of a tight day asks for: most of them nothing but their team. */
    private Deployment.Wishes wishes(String form) {
        if (teams.size() == 1) {
            return Deployment.Wishes.NONE;
        }
        String team = List.of("blue", "red", "green").get(random.nextInt(3));
        return switch (random.nextInt(8)) {
            case 0 -> new Deployment.Wishes(team, null, random.nextBoolean() ? "a" : "b", false, false, true);
            case 1 -> new Deployment.Wishes(team, null, null, true, false, random.nextBoolean());
            case 2 -> new Deployment.Wishes(team, null, null, false, true, true);
            case 3 -> new Deployment.Wishes(team, random.nextBoolean() ? "small" : "large", null, false, false, true);
            case 4 -> new Deployment.Wishes(team, null, null, false, false, false);
            default -> new Deployment.Wishes(team, null, null, false, false, true);
        };
    }

    /** Submits a job, again until it is answered. {@code form} as on the wire. */
    void submit(String form, int tasks, double seconds) {
        submit(form, tasks, seconds, wishes(form));
    }

    void submit(String form, int tasks, double seconds, Deployment.Wishes wishes) {
        String id = "wk-" + (1 + submitted.size());
        submitted.put(id, deployment.describe(id, form, tasks, 2.0, seconds, wishes));
        checker.submits(id, tasks, form.equals("daemon"));
        checker.describes(deployment.described(id));
        if (form.equals("daemon")) {
            replicas.put(id, tasks);
        }
        trySubmit(id);
    }

    /** How many jobs users have been told are cancelled. */
    int cancelled() {
        return (int) standing.values().stream().filter("withdrawn"::equals).count();
    }

    String lastJob() {
        return "wk-" + submitted.size();
    }

    private void trySubmit(String id) {
        long asked = time.now();
        anyController().post("/v1/jobs", submitted.get(id), 5 * Micros.SECOND, reply -> {
            hear(id, asked, reply);
            if (reply.status() == 200 || reply.status() == 201) {
                deployment.user.later(() -> poll(id), 2 * Micros.SECOND);
            } else {
                deployment.user.later(() -> trySubmit(id), Micros.SECOND);
            }
        });
    }

    void cancel(String id) {
        cancel(id, this::anyController);
    }

    /** Cancels through the controllers that are given, until one of them confirms it. */
    void cancel(String id, Supplier<Http> controller) {
        checker.cancels(id);
        long asked = time.now();
        controller.get().post("/v1/jobs/" + id + "/abort", new byte[0], 5 * Micros.SECOND, reply -> {
            if (reply.status() == 200) {
                hear(id, asked, reply);
                replicas.remove(id);
            } else if (reply.status() != 404) {
                deployment.user.later(() -> cancel(id, controller), Micros.SECOND);
            }
        });
    }

    private void poll(String id) {
        checker.asks(id);
        long asked = time.now();
        anyController().get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> {
            hear(id, asked, reply);
            if (!"done".equals(standing.get(id)) && !"withdrawn".equals(standing.get(id))) {
                deployment.user.later(() -> poll(id), 2 * Micros.SECOND);
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
        boolean news = word != null && !word.equals(toldLast.put(id, word));
        checker.heard(id, asked, reply.status(), word);
        if (news) {
            lookClosely(id);
        }
    }

    /** The same with small jobs whose tasks end far apart, long tasks, and more that is cancelled. */
    void troubledTraffic() {
        switch (random.nextInt(5)) {
            case 0 -> {
                apart.add("wk-" + (1 + submitted.size()));
                submit("batch", 2 + random.nextInt(2), 1 + random.nextInt(6));
            }
            case 1 -> submit("batch", 1 + random.nextInt(6), 30 + random.nextInt(60));
            case 2 -> {
                if (!submitted.isEmpty()) {
                    cancel(List.copyOf(submitted.keySet()).get(random.nextInt(submitted.size())));
                }
            }
            default -> traffic();
        }
    }

    /** Work for far more than the limits of all teams, long and short, replicas and gangs among it. */
    void fill() {
        for (String team : teams.keySet()) {
            Deployment.Wishes wishes = new Deployment.Wishes(team, null, null, false, false, true);
            submit("batch", 12, 200, wishes);
            submit("batch", 6, 20 + random.nextInt(60), wishes);
            submit("daemon", 3, 0, wishes);
            submit("batch", 8, 3, wishes);
        }
    }

    /**
     * Users call off so many jobs that are on machines, and up to eight of their machines hang for so long.
     *
     * @param hangMillis 0 for not at all
     */
    void cancelNow(int count, int hangMillis) {
        List<String> jobs = new ArrayList<>(submitted.keySet());
        jobs.removeIf(id -> checker.running(id) == 0 || !standing.containsKey(id));
        Collections.shuffle(jobs, random);
        Set<String> hung = new TreeSet<>();
        for (String id : jobs.subList(0, Math.min(count, jobs.size()))) {
            hung.addAll(checker.machinesOf(id));
            at(random.nextInt(200) * Micros.MILLISECOND, () -> cancel(id));
        }
        if (hangMillis > 0) {
            deployment.hang(hung.stream().limit(8).collect(Collectors.toSet()), hangMillis);
        }
    }

    /** Whatever ends is called off at that moment, of that share of the jobs. */
    void cancelAtEnd(double share, int seconds) {
        cancelAtEndShare = share;
        at(seconds * Micros.SECOND, () -> cancelAtEndShare = 0);
    }

    /** For so many seconds. */
    void lookClosely(int seconds) {
        closeLooks = true;
        at(seconds * Micros.SECOND, () -> closeLooks = false);
    }

    /** Users ask all controllers again and again, and repeat the submission there with the same and with other bodies. */
    private void lookClosely(String id) {
        if (!closeLooks) {
            return;
        }
        for (int number = 0; number < count; number++) {
            Http to = deployment.toController(number);
            for (int millis : new int[] {0, 3, 12, 40}) {
                at(millis * Micros.MILLISECOND, () -> {
                    long asked = time.now();
                    to.get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> hear(id, asked, reply));
                });
            }
            at(random.nextInt(30) * Micros.MILLISECOND, () -> repeat(id, to));
        }
    }

    /** A submission that was accepted is sent again, as it was, with another size, or with a field that is wrong. */
    private void repeat(String id, Http to) {
        byte[] body = submitted.get(id);
        String text = new String(body, StandardCharsets.UTF_8);
        byte[] sent = switch (random.nextInt(4)) {
            case 0 -> text.replace("\"cpus\":2.0", "\"cpus\":4000.0").getBytes(StandardCharsets.UTF_8);
            case 1 -> text.replace("\"form\":\"", "\"form\":\"no").getBytes(StandardCharsets.UTF_8);
            default -> body;
        };
        long asked = time.now();
        to.post("/v1/jobs", sent, 5 * Micros.SECOND, reply -> hear(id, asked, reply));
    }

    /** Jobs that lack a field, have one of the wrong type, or fit no machine, zone or limit. */
    void oddRequests() {
        String id = "wk-9" + String.format("%05d", ++odd);
        String text = new String(deployment.describe(id, "batch", 2, 2.0, 5), StandardCharsets.UTF_8);
        String sent = switch (random.nextInt(9)) {
            case 0 -> text.replaceFirst("\"legs\":2,", "");
            case 1 -> text.replaceFirst("\"legs\":2", "\"legs\":\"two\"");
            case 2 -> text.replaceFirst("\"legs\":2", "\"legs\":-2");
            case 3 -> text.replaceFirst("\"cpus\":2.0", "\"cpus\":2000.0");
            case 4 -> text.replaceFirst("\"crew\":\"blue\"", "\"crew\":\"nobody\"");
            case 5 -> text.replaceFirst("\"ground\":null", "\"ground\":\"moon\"");
            case 6 -> text.replaceFirst("\"builds\":null", "\"builds\":[\"g99\"]");
            case 7 -> text.replaceFirst("\"legs\":2", "\"legs\":100001");
            default -> text.substring(0, text.length() - 1);
        };
        checker.submitsInvalid(id);
        long asked = time.now();
        anyController().post("/v1/jobs", sent.getBytes(StandardCharsets.UTF_8), 5 * Micros.SECOND, reply -> hear(id, asked, reply));
        List<String> known = submitted.keySet().stream().filter(standing::containsKey).toList();
        if (!known.isEmpty()) {
            repeat(known.get(random.nextInt(known.size())), anyController());
        }
        List<String> done = known.stream().filter(each -> "done".equals(standing.get(each))).toList();
        if (!done.isEmpty()) {
            cancel(done.get(random.nextInt(done.size())));
        }
    }

    /** One of the troubles that have come since, most often with a change of hands close by. */
    void laterTrouble() {
        int seconds = 3 + random.nextInt(25);
        switch (random.nextInt(9)) {
            case 0 -> deployment.lostAnswers(0.2 + random.nextDouble() * 0.6, seconds, random.nextBoolean());
            case 1 -> deployment.reportsForNext(0.5 + random.nextDouble() * 0.5, 60, random.nextBoolean() ? 0 : random.nextInt(6_000));
            case 2 -> deployment.mute(0.1 + random.nextDouble() * 0.8, seconds);
            case 3, 4 -> cancelNow(1 + random.nextInt(6), random.nextInt(3) == 0 ? 0 : 1_000 + random.nextInt(20_000));
            case 5 -> lookClosely(seconds);
            case 6 -> cancelAtEnd(0.2 + random.nextDouble() * 0.8, seconds);
            case 7 -> {
                for (int each = 0; each < seconds; each++) {
                    at(each * 300 * Micros.MILLISECOND, this::oddRequests);
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
