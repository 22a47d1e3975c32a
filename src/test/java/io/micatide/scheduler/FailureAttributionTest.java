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

class FailureAttributionTest {
    /**
     * A machine with tasks of a job whose tasks take 10 s elsewhere: so many run there, the longest {@code outliers} for
     * {@code long} seconds and the others for {@code usual}.
     */
    @ParameterizedTest
    @CsvSource({
        // Two in 32 that take long by themselves do not make a machine slow.
        "32, 2, 25, 11, false",
        // All take three times as long.
        "4, 4, 30, 0, true",
        "32, 32, 25, 0, true",
        // Too few to tell.
        "2, 2, 40, 0, false",
        // Young tasks say nothing yet.
        "32, 0, 0, 5, false",
    })
    void aMachineIsJudgedByAllItsTasks(int tasks, int outliers, int longSeconds, int usualSeconds, boolean slow) {
        RuntimeEstimator runTimes = new RuntimeEstimator();
        FailureAttribution health = new FailureAttribution(runTimes);
        Job job = new Job(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0, 0);
        for (int i = 0; i < 10; i++) {
            runTimes.taskFinished(job, 10 * Micros.SECOND);
        }
        long now = 100 * Micros.SECOND;
        Machine machine = new Machine("i-1", 0);
        for (int i = 0; i < tasks; i++) {
            Placement placement = new Placement(job, i, 1, machine, Placement.Phase.REPORTED, 0);
            placement.state = TaskState.RUNNING;
            placement.runningSinceMicros = now - (i < outliers ? longSeconds : usualSeconds) * Micros.SECOND;
            machine.add(placement);
        }
        assertEquals(slow ? List.of(machine) : List.of(), health.findSlowMachines(List.of(machine), now));
    }

    /** Each row plays outcomes as job:machine, failed unless marked +, and says which jobs and machines are suspected. */
    @ParameterizedTest
    @CsvSource({
        "'a:1', '', ''",
        "'a:1,a:2', 'a', ''",
        // The first tasks of several faulty jobs met on one machine.
        "'a:1,b:1,a:2,b:3', 'a b', ''",
        "'a:1,b:1,c:1,a:2,b:2,c:2', 'a b c', ''",
        // Jobs that succeed elsewhere accuse the machine, also while faulty jobs are about.
        "'+a:2,+b:2,a:1,b:1', '', '1'",
        "'+a:2,a:1,a:1,a:1', '', '1'",
        "'x:1,x:2,+a:2,+b:3,a:1,b:1', 'x', '1'",
        // Of nothing that fails here is it known whether it works.
        "'a:1,b:1,c:1,d:1', '', '1'",
        // A success acquits both.
        "'a:1,a:2,+a:3', '', ''",
        "'+a:2,+b:2,a:1,+a:1,b:1', '', ''",
    })
    void tellsFaultyMachinesFromFaultyJobs(String outcomes, String jobs, String machines) {
        Map<String, Job> allJobs = new LinkedHashMap<>();
        Map<String, Machine> allMachines = new LinkedHashMap<>();
        for (String name : List.of("1", "2", "3")) {
            allMachines.put(name, new Machine(name, 0));
        }
        FailureAttribution health = new FailureAttribution(new RuntimeEstimator());
        for (String outcome : outcomes.split(",")) {
            String[] part = outcome.replace("+", "").split(":");
            Job job = allJobs.computeIfAbsent(
                    part[0],
                    k -> new Job(SchedulerHarness.job(k, JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0, 0));
            if (outcome.startsWith("+")) {
                job.markFinished(job.nextPendingTask());
                health.taskSucceeded(allMachines.get(part[1]), job);
            } else {
                health.taskFailed(allMachines.get(part[1]), job, allMachines.values(), Micros.SECOND);
            }
        }
        List<String> suspects = new ArrayList<>();
        allJobs.forEach((name, job) -> {
            if (job.quarantined) {
                suspects.add(name);
            }
        });
        List<String> drained = new ArrayList<>();
        allMachines.forEach((name, machine) -> {
            if (machine.quarantined) {
                drained.add(name);
            }
        });
        assertEquals(jobs, String.join(" ", suspects));
        assertEquals(machines, String.join(" ", drained));
    }

    /**
     * Faulty jobs beside a good one and a faulty machine: no healthy machine is returned and none is rented for them, they
     * are only probed, and the faulty machine goes.
     */
    @Test
    void faultyJobsAreOnlyProbed() {
        SchedulerHarness world = new SchedulerHarness(1, 6);
        world.faultyMachines.add("i-000002");
        world.takeOver();
        // Until the first of them failed they look like any other job.
        for (int i = 0; i < 3; i++) {
            world.faultyJobs.add("wk-9" + i);
            world.submit(SchedulerHarness.job("wk-9" + i, JobKind.ARRAY, "blue", Priority.NORMAL, 500, 10));
        }
        world.run(5 * Micros.SECOND);
        world.submit(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 60, 5));
        world.submit(SchedulerHarness.job("wk-2", JobKind.ARRAY, "blue", Priority.NORMAL, 60, 5));
        world.run(5 * Micros.SECOND);
        int machines = world.workers.size();
        int first = world.startsOf.values().stream().mapToInt(Integer::intValue).sum();
        world.run(120 * Micros.SECOND);
        assertEquals(JobState.DONE, world.state("wk-1"));
        assertEquals(JobState.DONE, world.state("wk-2"));
        int faulty = 0;
        for (String job : world.faultyJobs) {
            faulty += world.startsOf.getOrDefault(job, 0);
        }
        assertTrue(faulty <= first + 3 * 12, faulty + " starts of faulty jobs, " + first + " of them at first");
        assertTrue(world.workers.get("i-000002").deleted, "the faulty machine is kept");
        assertTrue(world.leader.summary(world.now).contains("suspect=3"), world.leader.summary(world.now));
        assertEquals(machines, world.workers.size(), "machines were rented for faulty jobs");
    }
}
