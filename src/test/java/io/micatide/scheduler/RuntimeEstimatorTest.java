package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the estimates of run times, and what they are learned from. */
class RuntimeEstimatorTest {
    /** The owner's estimate is 10 s and {@code tasks} tasks ran for {@code seconds}; the expected run time is checked within 1 s. */
    @ParameterizedTest
    @CsvSource({"0, 0, 10", "2, 30, 20", "18, 30, 28", "18, 3, 4"})
    void completedTasksCorrectTheEstimate(int tasks, int seconds, long expected) {
        RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
        Job job = new Job(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0, 0);
        for (int i = 0; i < tasks; i++) {
            runtimeEstimator.taskFinished(job, seconds * Micros.SECOND);
        }
        assertEquals(expected, runtimeEstimator.expectedMicros(job) / Micros.SECOND, 1.0);
        assertTrue(runtimeEstimator.slowestMicros(job) > runtimeEstimator.expectedMicros(job));
    }

    /**
     * A new leader does not know how long a task that it finds running has run, and would take too short a run time as a sample: three failovers a
     * day halved the estimates.
     */
    @Test
    void tasksFoundRunningAtFailoverAreNotSampled() {
        SchedulerHarness harness = new SchedulerHarness(1, 2);
        harness.startLeader();
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 4, 20));
        harness.run(18 * Micros.SECOND);
        harness.startLeader();
        harness.run(Micros.SECOND * 30);
        assertEquals(JobState.DONE, harness.state("wk-1"));
        List<String> completions = harness.leader.takeCompletionLines(harness.now);
        assertTrue(completions.get(0).contains("20.0 s expected"), completions.get(0));
    }
}
