package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementPlannerTest {
    private static JobSpec withDeadline(JobSpec job, int deadlineSeconds) {
        return new JobSpec(
                job.id(),
                job.jobClass(),
                job.team(),
                job.kind(),
                job.priority(),
                job.taskCount(),
                job.taskResources(),
                job.image(),
                job.imageGb(),
                job.machineTypes(),
                job.zone(),
                false,
                false,
                job.spotAllowed(),
                job.estimatedRuntimeMicros(),
                0,
                0,
                deadlineSeconds * Micros.SECOND);
    }

    private static long runningTasks(SchedulerHarness harness, String job) {
        return harness.workers.values().stream()
                .filter(worker -> !worker.isDeleted)
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(task -> task.job.equals(job) && task.exitCause == null)
                .count();
    }

    /**
     * The machines are full of work beyond the guarantee of its team. A job that may preempt it gets the capacity after
     * a delay, and no more work is stopped than needed. Guards against preempting too much because capacity freed for
     * one task was not counted for the next one.
     */
    @ParameterizedTest
    @CsvSource({
        // kind, priority, tasks, preempted
        "ARRAY, NORMAL, 1, 1",
        "ARRAY, NORMAL, 5, 5",
        "SERVICE, HIGH, 3, 3",
    })
    void preemptsNoMoreThanNeeded(JobKind kind, Priority priority, int tasks, int preempted) {
        SchedulerHarness harness = new SchedulerHarness(1, 2);
        harness.cloudOutage = true;
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 300));
        harness.run(20 * Micros.SECOND);
        assertEquals(8, runningTasks(harness, "wk-1"));
        harness.submit(SchedulerHarness.job("wk-2", kind, "red", priority, tasks, 100));
        harness.run(12 * Micros.SECOND);
        assertEquals(tasks, runningTasks(harness, "wk-2"));
        assertEquals(8 - preempted, runningTasks(harness, "wk-1"));
        assertEquals(8 + tasks, harness.starts, "preempted tasks were started again without capacity");
    }

    /**
     * Long-running work of the lowest priority occupies all machines. It is preempted only for jobs that would
     * otherwise be late, and work of the same priority is not preempted for a team without a guarantee.
     */
    @ParameterizedTest
    @CsvSource({"LOW, 160, 5", "LOW, 500, 0", "NORMAL, 160, 0"})
    void lowPriorityWorkIsPreemptedOnlyForUrgentJobs(Priority running, int deadlineSeconds, int started) {
        SchedulerHarness harness = new SchedulerHarness(1, 2);
        harness.cloudOutage = true;
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", running, 8, 300));
        harness.run(20 * Micros.SECOND);
        assertEquals(8, runningTasks(harness, "wk-1"));
        harness.submit(withDeadline(
                SchedulerHarness.job("wk-2", JobKind.ARRAY, "blue", Priority.NORMAL, 5, 100), deadlineSeconds));
        harness.run(30 * Micros.SECOND);
        assertEquals(started, runningTasks(harness, "wk-2"));
        assertEquals(8 - started, runningTasks(harness, "wk-1"));
    }

    /**
     * Replicas are colocated although another machine has free capacity and the image, since each machine with a
     * replica has to be kept. Their number per machine is limited, since a machine may hang.
     */
    @ParameterizedTest
    @CsvSource({"1, 2", "2, 2"})
    void replicasAreColocatedOnFewMachines(int replicas, int expectedPerMachine) {
        SchedulerHarness harness = new SchedulerHarness(1, 2);
        harness.cloudOutage = true;
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 2));
        harness.run(10 * Micros.SECOND);
        for (int i = 0; i < replicas; i++) {
            harness.submit(SchedulerHarness.job("wk-2" + i, JobKind.SERVICE, "blue", Priority.HIGH, 1, 0));
            harness.run(3 * Micros.SECOND);
        }
        harness.submit(SchedulerHarness.job("wk-3", JobKind.ARRAY, "blue", Priority.NORMAL, 4 - replicas, 300));
        harness.run(4 * Micros.SECOND);
        harness.submit(SchedulerHarness.job("wk-29", JobKind.SERVICE, "blue", Priority.HIGH, 1, 0));
        harness.run(6 * Micros.SECOND);
        assertEquals(4 - replicas, runningTasks(harness, "wk-3"));
        long maxPerMachine = harness.workers.values().stream()
                .mapToLong(worker -> worker.tasks.values().stream()
                        .filter(task -> task.job.startsWith("wk-2"))
                        .count())
                .max()
                .orElse(0);
        assertEquals(expectedPerMachine, maxPerMachine);
    }

    /**
     * The response to the heartbeat that reports free capacity carries the next start, without a plan or a ledger
     * write.
     */
    @Test
    void machinesAreRefilledAtTheirHeartbeats() {
        SchedulerHarness harness = new SchedulerHarness(1, 1);
        harness.cloudOutage = true;
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 40, 2));
        long startedMicros = harness.now;
        while (harness.state("wk-1") == JobState.OPEN) {
            harness.run(SchedulerHarness.STEP_MICROS);
            assertTrue(harness.now - startedMicros < 60 * Micros.SECOND, "the job was still open after 60 s");
        }
        // The 40 tasks run four at a time in ten groups, each taking 2 s and up to one heartbeat interval of 0.8 s.
        assertTrue(
                harness.now - startedMicros < 31 * Micros.SECOND, Micros.toSeconds(harness.now - startedMicros) + " s");
    }

    /**
     * Machines that take several times the expected boot time are deleted once no task is pending, before they become
     * ready and stand idle. Machines that boot in time run tasks.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "20, true"})
    void lateMachinesAreDeletedOnceNoTasksArePending(int bootFactor, boolean deleted) {
        SchedulerHarness harness = new SchedulerHarness(1, 2);
        harness.bootTimeFactor = bootFactor;
        harness.startLeader();
        harness.submit(withDeadline(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 44, 6), 30));
        for (int second = 0; second < 120 && harness.state("wk-1") == JobState.OPEN; second++) {
            harness.run(Micros.SECOND);
        }
        assertEquals(JobState.DONE, harness.state("wk-1"));
        harness.run(6 * Micros.SECOND);
        assertTrue(harness.workers.size() > 2, "no machine was rented");
        long remaining = harness.workers.values().stream()
                .skip(2)
                .filter(worker -> !worker.isDeleted)
                .count();
        assertEquals(deleted, remaining == 0);
    }
}
