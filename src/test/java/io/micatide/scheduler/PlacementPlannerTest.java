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

    private static long runningTasks(SchedulerHarness world, String job) {
        return world.workers.values().stream()
                .filter(worker -> !worker.deleted)
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(task -> task.job.equals(job) && task.cause == null)
                .count();
    }

    /**
     * Machines are full of work beyond its team's guarantee. Whoever may preempt it gets its capacity after a while, and no
     * more of it ends than has to: capacity that was freed for one task once was not counted for the next.
     */
    @ParameterizedTest
    @CsvSource({
        // kind, priority, tasks, preempted
        "ARRAY, NORMAL, 1, 1",
        "ARRAY, NORMAL, 5, 5",
        "SERVICE, HIGH, 3, 3",
    })
    void preemptsNoMoreThanItNeeds(JobKind kind, Priority priority, int tasks, int preempted) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 300));
        world.run(20 * Micros.SECOND);
        assertEquals(8, runningTasks(world, "wk-1"));
        world.submit(SchedulerHarness.job("wk-2", kind, "red", priority, tasks, 100));
        world.run(12 * Micros.SECOND);
        assertEquals(tasks, runningTasks(world, "wk-2"));
        assertEquals(8 - preempted, runningTasks(world, "wk-1"));
        assertEquals(8 + tasks, world.starts, "what was preempted was started again without capacity");
    }

    /**
     * Work of the lowest priority, long and everywhere, is preempted for what would be late otherwise, and only for that; work
     * of the same priority is not preempted for a team without a guarantee.
     */
    @ParameterizedTest
    @CsvSource({"LOW, 160, 5", "LOW, 500, 0", "NORMAL, 160, 0"})
    void lowPriorityWorkIsPreemptedOnlyForUrgentJobs(Priority running, int deadlineSeconds, int started) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", running, 8, 300));
        world.run(20 * Micros.SECOND);
        assertEquals(8, runningTasks(world, "wk-1"));
        world.submit(withDeadline(
                SchedulerHarness.job("wk-2", JobKind.ARRAY, "blue", Priority.NORMAL, 5, 100), deadlineSeconds));
        world.run(30 * Micros.SECOND);
        assertEquals(started, runningTasks(world, "wk-2"));
        assertEquals(8 - started, runningTasks(world, "wk-1"));
    }

    /**
     * Replicas gather though another machine has free capacity and the image, since each machine with one has to be kept; but
     * no more than a few, since it may hang.
     */
    @ParameterizedTest
    @CsvSource({"1, 2", "2, 2"})
    void replicasGatherOnFewMachines(int replicas, int together) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 2));
        world.run(10 * Micros.SECOND);
        for (int i = 0; i < replicas; i++) {
            world.submit(SchedulerHarness.job("wk-2" + i, JobKind.SERVICE, "blue", Priority.HIGH, 1, 0));
            world.run(3 * Micros.SECOND);
        }
        world.submit(SchedulerHarness.job("wk-3", JobKind.ARRAY, "blue", Priority.NORMAL, 4 - replicas, 300));
        world.run(4 * Micros.SECOND);
        world.submit(SchedulerHarness.job("wk-29", JobKind.SERVICE, "blue", Priority.HIGH, 1, 0));
        world.run(6 * Micros.SECOND);
        assertEquals(4 - replicas, runningTasks(world, "wk-3"));
        long most = world.workers.values().stream()
                .mapToLong(worker -> worker.tasks.values().stream()
                        .filter(task -> task.job.startsWith("wk-2"))
                        .count())
                .max()
                .orElse(0);
        assertEquals(together, most);
    }

    /** The response to the heartbeat that tells of free capacity carries the next start, without a plan or a ledger write. */
    @Test
    void machinesAreRefilledAtTheirHeartbeats() {
        SchedulerHarness world = new SchedulerHarness(1, 1);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 40, 2));
        long from = world.now;
        while (world.state("wk-1") == JobState.OPEN) {
            world.run(SchedulerHarness.STEP);
            assertTrue(world.now - from < 60 * Micros.SECOND, "it never ends");
        }
        // Ten rounds of four tasks, each of 2 s and up to one heartbeat interval of 0.8 s.
        assertTrue(world.now - from < 31 * Micros.SECOND, Micros.toSeconds(world.now - from) + " s");
    }

    /**
     * Machines that are several times late are deleted once nothing waits for them any more, before they come up to stand idle;
     * those that are in time work.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "20, true"})
    void lateMachinesAreDeletedOnceNothingWaits(int bootFactor, boolean deleted) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.bootFactor = bootFactor;
        world.takeOver();
        world.submit(withDeadline(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 44, 6), 30));
        for (int second = 0; second < 120 && world.state("wk-1") == JobState.OPEN; second++) {
            world.run(Micros.SECOND);
        }
        assertEquals(JobState.DONE, world.state("wk-1"));
        world.run(6 * Micros.SECOND);
        assertTrue(world.workers.size() > 2, "none was rented");
        long remaining = world.workers.values().stream()
                .skip(2)
                .filter(worker -> !worker.deleted)
                .count();
        assertEquals(deleted, remaining == 0);
    }
}
