package io.micatide.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.Micros;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** The users of a {@link FailoverScenario}: they submit, ask, cancel and try again, and tell the checker what they hear. */
final class SimulatedUsers {
    private static final List<String> TEAMS = List.of("blue", "green", "red");

    private final SimulatedCluster deployment;
    private final VirtualTime time;
    private final InvariantChecker checker;
    private final Random random;
    private final int count;
    private final boolean manyTeams;
    private final List<String> wrong;
    private final Map<String, byte[]> submitted = new LinkedHashMap<>();
    private final Map<String, String> standing = new LinkedHashMap<>();
    private final Map<String, Integer> replicas = new LinkedHashMap<>();
    /** Tasks of these end far apart. */
    final Set<String> skewedJobs = new HashSet<>();

    private final Map<String, String> toldLast = new HashMap<>();
    private boolean closeLooks;
    private int closePolls;
    private double cancelAtEndShare;
    private int odd;

    /**
     * @param count of controllers
     * @param manyTeams whether jobs are of several teams and ask for places
     * @param wrong takes what no rule covers
     */
    SimulatedUsers(
            SimulatedCluster deployment,
            InvariantChecker checker,
            Random random,
            int count,
            boolean manyTeams,
            List<String> wrong) {
        this.deployment = deployment;
        this.time = deployment.time;
        this.checker = checker;
        this.random = random;
        this.count = count;
        this.manyTeams = manyTeams;
        this.wrong = wrong;
    }

    private void at(long inMicros, Runnable what) {
        time.at(time.now() + inMicros, what);
    }

    /** What should be over or run and is not. */
    List<String> unfinishedJobs() {
        List<String> all = new ArrayList<>();
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

    /** All troubles are over, and every user asks once more for each job. */
    void pollAllAfterFaults() {
        checker.faultsEnded();
        for (int number = 0; number < count; number++) {
            int each = number;
            submitted.keySet().forEach(id -> askOnce(id, deployment.toController(each)));
        }
    }

    /** What never ends by itself is called off, so that everything else gets its room; true once all is over, within so many seconds. */
    boolean cancelServicesAndWait(int seconds) {
        replicas.keySet().stream().toList().forEach(this::cancel);
        for (int second = 0; second < seconds; second++) {
            if (standing.keySet().containsAll(submitted.keySet())
                    && standing.values().stream().allMatch(word -> word.equals("done") || word.equals("withdrawn"))) {
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
                deployment.user.executeLater(() -> askOnce(id, controller), 3 * Micros.SECOND);
            }
        });
    }

    private Http anyController() {
        return deployment.toController(random.nextInt(count));
    }

    /** What a job of a tight day asks for: most of them nothing but their team. */
    private JobConstraints constraints(String form) {
        if (!manyTeams) {
            return JobConstraints.NONE;
        }
        String team = TEAMS.get(random.nextInt(TEAMS.size()));
        return switch (random.nextInt(8)) {
            case 0 -> new JobConstraints(team, null, random.nextBoolean() ? "a" : "b", false, false, true);
            case 1 -> new JobConstraints(team, null, null, true, false, random.nextBoolean());
            case 2 -> new JobConstraints(team, null, null, false, true, true);
            case 3 -> new JobConstraints(team, random.nextBoolean() ? "small" : "large", null, false, false, true);
            case 4 -> new JobConstraints(team, null, null, false, false, false);
            default -> new JobConstraints(team, null, null, false, false, true);
        };
    }

    /** Submits a job, again until it is answered. {@code form} as on the wire. */
    void submit(String form, int tasks, double seconds) {
        submit(form, tasks, seconds, constraints(form));
    }

    void submit(String form, int tasks, double seconds, JobConstraints constraints) {
        String id = "wk-" + (1 + submitted.size());
        submitted.put(id, deployment.describe(id, form, tasks, 2.0, seconds, constraints));
        checker.jobSubmitted(id, tasks, form.equals("daemon"));
        checker.jobDescribed(deployment.jobSpec(id));
        if (form.equals("daemon")) {
            replicas.put(id, tasks);
        }
        trySubmit(id);
    }

