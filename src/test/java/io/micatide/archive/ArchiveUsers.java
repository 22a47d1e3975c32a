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

/** Users of an {@link ArchiveScenario}: what they ask, what they are told, and whether that agrees with what they were told before. */
final class ArchiveUsers {
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

    private final ArchiveScenario day;
    private final VirtualTime.Process process;
    final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, byte[]> submitted = new HashMap<>();
    private final Set<String> unknownAsked = new LinkedHashSet<>();

    ArchiveUsers(ArchiveScenario day) {
        this.day = day;
        this.process = day.time.new Process();
    }

    long wall() {
        return process.wallClockMicros();
    }

    byte[] submitted(Job job) {
        return submitted.get(job.id);
    }

    /** Users know what they were told by another service. */
    void goOnAs(ArchiveUsers other) {
        jobs.putAll(other.jobs);
        submitted.putAll(other.submitted);
        unknownAsked.addAll(other.unknownAsked);
    }

    /** The specification of a job as it was submitted, null if it is not known. */
    JobSpec described(String id) {
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
        return day.network.from(process, "c" + day.random.nextInt(ArchiveScenario.CONTROLLERS));
    }

    /** Submits a job, again until it is told; its id is drawn so that ids come in no order. */
    Job submit(int tasks, int tenths, List<String> needs) {
        String id;
        do {
            id = String.format("wk-%06d", day.random.nextInt(1_000_000));
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

    /** What a poll of a job is answered with. */
    int status(Job job) {
        int[] status = new int[1];
        anyController().get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> status[0] = reply.status());
        day.time.run(300 * Micros.MILLISECOND);
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
                    day.broken.add("accepted anew " + job.id);
                }
            } else if (reply.status() == 400 || reply.status() == 422) {
                day.broken.add((before ? "forgotten " : "refused ") + job.id + " " + reply.status());
            } else {
                process.executeLater(() -> trySubmit(job), Micros.SECOND);
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
                day.broken.add("forgotten by abort " + job.id);
            } else if (reply.status() != 404) {
                process.executeLater(() -> cancel(job), Micros.SECOND);
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
                day.broken.add("forgotten " + job.id + " told before: " + end);
            }
        });
    }

    /** An id that nobody submits. */
    void pollUnknown() {
        String id = String.format("wk-%06d", day.random.nextInt(1_000_000));
        if (jobs.containsKey(id)) {
            return;
        }
        unknownAsked.add(id);
        anyController().get("/v1/jobs/" + id, 2 * Micros.SECOND, reply -> {
            if (reply.ok()) {
                day.broken.add("invented " + id);
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
            day.broken.add("went_back " + job.id + " from " + job.end + " to " + standing);
        }
        if (over) {
            job.end = standing;
        }
        if (standing.equals("done")) {
            for (int i = 0; i < job.tasks; i++) {
                if (!day.finished.contains(job.id + "/" + i)) {
                    day.broken.add("not_done " + job.id + "/" + i);
                }
            }
            if (said.has("done") && said.path("done").asInt() != job.tasks) {
                day.broken.add("counts " + job.id + " " + said);
            }
        }
        if (standing.equals("withdrawn") && !mayBeWithdrawn(job)) {
            day.broken.add("withdrawn by nobody " + job.id);
        }
    }

    private boolean mayBeWithdrawn(Job job) {
        return job.cancelAsked || job.needs.stream().anyMatch(need -> mayBeWithdrawn(jobs.get(need)));
    }

    /** Everybody does what they do for so long. */
    void busy(int seconds) {
        for (int second = 0; second < seconds; second++) {
            for (int i = day.random.nextInt(3); i > 0; i--) {
                List<String> needs = new ArrayList<>();
                List<Job> known =
                        jobs.values().stream().filter(job -> job.accepted).toList();
                if (!known.isEmpty() && day.random.nextInt(4) == 0) {
                    needs.add(known.get(day.random.nextInt(known.size())).id);
                }
                Job job = submit(1 + day.random.nextInt(2), 1 + day.random.nextInt(12), needs);
                if (day.random.nextInt(5) == 0) {
                    process.executeLater(() -> cancel(job), day.random.nextInt(4_000) * Micros.MILLISECOND);
                }
            }
            List<Job> all = List.copyOf(jobs.values());
            for (int i = 0; i < 4 && !all.isEmpty(); i++) {
                poll(all.get(day.random.nextInt(all.size())));
            }
            if (!all.isEmpty() && day.random.nextInt(2) == 0) {
                trySubmit(all.get(day.random.nextInt(all.size())));
            }
            pollUnknown();
            day.time.run(Micros.SECOND);
        }
    }

    /** Users submit, cancel and poll for so many seconds while somebody else lets time pass. */
    void later(int seconds) {
        for (int second = 0; second < seconds; second++) {
            process.executeLater(
                    () -> {
                        Job job = submit(1, 1 + day.random.nextInt(12), List.of());
                        if (day.random.nextInt(4) == 0) {
                            process.executeLater(() -> cancel(job), day.random.nextInt(3_000) * Micros.MILLISECOND);
                        }
                        submit(1, 2, List.of(job.id));
                        List<Job> all = List.copyOf(jobs.values());
                        poll(all.get(day.random.nextInt(all.size())));
                    },
                    second * Micros.SECOND);
        }
    }

    /** Until every job is over and told, then once more by every controller. */
    void settle() {
        day.network.setLossRates(0, 0);
        day.killAt = 0;
        for (int i = 0; i < 60 && jobs.values().stream().anyMatch(job -> job.end == null); i++) {
            jobs.values().stream().filter(job -> job.end == null).forEach(this::poll);
            day.time.run(Micros.SECOND);
        }
        day.time.run(20 * Micros.SECOND);
        for (Job job : jobs.values()) {
            if (job.end == null) {
                day.broken.add("never over " + job.id + " " + job.last + " " + job.accepted + " needs " + job.needs);
            }
        }
        List<Job> all = new ArrayList<>(jobs.values());
        for (int i = 0; i < ArchiveScenario.CONTROLLERS; i++) {
            for (Job job : all) {
                int number = i;
                day.network.from(process, "c" + i).get("/v1/jobs/" + job.id, 2 * Micros.SECOND, reply -> {
                    if (reply.ok()) {
                        told(job, job.end, reply);
                    } else {
                        day.broken.add("c" + number + " does not tell " + job.id + ": " + reply.status());
                    }
                });
                day.time.run(50 * Micros.MILLISECOND);
            }
        }
        day.time.run(3 * Micros.SECOND);
    }
}
