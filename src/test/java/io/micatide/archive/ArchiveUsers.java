package io.micatide.archive;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.protocol.CloudSideCodec;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.simulation.VirtualTime;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Users of an {@link ArchiveScenario}: sends their requests and checks that each answer agrees with the earlier answers. */
final class ArchiveUsers {
    /** What the user of a job knows about it. */
    static final class Job {
        final String id;
        final List<String> needs;
        final int tasks;
        boolean wasAccepted;
        boolean wasCancelRequested;
        String lastAnsweredState;
        String finalState;

        Job(String id, List<String> needs, int tasks) {
            this.id = id;
            this.needs = needs;
            this.tasks = tasks;
        }
    }

    private final ArchiveScenario scenario;
    private final VirtualTime.Process process;
    final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, byte[]> submitted = new HashMap<>();
    private final Set<String> neverSubmittedIds = new LinkedHashSet<>();

    ArchiveUsers(ArchiveScenario scenario) {
        this.scenario = scenario;
        this.process = scenario.time.new Process();
    }

    long wallClockMicros() {
        return process.wallClockMicros();
    }

    byte[] submitted(Job job) {
        return submitted.get(job.id);
    }

    /** Takes over the jobs and the answers that the users of another scenario got. */
    void copyKnowledge(ArchiveUsers other) {
        jobs.putAll(other.jobs);
        submitted.putAll(other.submitted);
        neverSubmittedIds.addAll(other.neverSubmittedIds);
    }

    /** Returns the specification of a job as it was submitted, or null if the job is unknown. */
    JobSpec submittedSpec(String id) {
        byte[] body = submitted.get(id);
        try {
            return body == null
                    ? null
                    : CloudSideCodec.jobSpec(("{\"spec\":" + new String(body, StandardCharsets.UTF_8) + "}")
                            .getBytes(StandardCharsets.UTF_8));
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    private Http anyController() {
        return scenario.network.from(process, "c" + scenario.random.nextInt(ArchiveScenario.CONTROLLERS));
    }

    /** Submits a job and retries until it is answered. The id is random, so that ids are not in the order of submission. */
    Job submit(int tasks, int runtimeTenths, List<String> needs) {
        String id;
        do {
            id = String.format("wk-%06d", scenario.random.nextInt(1_000_000));
        } while (jobs.containsKey(id) || neverSubmittedIds.contains(id));
        Job job = createJob(id, tasks, runtimeTenths, needs);
        trySubmit(job);
        return job;
    }

    /** Creates a job of one short task without submitting it. */
    Job createJob(String id) {
        return createJob(id, 1, 5, List.of());
    }

    private Job createJob(String id, int tasks, int runtimeTenths, List<String> needs) {
        Job job = new Job(id, needs, tasks);
        jobs.put(id, job);
        String awaits = needs.isEmpty() ? "" : ",\"awaits\":[\"" + String.join("\",\"", needs) + "\"]";
        submitted.put(
                id,
                ("{\"nameId\":\"" + id + "\",\"roster\":\"x\",\"crew\":\"blue\",\"form\":\"batch\",\"rank\":\"normal\","
                                + "\"legs\":" + tasks
                                + ",\"cpus\":1.0,\"cards\":0.0,\"memGb\":1.0,\"kit\":\"i\",\"sizeGb\":0.0,\"builds\":null,"
                                + "\"ground\":null,\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"runtimeS\":"
                                + runtimeTenths / 10.0
                                + ",\"halftimeS\":0.0,\"stowS\":0.0,\"whistleS\":null" + awaits + "}")
                        .getBytes(StandardCharsets.UTF_8));
        return job;
    }

    /** Returns the status code with which a poll of the given job is answered. */
    int status(Job job) {
        int[] status = new int[1];
        anyController().get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> status[0] = reply.status());
        scenario.time.run(300 * Micros.MILLISECOND);
        return status[0];
    }

    /** Submits the given job and retries until it is answered; the job may have finished long before. */
    void trySubmit(Job job) {
        boolean wasAccepted = job.wasAccepted;
        String finalState = job.finalState;
        anyController().post("/v1/jobs", submitted.get(job.id), 5 * Micros.SECOND, reply -> {
            if (reply.status() == 200 || reply.status() == 201) {
                job.wasAccepted = true;
                checkAnswer(job, finalState, reply);
                if (reply.status() == 201 && wasAccepted) {
                    scenario.violations.add("accepted again as a new job " + job.id);
                }
            } else if (reply.status() == 400 || reply.status() == 422) {
                scenario.violations.add((wasAccepted ? "forgotten " : "refused ") + job.id + " " + reply.status());
            } else {
                process.executeLater(() -> trySubmit(job), Micros.SECOND);
            }
        });
    }

    void cancel(Job job) {
        job.wasCancelRequested = true;
        boolean wasAccepted = job.wasAccepted;
        String finalState = job.finalState;
        anyController().post("/v1/jobs/" + job.id + "/abort", new byte[0], 5 * Micros.SECOND, reply -> {
            if (reply.ok()) {
                checkAnswer(job, finalState, reply);
            } else if (reply.status() == 404 && wasAccepted) {
                scenario.violations.add("forgotten by abort " + job.id);
            } else if (reply.status() != 404) {
                process.executeLater(() -> cancel(job), Micros.SECOND);
            }
        });
    }

    void poll(Job job) {
        boolean wasAccepted = job.wasAccepted;
        String finalState = job.finalState;
        anyController().get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> {
            if (reply.ok()) {
                checkAnswer(job, finalState, reply);
            } else if (reply.status() == 404 && wasAccepted) {
                scenario.violations.add("forgotten " + job.id + " answered before: " + finalState);
            }
        });
    }

