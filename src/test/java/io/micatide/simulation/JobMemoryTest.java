package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.jobs.JobMemoryLimit;
import io.micatide.jobs.JobMemoryUsage;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.net.RecordedRequest;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** More jobs than fit into the heap of a controller: what does not fit is refused at once, and what was accepted is kept and run. */
class JobMemoryTest {
    private static final int JOBS = 900;
    private static final int DEPENDENT_JOBS = 2_000;
    private static final int SUBMITTED_PER_SECOND = 20;
    private static final int LARGE_JOBS = 60;
    private static final int LARGE_IMAGE_CHARS = 15_000;
    private static final long HEAP_BYTES = 64L << 20;
    private static final String BODY = """
            {"nameId":"%s","roster":"class","crew":"%s","form":"batch","rank":"normal","legs":1,"cpus":2.0,"cards":0.0,"memGb":1.0,\
            "kit":"img","sizeGb":1.0,"builds":null,"ground":null,"samePlace":false,"scatter":false,"loaners":true,"runtimeS":%d,\
            "halftimeS":0.0,"stowS":0.0,"whistleS":null,"awaits":[%s]}""";

    private record Submission(String id, RecordedRequest request) {
        boolean isAccepted() {
            return request.status() == 200 || request.status() == 201;
        }
    }

    private final FailoverScenario day = FailoverScenario.atQuota(1, 5, 0);
    private int submitted;

    private Submission submit(String team, int seconds, String names) {
        String id = "wk-m" + submitted;
        String body = BODY.formatted(id, team, seconds, names);
        Submission submission = new Submission(id, new RecordedRequest(body.getBytes(StandardCharsets.UTF_8)));
        day.cluster.uploadDescription(id, submission.request.body());
        day.checker.jobSubmitted(id, 1, false);
        day.checker.jobDescribed(day.cluster.jobSpec(id));
        send(submission);
        day.time.run(Micros.SECOND / SUBMITTED_PER_SECOND);
        return submission;
    }

    private void send(Submission submission) {
        int controller = submitted++ % day.controllers;
        day.cluster
                .process(controller)
                .execute(() -> day.cluster.controller(controller).handleRequest(submission.request));
    }

