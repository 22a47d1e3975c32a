package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DeadlineFeasibilityTest {
    /**
     * Jobs as `tasks x seconds @ due`, and what one counts for if not 1, one processor a task; says which can be on time,
     * earliest start first.
     */
    @ParameterizedTest
    @CsvSource({
        // Everything fits.
        "10, '10x10@30,10x10@40', '30 40'",
        // The largest is given up so that the two others make it.
        "10, '10x10@20,40x10@25,10x10@30', '20 30'",
        // A task that is longer than what is left can't be on time on any number of processors.
        "100, '1x50@40,1x10@40', 40",
        "0, '1x1@40', ''",
        // A job of a rare class counts for as much as the many that would have to go for it.
        "10, '10x10@20,40x10@50@5,10x10@55', '50 55'",
    })
    void dropsTheLargestJobWhenNotAllAreFeasible(double cpus, String jobs, String onTime) {
        List<DeadlineFeasibility.JobEstimate> entries = new ArrayList<>();
        for (String each : jobs.split(",")) {
            String[] part = each.split("[x@]");
            int tasks = Integer.parseInt(part[0]);
            long length = Integer.parseInt(part[1]) * Micros.SECOND;
            Job job = new Job(
                    SchedulerHarness.job("wk-" + each, JobKind.ARRAY, "blue", Priority.NORMAL, tasks, 1), 1, 0, 0, 0);
            entries.add(new DeadlineFeasibility.JobEstimate(
                    job,
                    (double) tasks * length,
                    length,
                    Integer.parseInt(part[2]) * Micros.SECOND,
                    part.length > 3 ? Integer.parseInt(part[3]) : 1));
        }
        List<String> kept = new ArrayList<>();
        for (DeadlineFeasibility.JobEstimate entry : DeadlineFeasibility.markFeasible(entries, cpus, 0)) {
            if (entry.isFeasible) {
                kept.add(String.valueOf(entry.dueMicros / Micros.SECOND));
            }
        }
        assertEquals(onTime, String.join(" ", kept));
    }
}