    /** Polls an id that is never submitted. */
    void pollUnknown() {
        String id = String.format("wk-%06d", scenario.random.nextInt(1_000_000));
        if (jobs.containsKey(id)) {
            return;
        }
        neverSubmittedIds.add(id);
        anyController().get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> {
            if (reply.ok()) {
                scenario.violations.add("invented " + id);
            }
        });
    }

    /**
     * Checks an answer against the earlier answers and the tasks that ran.
     *
     * @param finalStateBefore the final state that the user knew when the request was sent, or null; answers in flight may overtake each other
     */
    private void checkAnswer(Job job, String finalStateBefore, Reply reply) {
        JsonNode answer;
        try {
            answer = Json.tree(reply.body());
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
        String state = answer.path("standing").asText();
        job.lastAnsweredState = state;
        boolean isFinished = state.equals("done") || state.equals("withdrawn");
        if ((finalStateBefore != null && !finalStateBefore.equals(state))
                || (isFinished && job.finalState != null && !job.finalState.equals(state))) {
            scenario.violations.add("went_back " + job.id + " from " + job.finalState + " to " + state);
        }
        if (isFinished) {
            job.finalState = state;
        }
        if (state.equals("done")) {
            for (int i = 0; i < job.tasks; i++) {
                if (!scenario.finished.contains(job.id + "/" + i)) {
                    scenario.violations.add("not_done " + job.id + "/" + i);
                }
            }
            if (answer.has("done") && answer.path("done").asInt() != job.tasks) {
                scenario.violations.add("wrong count of tasks " + job.id + " " + answer);
            }
        }
        if (state.equals("withdrawn") && !mayBeCancelled(job)) {
            scenario.violations.add("withdrawn without a cancellation " + job.id);
        }
    }

    private boolean mayBeCancelled(Job job) {
        return job.wasCancelRequested || job.needs.stream().anyMatch(need -> mayBeCancelled(jobs.get(need)));
    }

    /** Submits, cancels and polls jobs for the given time while virtual time passes. */
    void runRequests(int seconds) {
        for (int second = 0; second < seconds; second++) {
            for (int i = scenario.random.nextInt(3); i > 0; i--) {
                List<String> needs = new ArrayList<>();
                List<Job> known =
                        jobs.values().stream().filter(job -> job.wasAccepted).toList();
                if (!known.isEmpty() && scenario.random.nextInt(4) == 0) {
                    needs.add(known.get(scenario.random.nextInt(known.size())).id);
                }
                Job job = submit(1 + scenario.random.nextInt(2), 1 + scenario.random.nextInt(12), needs);
                if (scenario.random.nextInt(5) == 0) {
                    process.executeLater(() -> cancel(job), scenario.random.nextInt(4_000) * Micros.MILLISECOND);
                }
            }
            List<Job> all = List.copyOf(jobs.values());
            for (int i = 0; i < 4 && !all.isEmpty(); i++) {
                poll(all.get(scenario.random.nextInt(all.size())));
            }
            if (!all.isEmpty() && scenario.random.nextInt(2) == 0) {
                trySubmit(all.get(scenario.random.nextInt(all.size())));
            }
            pollUnknown();
            scenario.time.run(Micros.SECOND);
        }
    }

    /** Schedules submissions, cancellations and polls for the given time; the caller advances virtual time. */
    void scheduleRequests(int seconds) {
        for (int second = 0; second < seconds; second++) {
            process.executeLater(
                    () -> {
                        Job job = submit(1, 1 + scenario.random.nextInt(12), List.of());
                        if (scenario.random.nextInt(4) == 0) {
                            process.executeLater(
                                    () -> cancel(job), scenario.random.nextInt(3_000) * Micros.MILLISECOND);
                        }
                        submit(1, 2, List.of(job.id));
                        List<Job> all = List.copyOf(jobs.values());
                        poll(all.get(scenario.random.nextInt(all.size())));
                    },
                    second * Micros.SECOND);
        }
    }

    /** Ends all failures, waits until every job is answered as finished, and then checks the answer of every controller for every job. */
    void awaitFinished() {
        scenario.network.setLossRates(0, 0);
        scenario.killAt = 0;
        for (int i = 0; i < 60 && jobs.values().stream().anyMatch(job -> job.finalState == null); i++) {
            jobs.values().stream().filter(job -> job.finalState == null).forEach(this::poll);
            scenario.time.run(Micros.SECOND);
        }
        scenario.time.run(20 * Micros.SECOND);
        for (Job job : jobs.values()) {
            if (job.finalState == null) {
                scenario.violations.add("never finished " + job.id + " " + job.lastAnsweredState + " " + job.wasAccepted
                        + " needs " + job.needs);
            }
        }
        List<Job> all = new ArrayList<>(jobs.values());
        for (int i = 0; i < ArchiveScenario.CONTROLLERS; i++) {
            for (Job job : all) {
                int number = i;
                scenario.network.from(process, "c" + i).get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> {
                    if (reply.ok()) {
                        checkAnswer(job, job.finalState, reply);
                    } else {
                        scenario.violations.add("c" + number + " has no answer for " + job.id + ": " + reply.status());
                    }
                });
                scenario.time.run(50 * Micros.MILLISECOND);
            }
        }
        scenario.time.run(3 * Micros.SECOND);
    }
}
