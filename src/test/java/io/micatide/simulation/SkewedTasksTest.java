package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An array whose tasks take very different times is done all the same: its long tasks are not started over without end. */
class SkewedTasksTest {
    /** So many tasks, the n-th of which runs for 4n + 1 times as long as its user thinks, beside so many tasks of 200 s. */
    @ParameterizedTest
    @CsvSource({"10, 1, 12, 420", "10, 1, 0, 150", "3, 1, 12, 420"})
    void endsAllTheSame(int tasks, int estimate, int others, int seconds) {
        FailoverScenario day = FailoverScenario.atQuota(83, 3, 0);
        day.time.run(3 * Micros.SECOND);
        JobConstraints constraints = new JobConstraints("green", null, null, false, false, true);
        if (others > 0) {
            day.users.submit("batch", others, 200, constraints);
        }
        day.users.skewedJobs.add("wk-" + (others > 0 ? 2 : 1));
        day.users.submit("batch", tasks, estimate, constraints);
        day.time.run(seconds * Micros.SECOND);
        assertEquals(0, day.checker.running(), day.checker.starts() + " starts of " + (tasks + others) + " tasks");
    }
}
