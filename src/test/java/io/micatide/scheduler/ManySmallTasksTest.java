package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.HeapUse;
import io.micatide.jobs.JobMemoryLimit;
import io.micatide.jobs.JobMemoryUsage;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.store.StoredRecord;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against jobs of very many very small tasks that end the controllers for lack of memory, or whose workers cannot list
 * them in a heartbeat and lose their leases; and against bounds that keep another job waiting beside free machines.
 */
class ManySmallTasksTest {
    private static final int MACHINES = 10;
    private static final int MAX_TASKS = 100_000;
    /** The protocol's limit of a request's body and of a line of an answer to a worker. */
    private static final int MAX_MESSAGE_BYTES = 64 * 1024;

    private final SchedulerHarness harness = new SchedulerHarness(1, 0);
    private final ManyTaskWorkers workers = new ManyTaskWorkers(harness, MACHINES);

    private void startLeader() {
        harness.cloudOutage = true;
        harness.isLayoutMarked = true;
        harness.startLeader();
        workers.run(3 * Micros.SECOND);
    }

    private static JobSpec spec(String id, JobKind kind, int tasks, double cpus, long checkpointMicros) {
        return new JobSpec(
                id,
                "class",
                "blue",
                kind,
                Priority.NORMAL,
                tasks,
                Resources.of(cpus, 0, 0.01),
                "img-1",
                1,
                List.of(),
                null,
                false,
                false,
                true,
                1_000 * Micros.SECOND,
                checkpointMicros,
                0,
                -1);
    }

    private static JobSpec smallTasks(String id, JobKind kind, int tasks) {
        return spec(id, kind, tasks, 0.001, 0);
    }

    private void assertMessagesAreWithinLimits() {
        assertTrue(workers.largestHeartbeatBytes <= MAX_MESSAGE_BYTES, workers.largestHeartbeatBytes + " bytes");
        assertTrue(workers.longestAnswerLineBytes <= MAX_MESSAGE_BYTES, workers.longestAnswerLineBytes + " bytes");
        assertEquals(List.of(), workers.startedTwice);
    }

    /** Tasks of every kind, with the longest ids, from their start until they are reaped. */
    @ParameterizedTest
    @EnumSource(JobKind.class)
    void heartbeatsAndAnswersStayWithinTheLimit(JobKind kind) {
        startLeader();
        String longId = "wk-" + "x".repeat(60);
        int tasks = kind == JobKind.GANG ? 300 * MACHINES : MAX_TASKS;
        harness.submit(spec(longId, kind, tasks, 0.001, Micros.SECOND));
        harness.submit(smallTasks("wk-array", JobKind.ARRAY, MAX_TASKS));
        workers.run(6 * Micros.SECOND);
        assertTrue(workers.liveTasks(longId) >= 100 * MACHINES, workers.liveTasks(longId) + " tasks");
        for (int round = 0; round < 4; round++) {
            if (kind != JobKind.SERVICE) {
                workers.finishAll();
            }
            workers.run(4 * Micros.SECOND);
        }
        harness.cancel(longId);
        workers.run(4 * Micros.SECOND);
        assertEquals(0, workers.liveTasks(longId));
        assertTrue(workers.liveTasks("wk-array") > 0);
        assertMessagesAreWithinLimits();
    }

    /** A gang that fits if the heartbeats of its machines are used is not left waiting. */
    @Test
    void largeGangFillsHeartbeats() {
        startLeader();
        workers.submitAndAwait(smallTasks("wk-gang", JobKind.GANG, 550 * MACHINES), 550 * MACHINES, 10);
        assertEquals(550 * MACHINES, workers.liveTasks("wk-gang"));
        workers.finishAll();
        workers.run(5 * Micros.SECOND);
        assertEquals(JobState.DONE, harness.state("wk-gang"));
        assertMessagesAreWithinLimits();
    }

