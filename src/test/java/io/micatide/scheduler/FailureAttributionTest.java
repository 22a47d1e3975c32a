package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.TaskState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that failures are attributed to machines or jobs correctly, and that slow machines are detected. */
class FailureAttributionTest {
    /**
     * A machine runs {@code tasks} tasks of a job whose tasks take 10 s elsewhere: {@code outliers} of them have run for {@code longSeconds}, the
     * others for {@code usualSeconds}.
     */
    @ParameterizedTest
    @CsvSource({
        // Two long tasks among 32 do not make a machine slow.
        "32, 2, 25, 11, false",
        // All tasks take 2.5 or 3 times as long as elsewhere.
        "4, 4, 30, 0, true",
        "32, 32, 25, 0, true",
        // Two tasks are too few to judge a machine.
        "2, 2, 40, 0, false",
        // Tasks that have not run longer than expected yet do not count.
        "32, 0, 0, 5, false",
    })
    void slowMachinesAreDetectedFromAllTheirTasks(
            int tasks, int outliers, int longSeconds, int usualSeconds, boolean isSlow) {
        RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
        FailureAttribution attribution = new FailureAttribution(runtimeEstimator);
        Job job = new Job(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0, 0);
        for (int i = 0; i < 10; i++) {
            runtimeEstimator.taskFinished(job, 10 * Micros.SECOND);
        }
        long now = 100 * Micros.SECOND;
        Machine machine = new Machine("i-1", 0);
        for (int i = 0; i < tasks; i++) {
            Placement placement = new Placement(job, i, 1, machine, Placement.Phase.REPORTED, 0);
            placement.state = TaskState.RUNNING;
            placement.runningSinceMicros = now - (i < outliers ? longSeconds : usualSeconds) * Micros.SECOND;
            machine.add(placement);
        }
        assertEquals(isSlow ? List.of(machine) : List.of(), attribution.findSlowMachines(List.of(machine), now));
    }

    /** Each row lists outcomes as job:machine, failures unless marked +, then the jobs and the machines that are quarantined. */
    @ParameterizedTest
    @CsvSource({
        "'a:1', '', ''",
        "'a:1,a:2', 'a', ''",
        // The first tasks of several faulty jobs run on the same machine.
        "'a:1,b:1,a:2,b:3', 'a b', ''",
        "'a:1,b:1,c:1,a:2,b:2,c:2', 'a b c', ''",
        // Failures of jobs that succeed elsewhere count against the machine, also while there are faulty jobs.
        "'+a:2,+b:2,a:1,b:1', '', '1'",
        "'+a:2,a:1,a:1,a:1', '', '1'",
        "'x:1,x:2,+a:2,+b:3,a:1,b:1', 'x', '1'",
        // Several jobs without any success fail on the same machine.
        "'a:1,b:1,c:1,d:1', '', '1'",
        // A success clears the suspicion of both job and machine.
        "'a:1,a:2,+a:3', '', ''",
        "'+a:2,+b:2,a:1,+a:1,b:1', '', ''",
    })
    void distinguishesFaultyMachinesFromFaultyJobs(String outcomes, String jobs, String machines) {
        Map<String, Job> allJobs = new LinkedHashMap<>();
        Map<String, Machine> allMachines = new LinkedHashMap<>();
        for (String name : List.of("1", "2", "3")) {
            allMachines.put(name, new Machine(name, 0));
        }
        FailureAttribution attribution = new FailureAttribution(new RuntimeEstimator());
        for (String outcome : outcomes.split(",")) {
            String[] parts = outcome.replace("+", "").split(":");
            Job job = allJobs.computeIfAbsent(
                    parts[0],
                    k -> new Job(SchedulerHarness.job(k, JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0, 0));
            if (outcome.startsWith("+")) {
                job.markFinished(job.nextPendingTask());
                attribution.taskSucceeded(allMachines.get(parts[1]), job);
            } else {
                attribution.taskFailed(allMachines.get(parts[1]), job, allMachines.values(), Micros.SECOND);
            }
        }
        List<String> quarantinedJobs = new ArrayList<>();
        allJobs.forEach((name, job) -> {
            if (job.quarantined) {
                quarantinedJobs.add(name);
            }
        });
        List<String> quarantinedMachines = new ArrayList<>();
        allMachines.forEach((name, machine) -> {
            if (machine.quarantined) {
                quarantinedMachines.add(name);
            }
        });
        assertEquals(jobs, String.join(" ", quarantinedJobs));
        assertEquals(machines, String.join(" ", quarantinedMachines));
    }

    /**
     * Faulty jobs run together with good ones and a faulty machine. The faulty jobs are only probed, no healthy machine is deleted and none is
     * rented because of them, and the faulty machine is deleted.
     */
    @Test
    void faultyJobsAreOnlyProbed() {
        SchedulerHarness harness = new SchedulerHarness(1, 6);
        harness.faultyMachines.add("i-000002");
        harness.startLeader();
        // Faulty jobs cannot be distinguished from others before their first tasks have failed.
        for (int i = 0; i < 3; i++) {
            harness.faultyJobs.add("wk-9" + i);
            harness.submit(SchedulerHarness.job("wk-9" + i, JobKind.ARRAY, "blue", Priority.NORMAL, 500, 10));
        }
        harness.run(5 * Micros.SECOND);
        harness.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 60, 5));
        harness.submit(SchedulerHarness.job("wk-2", JobKind.ARRAY, "blue", Priority.NORMAL, 60, 5));
        harness.run(5 * Micros.SECOND);
        int machines = harness.workers.size();
        int initialStarts = harness.startsByJob.values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        harness.run(120 * Micros.SECOND);
        assertEquals(JobState.DONE, harness.state("wk-1"));
        assertEquals(JobState.DONE, harness.state("wk-2"));
        int faultyStarts = 0;
        for (String job : harness.faultyJobs) {
            faultyStarts += harness.startsByJob.getOrDefault(job, 0);
        }
        assertTrue(
                faultyStarts <= initialStarts + 3 * 12,
                faultyStarts + " starts of faulty jobs, " + initialStarts + " by any job within 10 s");
        assertTrue(harness.workers.get("i-000002").isDeleted, "the faulty machine was not deleted");
        assertTrue(harness.leader.summary(harness.now).contains("suspect=3"), harness.leader.summary(harness.now));
        assertEquals(machines, harness.workers.size(), "machines were rented for faulty jobs");
    }
}
