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

/**
 * Pipelines of dependent jobs under leader kills, lost answers of the store, submissions and cancellations: no task starts
 * before its dependencies are done, and no job after a cancelled dependency starts.
 */
class DependencyFailureTest {
    private static JobSpec job(String id, Priority priority, int tasks, int seconds, String... dependencies) {
        return SchedulerHarness.job(id, JobKind.ARRAY, "blue", priority, tasks, seconds)
                .withDependencies(List.of(dependencies));
    }

    /** Submits a diamond and a chain. The test cancels the second job of the chain while its first one runs. */
    private static void submitAll(SchedulerHarness harness) {
        harness.submit(job("wk-a", Priority.LOW, 3, 4));
        harness.submit(job("wk-b", Priority.LOW, 4, 3, "wk-a"));
        harness.submit(job("wk-c", Priority.NORMAL, 2, 5, "wk-a"));
        harness.submit(job("wk-d", Priority.HIGH, 2, 2, "wk-b", "wk-c"));
        harness.submit(job("wk-e", Priority.NORMAL, 2, 20));
        harness.submit(job("wk-f", Priority.NORMAL, 2, 2, "wk-e"));
        harness.submit(job("wk-g", Priority.NORMAL, 2, 2, "wk-f"));
        harness.submit(job("wk-h", Priority.NORMAL, 2, 2, "wk-f", "wk-d"));
    }

    /**
     * Kills the leader at each of 200 interactions with the store. Each row covers a range of interactions, a rate of lost
     * answers, and the limit of writes per transaction, either the original one (16) or a lowered one.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 16", "0, 0.03, 16", "200, 0, 5", "200, 0.03, 5", "100, 0.1, 3"})
    void noTaskStartsBeforeItsDependenciesAtAnyKillPoint(int from, double lostAnswers, int maxWrites) {
        for (int kill = from + 1; kill <= from + 200; kill++) {
            SchedulerHarness harness = new SchedulerHarness(kill, 3, 2048, maxWrites);
            harness.maxWritesPerTransaction = maxWrites;
            harness.maxValueBytes = 2048;
            harness.lostAnswerProbability = lostAnswers;
            harness.killAtInteraction = kill;
            // The first leader writes plain machine names, as production does; the next one writes compressed names.
            harness.startLeader();
            harness.isLayoutMarked = true;
            submitAll(harness);
            harness.run(8 * Micros.SECOND);
            harness.cancel("wk-f");
            // The dependents are cancelled at once, derived from the records alone, since the leader may be dead.
            assertEquals(JobState.CANCELLED, harness.jobCache.state("wk-g"));
            assertEquals(JobState.CANCELLED, harness.jobCache.state("wk-h"));
            harness.run(120 * Micros.SECOND);
            String context = "kill " + kill + " lost " + lostAnswers;
            assertEquals(List.of(), harness.violations, context);
            assertEquals(0, harness.rejectedTransactions, context);
            for (String id : List.of("wk-a", "wk-b", "wk-c", "wk-d", "wk-e")) {
                assertEquals(JobState.DONE, harness.state(id), context + ": " + id);
            }
            for (String id : List.of("wk-f", "wk-g", "wk-h")) {
                assertEquals(0, harness.startsByJob.getOrDefault(id, 0), context + ": " + id);
                // The leader also changes the records to cancelled, for readers that read only those.
                assertEquals(JobState.CANCELLED, harness.state(id), context + ": " + id);
            }
        }
    }

    /** A job that is submitted after its dependencies are done starts as any other job. */
    @Test
    void finishedDependenciesDoNotDelayAJob() {
        SchedulerHarness harness = new SchedulerHarness(1, 3);
        harness.startLeader();
        harness.submit(job("wk-a", Priority.LOW, 3, 4));
        harness.run(20 * Micros.SECOND);
        assertEquals(JobState.DONE, harness.state("wk-a"));
        harness.submit(job("wk-b", Priority.LOW, 2, 4, "wk-a"));
        harness.startLeader();
        harness.run(20 * Micros.SECOND);
        assertEquals(JobState.DONE, harness.state("wk-b"));
        assertEquals(List.of(), harness.violations);
    }

    /** A job that waits for its dependencies uses nothing: no share of the team's limit, no rented machine, no record. */
    @Test
    void waitingJobUsesNoResources() {
        SchedulerHarness harness = new SchedulerHarness(1, 2);
        // Otherwise a record would be written when the idle machine is deleted, which is not under test.
        harness.recordsMachineDeletions = false;
        harness.startLeader();
        harness.submit(job("wk-s", Priority.NORMAL, 1, 300));
        harness.run(15 * Micros.SECOND);
        long revision = harness.revision;
        int machines = harness.workers.size();
        harness.submit(job("wk-w", Priority.PRODUCTION, 2000, 10, "wk-s"));
        harness.run(30 * Micros.SECOND);
        assertEquals(revision + 1, harness.revision, "something was written");
        assertEquals(machines, harness.workers.size());
        assertEquals(0, harness.startsByJob.getOrDefault("wk-w", 0));
        assertTrue(harness.leader.summary(harness.now).contains("awaiting=1"), harness.leader.summary(harness.now));
    }
}