    /** Guards against controllers that accept jobs until their heap is full, and end again after each start. */
    @Test
    void whatDoesNotFitIsRefusedAtOnce() {
        day.time.run(5 * Micros.SECOND);
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < JOBS; i++) {
            Submission job = submit("blue", 600, "");
            assertTrue(job.isAccepted(), job.id + ": " + job.request.status());
            names.append(i == 0 ? "\"" : ",\"").append(job.id).append('"');
        }
        List<Submission> accepted = new ArrayList<>();
        Submission refused = null;
        for (int i = 0; i < DEPENDENT_JOBS && refused == null; i++) {
            Submission job = submit("blue", 1, names.toString());
            if (job.isAccepted()) {
                accepted.add(job);
            } else {
                refused = job;
            }
        }
        assertTrue(refused != null, accepted.size() + " jobs that need " + JOBS + " others each were accepted");
        day.time.run(Micros.SECOND);
        assertEquals(429, refused.request.status());
        assertTrue(refused.request.retryAfterSeconds() > 0);
        assertTrue(submit("red", 1, "").isAccepted(), "another team has room");
        long keptBytes = 0;
        for (int number = 0; number < JOBS + accepted.size(); number++) {
            String id = "wk-m" + number;
            StoredRecord.JobRecord record = new StoredRecord.JobRecord(JobState.OPEN, day.cluster.jobSpec(id), 0, 1);
            keptBytes += JobMemoryUsage.estimateBytes(id, record);
        }
        long maxBytes = JobMemoryLimit.maxBytesInHeap(HEAP_BYTES);
        assertTrue(keptBytes > maxBytes / 2 && keptBytes <= maxBytes, keptBytes + " of " + maxBytes + " bytes");
        List<String> toEnd =
                new ArrayList<>(accepted.stream().map(job -> job.id).toList());
        day.cluster.faults.crashForSeconds(day.cluster.leader(), 2);
        day.time.run(20 * Micros.SECOND);
        assertEquals(429, submitAgain(refused).request.status(), "a new leader has no more room");
        for (int i = 0; i < JOBS; i++) {
            cancel("wk-m" + i);
        }
        day.time.run(60 * Micros.SECOND);
        toEnd.forEach(id -> assertEquals("withdrawn", standing(id), id));
        assertEquals(201, submitAgain(refused).request.status(), "room again");
        assertEquals(List.of(), day.checker.violations());
        // A controller that nobody asked meanwhile decides by what is stored, not by what it has last read.
        for (int controller = 0; controller < day.controllers; controller++) {
            Submission later = submitLarge(controller);
            day.time.run(5 * Micros.SECOND);
            assertTrue(later.isAccepted(), "room again at c" + controller + ": " + later.request.status());
        }
    }

    /** Repeats a submission while the answer is 503, as users do. */
    private Submission submitAgain(Submission refused) {
        Submission again = null;
        for (int tries = 0; tries < 10 && (again == null || again.request.status() == 503); tries++) {
            again = new Submission(refused.id, new RecordedRequest(refused.request.body()));
            send(again);
            day.time.run(5 * Micros.SECOND);
        }
        return again;
    }

    /** Guards against controllers that do not know what others accepted, since nobody asked them for a job meanwhile. */
    @Test
    void aControllerThatOnlyAcceptsJobsCountsThoseOfOthers() {
        day.time.run(20 * Micros.SECOND);
        int leader = day.cluster.leader();
        int idle = 0;
        while (idle == leader || day.cluster.controller(idle).isDesignatedStandby()) {
            idle++;
        }
        // Its first submission would otherwise meet a manifest of the archive that it does not know, and read the
        // changes.
        standing(idle, "wk-unknown");
        int filled = 0;
        while (submitLarge(leader).isAccepted()) {
            filled++;
        }
        int acceptedByIdle = 0;
        for (int i = 0; i < LARGE_JOBS; i++) {
            acceptedByIdle += submitLarge(idle).isAccepted() ? 1 : 0;
        }
        assertTrue(filled > 10 * LARGE_JOBS, filled + " jobs were accepted by the leader");
        assertTrue(acceptedByIdle < LARGE_JOBS / 4, acceptedByIdle + " more jobs were accepted by another controller");
    }

    private Submission submitLarge(int controller) {
        String id = "wk-l" + submitted++;
        String body = BODY.formatted(id, "blue", 600, "").replace("\"img\"", '"' + "i".repeat(LARGE_IMAGE_CHARS) + '"');
        Submission submission = new Submission(id, new RecordedRequest(body.getBytes(StandardCharsets.UTF_8)));
        day.cluster.uploadDescription(id, submission.request.body());
        day.cluster
                .process(controller)
                .execute(() -> day.cluster.controller(controller).handleRequest(submission.request));
        day.time.run(Micros.SECOND / SUBMITTED_PER_SECOND);
        return submission;
    }

    /** Guards against a controller that was away while more changed than it takes in one answer: it read no changes any more. */
    @Test
    void aControllerThatWasAwayReadsAllRecordsAgain() {
        day.maxResponseBytes = 64 << 10;
        day.time.run(5 * Micros.SECOND);
        Submission first = submit("blue", 600, "");
        int away = (day.cluster.leader() + 1) % day.controllers;
        day.cluster.faults.partitionController(away, new FaultInjector.Links(true, true, true), 30);
        List<Submission> meanwhile = new ArrayList<>();
        while (meanwhile.size() < 200) {
            Submission job = submit("blue", 1, '"' + first.id + '"');
            if (job.isAccepted()) {
                meanwhile.add(job);
            }
        }
        day.time.run(40 * Micros.SECOND);
        assertEquals("queued", standing(away, meanwhile.get(199).id));
        assertTrue(day.tooLargeResponses > 0);
        assertEquals(List.of(), day.checker.violations());
    }

    private void cancel(String id) {
        day.users.cancel(id);
        day.time.run(Micros.SECOND / SUBMITTED_PER_SECOND);
    }

    private String standing(String id) {
        return standing(0, id);
    }

    private String standing(int controller, String id) {
        String[] word = {""};
        day.cluster
                .toController(controller)
                .get(
                        "/v1/jobs/" + id,
                        2 * Micros.SECOND,
                        reply -> word[0] = new String(reply.body(), StandardCharsets.UTF_8));
        day.time.run(Micros.SECOND);
        return word[0].replaceAll(".*\"standing\":\"(\\w+)\".*", "$1");
    }
}