    /** Jobs of the largest size do not keep others waiting, although their tasks never end. */
    @ParameterizedTest
    @EnumSource(JobKind.class)
    void laterJobsStartBesideJobsOfTheLargestSize(JobKind kind) {
        harness.maxArrayTasks = 2_000;
        startLeader();
        harness.submit(smallTasks("wk-large", kind, kind == JobKind.GANG ? 550 * MACHINES : MAX_TASKS));
        for (int i = 0; i < 20; i++) {
            harness.submit(smallTasks("wk-large" + i, JobKind.ARRAY, MAX_TASKS));
        }
        workers.run(6 * Micros.SECOND);
        for (JobKind later : JobKind.values()) {
            String id = "wk-later-" + later;
            workers.submitAndAwait(spec(id, later, 4, 1, 0), 4, 5);
            int expected = later == JobKind.ARRAY ? 1 : 4;
            assertTrue(workers.liveTasks(id) >= expected, id + ": " + workers.liveTasks(id));
        }
        for (int i = 0; i < 20; i++) {
            assertTrue(workers.liveTasks("wk-large" + i) >= 1, "array " + i + " waits");
        }
        assertMessagesAreWithinLimits();
    }

    /** The tasks of arrays that are placed at once are bounded, and all of them run in the end. */
    @Test
    void arraysAreBoundedAndComplete() {
        harness.maxArrayTasks = 1_000;
        startLeader();
        for (int i = 0; i < 4; i++) {
            harness.submit(smallTasks("wk-" + i, JobKind.ARRAY, 2_000));
        }
        int most = 0;
        for (int second = 0; second < 120 && harness.state("wk-3") != JobState.DONE; second++) {
            workers.run(Micros.SECOND);
            most = Math.max(most, workers.liveTasks());
            workers.finishAll();
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(JobState.DONE, harness.state("wk-" + i));
        }
        assertTrue(most > 500 && most <= 1_000, most + " tasks at once");
        assertEquals(List.of(), workers.startedTwice);
    }

    /** A leader that is elected beside the tasks of its predecessor adopts all, and starts none beyond the limits. */
    @Test
    void newLeaderKeepsTheLimits() {
        harness.maxArrayTasks = 3_000;
        startLeader();
        harness.submit(smallTasks("wk-a", JobKind.ARRAY, MAX_TASKS));
        harness.submit(smallTasks("wk-b", JobKind.ARRAY, MAX_TASKS));
        workers.run(5 * Micros.SECOND);
        int before = workers.liveTasks();
        harness.startLeader();
        workers.run(10 * Micros.SECOND);
        assertTrue(workers.liveTasks() >= before && workers.liveTasks() <= 3_000, before + ", " + workers.liveTasks());
        assertMessagesAreWithinLimits();
    }

    /** A gang of the largest size is admitted on a controller without other jobs, however many teams share it. */
    @Test
    void largestGangIsAdmitted() {
        long heapBytes = 61L << 20;
        Set<String> teams =
                IntStream.range(0, 47).mapToObj(number -> "team" + number).collect(Collectors.toSet());
        JobMemoryLimit limit =
                new JobMemoryLimit(new JobMemoryUsage(), JobMemoryLimit.maxBytesInHeap(heapBytes), teams);
        JobSpec gang = smallTasks("wk-gang", JobKind.GANG, MAX_TASKS);
        assertTrue(limit.admits("wk-gang", new StoredRecord.JobRecord(JobState.OPEN, gang, 0, 1)));
    }

    /** The estimate by which jobs are admitted and arrays are bounded holds for what a placed task takes on the heap. */
    @Test
    void placedTasksTakeNoMoreMemoryThanEstimated() {
        Fleet fleet = new Fleet();
        Job job = new Job(smallTasks("wk-memory", JobKind.ARRAY, MAX_TASKS), 1, 0, 0, 0);
        Machine[] machines = new Machine[MAX_TASKS / 500];
        for (int i = 0; i < machines.length; i++) {
            machines[i] = fleet.getOrAdd("i-" + i, 0);
        }
        long before = HeapUse.liveBytes();
        for (int index = 0; index < MAX_TASKS; index++) {
            Machine machine = machines[index % machines.length];
            Placement placement = new Placement(job, index, 1, machine, Placement.Phase.SENT, 0);
            machine.add(placement);
            job.add(placement);
        }
        long bytesPerTask = (HeapUse.liveBytes() - before) / MAX_TASKS;
        assertTrue(bytesPerTask > 0 && bytesPerTask <= JobMemoryUsage.PLACED_TASK_BYTES, bytesPerTask + " bytes");
        assertEquals(MAX_TASKS, job.liveAttemptCount());
    }
}
