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

class RuntimeEstimatorTest {
    /** The owner says 10 s; so many tasks ran for so long; what is expected then, to the second. */
    @ParameterizedTest
    @CsvSource({"0, 0, 10", "2, 30, 20", "18, 30, 28", "18, 3, 4"})
    void aJobsOwnTasksCorrectItsEstimate(int tasks, int seconds, long expected) {
        RuntimeEstimator runTimes = new RuntimeEstimator();
        Job job = new Job(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0, 0);
        for (int i = 0; i < tasks; i++) {
            runTimes.taskFinished(job, seconds * Micros.SECOND);
        }
        assertEquals(expected, runTimes.expectedMicros(job) / Micros.SECOND, 1.0);
        assertTrue(runTimes.slowestMicros(job) > runTimes.expectedMicros(job));
    }

    /** After a take-over a running task looks younger than it is; three take-overs a day once halved the estimates. */
    @Test
    void whatANewLeaderFindsRunningTeachesNothing() {
        SchedulerHarness world = new SchedulerHarness(1, 2);
        world.takeOver();
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 4, 20));
        world.run(18 * Micros.SECOND);
        world.takeOver();
        world.run(Micros.SECOND * 30);
        assertEquals(JobState.DONE, world.state("wk-1"));
        List<String> lines = world.leader.takeCompletionLines(world.now);
        assertTrue(lines.get(0).contains("20.0 s expected"), lines.get(0));
    }
}