    /** How many jobs users have been told are cancelled. */
    int cancelledCount() {
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
                deployment.user.executeLater(() -> poll(id), 2 * Micros.SECOND);
            } else {
                deployment.user.executeLater(() -> trySubmit(id), Micros.SECOND);
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
                deployment.user.executeLater(() -> cancel(id, controller), Micros.SECOND);
            }
        });
    }

    private void poll(String id) {
        checker.asks(id);
        long asked = time.now();
        anyController().get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> {
            hear(id, asked, reply);
            if (!"done".equals(standing.get(id)) && !"withdrawn".equals(standing.get(id))) {
                deployment.user.executeLater(() -> poll(id), 2 * Micros.SECOND);
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
        checker.responseReceived(id, asked, reply.status(), word);
        if (news) {
            pollClosely(id);
        }
    }

    /** The same with small jobs whose tasks end far apart, long tasks, and more that is cancelled. */
    void actDuringFaults() {
        switch (random.nextInt(5)) {
            case 0 -> {
                skewedJobs.add("wk-" + (1 + submitted.size()));
                submit("batch", 2 + random.nextInt(2), 1 + random.nextInt(6));
            }
            case 1 -> submit("batch", 1 + random.nextInt(6), 30 + random.nextInt(60));
            case 2 -> {
                if (!submitted.isEmpty()) {
                    cancel(List.copyOf(submitted.keySet()).get(random.nextInt(submitted.size())));
                }
            }
            default -> submitDrawnJob();
        }
    }

    /** Work for far more than the limits of all teams, long and short, replicas and gangs among it. */
    void fillQuotas() {
        for (String team : TEAMS) {
            JobConstraints constraints = new JobConstraints(team, null, null, false, false, true);
            submit("batch", 12, 200, constraints);
            submit("batch", 6, 20 + random.nextInt(60), constraints);
            submit("daemon", 3, 0, constraints);
            submit("batch", 8, 3, constraints);
            // One of its tasks has always just ended: what is cancelled is at the same time to be written for that.
            skewedJobs.add("wk-" + (1 + submitted.size()));
            submit("batch", 10, 1, constraints);
        }
    }

    /**
     * Users call off so many jobs that are on machines, and up to eight of their machines hang for so long.
     *
     * @param hangMillis 0 for not at all
     */
    void cancelRunningJobs(int count, int hangMillis) {
        List<String> jobs = new ArrayList<>(submitted.keySet());
        jobs.removeIf(id -> checker.running(id) == 0 || !standing.containsKey(id));
        Collections.shuffle(jobs, random);
        Set<String> hung = new TreeSet<>();
        for (String id : jobs.subList(0, Math.min(count, jobs.size()))) {
            hung.addAll(checker.machinesOf(id));
            at(random.nextInt(200) * Micros.MILLISECOND, () -> cancel(id));
        }
        if (hangMillis > 0) {
            deployment.faults.hangWorkers(hung.stream().limit(8).collect(Collectors.toSet()), hangMillis);
        }
    }

    /** A task of it is done: maybe its user calls it off just then. */
    void ended(String id) {
        if (cancelAtEndShare > 0 && random.nextDouble() < cancelAtEndShare) {
            at(random.nextInt(1_200) * Micros.MILLISECOND, () -> cancel(id));
        }
    }

    /** Whatever ends is called off at that moment, of that share of the jobs. */
    void cancelAsTasksEnd(double share, int seconds) {
        cancelAtEndShare = share;
        at(seconds * Micros.SECOND, () -> cancelAtEndShare = 0);
    }

    /** For so many seconds. */
    void pollClosely(int seconds) {
        closeLooks = true;
        at(seconds * Micros.SECOND, () -> closeLooks = false);
    }

    /** How often users looked closely. */
    int closePolls() {
        return closePolls;
    }

    /** Users ask all controllers again and again, and repeat the submission there with the same and with other bodies. */
    private void pollClosely(String id) {
        if (!closeLooks) {
            return;
        }
        closePolls++;
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
    void sendUnusualRequests() {
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
        anyController()
                .post(
                        "/v1/jobs",
                        sent.getBytes(StandardCharsets.UTF_8),
                        5 * Micros.SECOND,
                        reply -> hear(id, asked, reply));
        List<String> known =
                submitted.keySet().stream().filter(standing::containsKey).toList();
        if (!known.isEmpty()) {
            repeat(known.get(random.nextInt(known.size())), anyController());
        }
        List<String> done =
                known.stream().filter(each -> "done".equals(standing.get(each))).toList();
        if (!done.isEmpty()) {
            cancel(done.get(random.nextInt(done.size())));
        }
    }

    /** Jobs of all forms, and some cancellations. */
    void submitDrawnJob() {
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
}
