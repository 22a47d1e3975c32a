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
    private static JobSpec due(JobSpec job, int seconds) {
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
                seconds * Micros.SECOND);
    }

    private static long live(SchedulerHarness world, String job) {
        return world.workers.values().stream()
                .filter(worker -> !worker.deleted)
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(task -> task.job.equals(job) && task.cause == null)
                .count();
    }

    /**
     * Machines are full of work beyond its team's guarantee. Whoever may displace it gets its room after a while, and not
     * more of it ends than has to: room that was freed for one task once was not counted for the next.
     */
    @ParameterizedTest
    @CsvSource({
        // kind, priority, tasks, displaced
        "ARRAY, NORMAL, 1, 1",
        "ARRAY, NORMAL, 5, 5",
        "SERVICE, HIGH, 3, 3",
    })
    void displacesNoMoreThanItNeeds(JobKind kind, Priority priority, int tasks, int displaced) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 300));
        world.run(20 * Micros.SECOND);
        assertEquals(8, live(world, "wk-1"));
        world.submit(SchedulerHarness.job("wk-2", kind, "red", priority, tasks, 100));
        world.run(12 * Micros.SECOND);
        assertEquals(tasks, live(world, "wk-2"));
        assertEquals(8 - displaced, live(world, "wk-1"));
        assertEquals(8 + tasks, world.starts, "what yielded was started again without room");
    }

    /**
     * A guest's work of the lowest priority, long and everywhere, yields to what would be late otherwise, and only to that;
     * work of the same priority does not yield to a team without a guarantee.
     */
    @ParameterizedTest
    @CsvSource({"LOW, 160, 5", "LOW, 500, 0", "NORMAL, 160, 0"})
    void guestsYield(Priority guest, int deadline, int started) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "red", guest, 8, 300));
        world.run(20 * Micros.SECOND);
        assertEquals(8, live(world, "wk-1"));
        world.submit(due(SchedulerHarness.job("wk-2", JobKind.ARRAY, "blue", Priority.NORMAL, 5, 100), deadline));
        world.run(30 * Micros.SECOND);
        assertEquals(started, live(world, "wk-2"));
        assertEquals(8 - started, live(world, "wk-1"));
    }

    /**
     * Replicas gather though another machine has room and the image, since each machine with one has to be kept; but no
     * more than a few, since it may hang.
     */
    @ParameterizedTest
    @CsvSource({"1, 2", "2, 2"})
    void replicasGather(int there, int together) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 8, 2));
        world.run(10 * Micros.SECOND);
        for (int i = 0; i < there; i++) {
            world.submit(SchedulerHarness.job("wk-2" + i, JobKind.SERVICE, "blue", Priority.HIGH, 1, 0));
            world.run(3 * Micros.SECOND);
        }
        world.submit(SchedulerHarness.job("wk-3", JobKind.ARRAY, "blue", Priority.NORMAL, 4 - there, 300));
        world.run(4 * Micros.SECOND);
        world.submit(SchedulerHarness.job("wk-29", JobKind.SERVICE, "blue", Priority.HIGH, 1, 0));
        world.run(6 * Micros.SECOND);
        assertEquals(4 - there, live(world, "wk-3"));
        long most = world.workers.values().stream()
                .mapToLong(worker -> worker.tasks.values().stream()
                        .filter(task -> task.job.startsWith("wk-2"))
                        .count())
                .max()
                .orElse(0);
        assertEquals(together, most);
    }

    /** The answer to the report that tells of room carries the next start: a plan is not waited for, nor a round. */
    @Test
    void machinesAreRefilledAtTheirReports() {
        SchedulerHarness world = new SchedulerHarness(1, 1);
        world.cloudOutage = true;
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 40, 2));
        long from = world.now;
        while (world.state("wk-1") == JobState.OPEN) {
            world.run(SchedulerHarness.STEP);
            assertTrue(world.now - from < 60 * Micros.SECOND, "it never ends");
        }
        // Ten rounds of four tasks, each of 2 s and up to one report of 0.8 s.
        assertTrue(world.now - from < 31 * Micros.SECOND, Micros.toSeconds(world.now - from) + " s");
    }

    /**
     * Machines that are several times late are given back once nothing waits for them any more, before they come up to stand
     * idle; those that are in time work.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "20, true"})
    void lateMachinesAreNotWaitedFor(int bootFactor, boolean returned) {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.bootFactor = bootFactor;
        world.takeOver();
        world.submit(due(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 44, 6), 30));
        for (int second = 0; second < 120 && world.state("wk-1") == JobState.OPEN; second++) {
            world.run(Micros.SECOND);
        }
        assertEquals(JobState.DONE, world.state("wk-1"));
        world.run(6 * Micros.SECOND);
        assertTrue(world.workers.size() > 2, "none was rented");
        long there = world.workers.values().stream()
                .skip(2)
                .filter(worker -> !worker.deleted)
                .count();
        assertEquals(returned, there == 0);
    }
}
