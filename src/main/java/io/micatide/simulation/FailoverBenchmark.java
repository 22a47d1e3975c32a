package io.micatide.simulation;

import io.micatide.model.ExitCause;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import io.micatide.scheduler.FailoverTimings;
import io.micatide.store.StoreKeys;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;

/**
 * How long a take-over takes, phase by phase, in virtual time with so many machines: the leader is killed, or ended in order, again and
 * again. Virtual processes take no time to compute, so these are the times of messages, leases and reports; what the actors took of this
 * machine's processor is told beside, and what users see in each second: polls of open jobs and submissions through those controllers that
 * a load balancer takes for healthy. Not a test: run it as {@code java -cp target/micatide.jar io.micatide.simulation.FailoverBenchmark
 * on|off TAKEOVERS MACHINES...}, with {@code off} for controllers without a standby.
 */
public final class FailoverBenchmark implements SimulatedCluster.ClusterConfiguration {
    private static final int CONTROLLERS = 5;
    private static final int CPUS = 8;
    private static final int TASKS = 100;
    private static final MachineType TYPE =
            new MachineType("small", Resources.of(CPUS, 0, 64), 25, 0.5, 0.5, 0.2, Micros.SECOND, List.of("a", "b"));
    private static final int FILL_S = 3_000;
    private static final int SETTLE_S = 40;
    private static final int WATCH_S = 15;
    private static final int STEADY_S = 20;
    private static final int POLLS = 40;
    private static final int SUBMISSIONS = 5;
    private static final int SEEN_FROM_S = -2;
    private static final int SEEN_TO_S = 8;
    private static final long STEP_MICROS = 5 * Micros.MILLISECOND;

    private final int machines;
    private final boolean standby;
    private final int[] tasks = new int[1];
    private final SimulatedCluster deployment;
    private final Random random = new Random(7);
    private final Histogram[] latencies = new Histogram[SEEN_TO_S - SEEN_FROM_S];
    private final int[] asked = new int[latencies.length];
    private final int[] answered = new int[latencies.length];
    private int submissions;
    private double longestMillis;
    private final Map<String, Histogram> phases = new LinkedHashMap<>();

    private FailoverBenchmark(int machines, boolean standby) {
        this.machines = machines;
        this.standby = standby;
        this.deployment = new SimulatedCluster(
                new Random(machines),
                CONTROLLERS,
                this,
                List.of(TYPE),
                machines,
                new SimulatedStore.Limits(300, 120, 16 * 1024, 16),
                new SimulatedWorker.Witness() {
                    @Override
                    public void taskStarted(String task, long attempt, String machine) {
                        tasks[0]++;
                    }

                    @Override
                    public void taskEnded(String task, long attempt, String machine, ExitCause cause) {
                        tasks[0]--;
                    }
                });
    }

