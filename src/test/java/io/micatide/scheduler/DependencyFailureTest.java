package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Pipelines while leaders are killed between any two steps, and what is submitted or cancelled meanwhile. */
class DependencyFailureTest {
    private static JobSpec job(String id, Priority priority, int tasks, int seconds, String... needs) {
        return SchedulerHarness.job(id, JobKind.ARRAY, "blue", priority, tasks, seconds)
                .withDependencies(List.of(needs));
    }

    /** A diamond and a chain; the chain's second job is cancelled while the first runs. */
    private static void submitAll(SchedulerHarness world) {
        world.submit(job("wk-a", Priority.LOW, 3, 4));
        world.submit(job("wk-b", Priority.LOW, 4, 3, "wk-a"));
        world.submit(job("wk-c", Priority.NORMAL, 2, 5, "wk-a"));
        world.submit(job("wk-d", Priority.HIGH, 2, 2, "wk-b", "wk-c"));
        world.submit(job("wk-e", Priority.NORMAL, 2, 20));
        world.submit(job("wk-f", Priority.NORMAL, 2, 2, "wk-e"));
        world.submit(job("wk-g", Priority.NORMAL, 2, 2, "wk-f"));
        world.submit(job("wk-h", Priority.NORMAL, 2, 2, "wk-f", "wk-d"));
    }

    /** Each row moves the kill over another stretch of the interactions, of old limits and of limits that fell. */
    @ParameterizedTest
    @CsvSource({"0, 0, 16", "0, 0.03, 16", "200, 0, 5", "200, 0.03, 5", "100, 0.1, 3"})
    void noTaskStartsBeforeItsDependenciesAtAnyKillPoint(int from, double lostAnswers, int ops) {
        for (int kill = from + 1; kill <= from + 200; kill++) {
            SchedulerHarness world = new SchedulerHarness(kill, 3, 2048, ops);
            world.opsLimit = ops;
            world.valueLimit = 2048;
            world.lostAnswers = lostAnswers;
            world.killAfter = kill;
            // The first leader writes as production does, the next one names in short.
            world.takeOver();
            world.marked = true;
            submitAll(world);
            world.run(8 * Micros.SECOND);
            world.cancel("wk-f");
            // Withdrawn at once, and by the rows alone: the leader may be dead.
            assertEquals(JobState.CANCELLED, world.directory.state("wk-g"));
            assertEquals(JobState.CANCELLED, world.directory.state("wk-h"));
            world.run(120 * Micros.SECOND);
            String what = "kill " + kill + " lost " + lostAnswers;
            assertEquals(List.of(), world.broken, what);
            assertEquals(0, world.refused, what);
            for (String id : List.of("wk-a", "wk-b", "wk-c", "wk-d", "wk-e")) {
                assertEquals(JobState.DONE, world.state(id), what + ": " + id);
            }
            for (String id : List.of("wk-f", "wk-g", "wk-h")) {
                assertEquals(0, world.startsOf.getOrDefault(id, 0), what + ": " + id);
                // The leader closes the rows as well, for whoever reads only those.
                assertEquals(JobState.CANCELLED, world.state(id), what + ": " + id);
            }
        }
    }

    /** The last job of a pipeline comes when the others are over, and starts as any other. */
    @Test
    void finishedDependenciesDoNotDelayAJob() {
        SchedulerHarness world = new SchedulerHarness(1, 3);
        world.takeOver();
        world.submit(job("wk-a", Priority.LOW, 3, 4));
        world.run(20 * Micros.SECOND);
        assertEquals(JobState.DONE, world.state("wk-a"));
        world.submit(job("wk-b", Priority.LOW, 2, 4, "wk-a"));
        world.takeOver();
        world.run(20 * Micros.SECOND);
        assertEquals(JobState.DONE, world.state("wk-b"));
        assertEquals(List.of(), world.broken);
    }

    /** While it waits a job takes nothing: no place in its team's limit, no machine rented, no row written. */
    @Test
    void waitingJobUsesNoResources() {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        // The machine that is idle meanwhile goes back, and that is not what this is about.
        world.recorded = false;
        world.takeOver();
        world.submit(job("wk-s", Priority.NORMAL, 1, 300));
        world.run(15 * Micros.SECOND);
        long revision = world.revision;
        int machines = world.workers.size();
        world.submit(job("wk-w", Priority.PRODUCTION, 2000, 10, "wk-s"));
        world.run(30 * Micros.SECOND);
        assertEquals(revision + 1, world.revision, "something was written");
        assertEquals(machines, world.workers.size());
        assertEquals(0, world.startsOf.getOrDefault("wk-w", 0));
        assertTrue(world.leader.summary(world.now).contains("awaiting=1"), world.leader.summary(world.now));
    }
}
