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
     * Jobs are `tasks x seconds @ due @ weight`, the weight being 1 if absent, with one CPU per task. The expected result
     * lists the due times of the jobs that can finish on time, by latest start.
     */
    @ParameterizedTest
    @CsvSource({
        // Everything fits.
        "10, '10x10@30,10x10@40', '30 40'",
        // The largest job is deferred so that the two others are on time.
        "10, '10x10@20,40x10@25,10x10@30', '20 30'",
        // A task that runs longer than the time left cannot be on time with any number of CPUs.
        "100, '1x50@40,1x10@40', 40",
        "0, '1x1@40', ''",
        // A job of a class with few jobs weighs as much as the several that would be deferred instead.
        "10, '10x10@20,40x10@50@5,10x10@55', '50 55'",
    })
    void dropsTheLargestJobWhenNotAllAreFeasible(double cpus, String jobs, String onTime) {
        List<DeadlineFeasibility.JobEstimate> estimates = new ArrayList<>();
        for (String description : jobs.split(",")) {
            String[] fields = description.split("[x@]");
            int tasks = Integer.parseInt(fields[0]);
            long taskMicros = Integer.parseInt(fields[1]) * Micros.SECOND;
            Job job = new Job(
                    SchedulerHarness.job("wk-" + description, JobKind.ARRAY, "blue", Priority.NORMAL, tasks, 1),
                    1,
                    0,
                    0,
                    0);
            estimates.add(new DeadlineFeasibility.JobEstimate(
                    job,
                    (double) tasks * taskMicros,
                    taskMicros,
                    Integer.parseInt(fields[2]) * Micros.SECOND,
                    fields.length > 3 ? Integer.parseInt(fields[3]) : 1));
        }
        List<String> feasibleDueTimes = new ArrayList<>();
        for (DeadlineFeasibility.JobEstimate estimate : DeadlineFeasibility.markFeasible(estimates, cpus, 0)) {
            if (estimate.isFeasible) {
                feasibleDueTimes.add(String.valueOf(estimate.dueMicros / Micros.SECOND));
            }
        }
        assertEquals(onTime, String.join(" ", feasibleDueTimes));
    }
}