    @Override
    public Settings settings(int number) {
        List<Settings.Peer> siblings = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            if (i != number) {
                siblings.add(new Settings.Peer("c" + i, zone(i), "p" + i));
            }
        }
        return new Settings(
                "c" + number,
                zone(number),
                "c" + number,
                "p" + number,
                siblings,
                "cloud",
                "state",
                List.of("a", "b"),
                0,
                Map.of("blue", new Team("blue", 0, 0, 0, 0)),
                List.of(),
                3 * Micros.SECOND,
                Micros.ofSeconds(17.5),
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                Micros.ofSeconds(37.5),
                300,
                120,
                16 * 1024,
                16 * 1024,
                16,
                18,
                Micros.SECOND,
                1.5,
                306,
                2_545);
    }

    private static String zone(int controller) {
        return controller % 2 == 0 ? "a" : "b";
    }

    @Override
    public Tuning tuning(int number) {
        Settings settings = settings(number);
        Tuning defaults = Tuning.defaults(settings);
        return new Tuning(
                standby ? Tuning.defaultLeaseWithStandbyMicros(settings) : defaults.leaderLeaseMicros(),
                600 * Micros.SECOND,
                true,
                defaults.archiveBatchSize(),
                standby,
                false,
                false);
    }

    public static void main(String[] args) {
        boolean standby = args[0].equals("on");
        int times = Integer.parseInt(args[1]);
        System.out.println("machines | end | phase | p50 | p90 | max (s)");
        for (int i = 2; i < args.length; i++) {
            int machines = Integer.parseInt(args[i]);
            for (boolean orderly : new boolean[] {false, true}) {
                new FailoverBenchmark(machines, standby).run(times, orderly);
            }
        }
    }

    private void run(int times, boolean orderly) {
        deployment.start();
        deployment.time.run(3 * Micros.SECOND);
        int wanted = machines * CPUS / 2;
        for (int job = 0; job * TASKS < wanted; job++) {
            submit("wk-" + (job + 1), Math.min(TASKS, wanted - job * TASKS));
        }
        int second = 0;
        while (tasks[0] < wanted && second++ < FILL_S) {
            deployment.time.run(Micros.SECOND);
        }
        steady();
        for (int i = 0; i < times; i++) {
            takeOver(orderly);
        }
        String end = orderly ? "stop" : "kill";
        phases.forEach((phase, times1) -> System.out.printf(
                Locale.ROOT,
                "%d | %s | %s | %.3f | %.3f | %.3f%n",
                machines,
                end,
                phase,
                times1.getValueAtPercentile(50) / 1e6,
                times1.getValueAtPercentile(90) / 1e6,
                times1.getMaxValue() / 1e6));
        for (int index = 0; index < latencies.length; index++) {
            System.out.printf(
                    Locale.ROOT,
                    "%d | %s | users in second %d: %d of %d answered, p50 %.3f, p99 %.3f s%n",
                    machines,
                    end,
                    index + SEEN_FROM_S,
                    answered[index],
                    asked[index],
                    latencies[index].getValueAtPercentile(50) / 1e6,
                    latencies[index].getValueAtPercentile(99) / 1e6);
        }
        System.out.printf(
                Locale.ROOT,
                "%d | %s | longest piece of a new leader's work %.1f ms of this machine%n",
                machines,
                end,
                longestMillis);
        System.out.printf(
                Locale.ROOT,
                "%d | %s | tasks before and after: %d, %d on %d machines%n",
                machines,
                end,
                wanted,
                tasks[0],
                deployment.machines());
    }

    private void submit(String id, int count) {
        byte[] body = deployment.describe(id, "batch", count, 2.0, 1_000_000);
        int[] status = new int[1];
        for (int tries = 0; tries < 50 && status[0] != 201; tries++) {
            deployment
                    .toController(tries % CONTROLLERS)
                    .post("/v1/jobs", body, 5 * Micros.SECOND, reply -> status[0] = reply.status());
            deployment.time.run(50 * Micros.MILLISECOND);
        }
    }

    /** What each controller takes of a core of this machine while nothing happens. */
    private void steady() {
        deployment.time.run(SETTLE_S * Micros.SECOND);
        long[] before = busy();
        long requests = deployment.store.requestCount();
        deployment.time.run(STEADY_S * Micros.SECOND);
        long[] after = busy();
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < CONTROLLERS; i++) {
            String what = i == deployment.leader()
                    ? "leads"
                    : deployment.controller(i).isDesignatedStandby() ? "follows" : "waits";
            line.append(String.format(Locale.ROOT, " c%d %s %.2f%%", i, what, (after[i] - before[i]) / 1e7 / STEADY_S));
        }
        System.out.printf(
                Locale.ROOT,
                "%d | steady: of a core%s; %.1f requests a second of the state service%n",
                machines,
                line,
                (deployment.store.requestCount() - requests) / (double) STEADY_S);
    }

    private long[] busy() {
        long[] result = new long[CONTROLLERS];
        for (int i = 0; i < CONTROLLERS; i++) {
            result[i] = deployment.process(i).busyNanos();
        }
        return result;
    }

    private void takeOver(boolean orderly) {
        int former = deployment.leader();
        long fencingToken = stamp();
        long began = deployment.time.now() - SEEN_FROM_S * Micros.SECOND;
        for (int second = SEEN_FROM_S; second < SEEN_TO_S; second++) {
            users(former, began, second);
        }
        deployment.time.run(began - deployment.time.now());
        if (orderly) {
            deployment.faults.shutDownForSeconds(former, 4);
        } else {
            deployment.faults.crashForSeconds(former, 4);
        }
        FailoverTimings times = null;
        long claimed = -1;
        while (deployment.time.now() - began < WATCH_S * Micros.SECOND) {
            deployment.time.run(STEP_MICROS);
            // The former leader itself may claim again, once it is back.
            if (claimed < 0 && stamp() > fencingToken) {
                claimed = deployment.time.now();
            }
            if (claimed >= 0 && times == null) {
                deployment.process(deployment.leader()).longestNanos();
            }
            times = claimed < 0
                    ? null
                    : deployment.controller(deployment.leader()).failoverTimings();
        }
        longestMillis =
                Math.max(longestMillis, deployment.process(deployment.leader()).longestNanos() / 1e6);
        record("end to claim", claimed - began);
        record("claim to rebuilt", times.stateLoadedMicros());
        record("claim to 50% confirmed", times.machinesReconciledMicros(0));
        record("claim to 90% confirmed", times.machinesReconciledMicros(1));
        record("claim to 99% confirmed", times.machinesReconciledMicros(2));
        deployment.time.run(SETTLE_S * Micros.SECOND);
    }

    private long stamp() {
        SimulatedStore.Value row = deployment.store.values().get(StoreKeys.LEADER);
        return row == null ? 0 : row.version();
    }

    /** What users do in a second: spread evenly, each at a controller that is healthy by then. */
    private void users(int former, long began, int second) {
        for (int i = 0; i < POLLS + SUBMISSIONS; i++) {
            boolean poll = i < POLLS;
            long at = began + second * Micros.SECOND + i * Micros.SECOND / (POLLS + SUBMISSIONS);
            deployment.time.at(at, () -> {
                int to = random.nextInt(CONTROLLERS);
                // Two probes have failed by then.
                while (to == former && second >= 1) {
                    to = random.nextInt(CONTROLLERS);
                }
                if (poll) {
                    String job = "wk-" + (1 + random.nextInt(Math.max(1, machines * CPUS / 2 / TASKS)));
                    deployment
                            .toController(to)
                            .get("/v1/jobs/" + job, 2 * Micros.SECOND, reply -> seen(second, at, reply.status()));
                } else {
                    byte[] body = deployment.describe("wk-" + (1_000_000 + ++submissions), "batch", 1, 1.0, 1);
                    deployment
                            .toController(to)
                            .post("/v1/jobs", body, 5 * Micros.SECOND, reply -> seen(second, at, reply.status()));
                }
            });
        }
    }

    private void seen(int second, long at, int status) {
        int index = second - SEEN_FROM_S;
        asked[index]++;
        if (status == 200 || status == 201) {
            answered[index]++;
            if (latencies[index] == null) {
                latencies[index] = new Histogram(3);
            }
            latencies[index].recordValue(Math.max(0, deployment.time.now() - at));
        }
    }

    private void record(String phase, long micros) {
        phases.computeIfAbsent(phase, k -> new Histogram(3)).recordValue(Math.max(0, micros));
    }
}
