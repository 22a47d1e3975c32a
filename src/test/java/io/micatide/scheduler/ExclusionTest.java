package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.TaskState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines are excluded from placement after failures, and every such exclusion ends: there may be no other machine. */
class ExclusionTest {
    /** "No job is left waiting for 90 s while a machine that fits has room." */
    private static final int MAX_WAIT_SECONDS = 90;

    private static JobSpec job(String id, JobKind kind, int tasks, String zone, Resources resources) {
        return new JobSpec(
                id,
                "class",
                "blue",
                kind,
                Priority.NORMAL,
                tasks,
                resources,
                "img-1",
                1,
                List.of(),
                zone,
                false,
                false,
                kind == JobKind.ARRAY,
                2 * Micros.SECOND,
                0,
                0,
                -1);
    }

    private static boolean hasRun(SchedulerHarness harness, String id) {
        if (harness.specs.get(id).kind() != JobKind.SERVICE) {
            return harness.state(id) == JobState.DONE;
        }
        long replicas = harness.workers.values().stream()
                .flatMap(worker -> worker.tasks.values().stream())
                .filter(task -> task.job.equals(id) && task.state() == TaskState.RUNNING)
                .count();
        return replicas == harness.specs.get(id).taskCount();
    }

    /**
     * Tasks of jobs fail for some seconds on all machines of their zone. A replica runs on each machine, so that none is idle and deleted.
     *
     * <p>Guards against jobs that wait without end beside free machines on which they failed once.
     */
    @ParameterizedTest
    @CsvSource({
        // kind, tasks, machines in the zone, jobs, seconds with failures, whether the cloud has more machines, whether
        // the leader changes
        "ARRAY, 1, 1, 1, 3, false, false",
        "ARRAY, 1, 1, 1, 3, true, false",
        "ARRAY, 1, 1, 1, 3, false, true",
        "ARRAY, 1, 1, 1, 200, false, false",
        "ARRAY, 3, 1, 1, 3, false, false",
        "GANG, 2, 1, 1, 3, false, false",
        "GANG, 2, 1, 1, 100, false, false",
        "SERVICE, 1, 1, 1, 3, false, false",
        "SERVICE, 2, 1, 1, 60, false, false",
        // The jobs are quarantined, since they failed on several machines.
        "ARRAY, 1, 3, 1, 30, false, false",
        "ARRAY, 1, 3, 1, 200, false, true",
        "ARRAY, 5, 5, 1, 60, false, false",
        "GANG, 2, 2, 1, 60, false, false",
        "SERVICE, 2, 3, 1, 60, false, false",
        // The machine is quarantined, since several jobs without any success failed on it.
        "ARRAY, 1, 1, 6, 3, false, false",
        "ARRAY, 1, 1, 6, 100, false, false",
        "ARRAY, 1, 1, 6, 30, false, true",
        "GANG, 2, 1, 5, 30, false, false",
    })
    void aJobIsTriedAgainWhereItFailed(
            JobKind kind,
            int tasks,
            int machines,
            int jobs,
            int failureSeconds,
            boolean cloudHasMachines,
            boolean leaderChanges) {
        SchedulerHarness harness = new SchedulerHarness(1, 2 * machines);
        harness.maxWorkers = cloudHasMachines ? 40 : 2 * machines;
        harness.startLeader();
        harness.submit(job("wk-r", JobKind.SERVICE, 2 * machines, null, Resources.of(5, 0, 1)));
        harness.run(5 * Micros.SECOND);
        assertTrue(hasRun(harness, "wk-r"));
        List<String> ids = new ArrayList<>();
        for (int number = 0; number < jobs; number++) {
            ids.add("wk-" + number);
        }
        harness.faultyJobs.addAll(ids);
        ids.forEach(id -> harness.submit(job(id, kind, tasks, "a", Resources.of(1, 0, 1))));
        harness.run(failureSeconds * Micros.SECOND);
        assertTrue(ids.stream().anyMatch(harness.startsByJob::containsKey), "no task failed");
        harness.faultyJobs.clear();
        if (leaderChanges) {
            harness.killAtInteraction = harness.interactions + 1;
        }
        List<String> waiting = new ArrayList<>(ids);
        for (int second = 0; second < MAX_WAIT_SECONDS; second++) {
            waiting.removeIf(id -> hasRun(harness, id));
            harness.run(Micros.SECOND);
        }
        assertEquals(List.of(), waiting, harness.leader.summary(harness.now));
        assertEquals(List.of(), harness.violations);
    }

    /** A job whose only machine fails again and again is tried on a machine that is rented for it. */
    @Test
    void aMachineIsRentedForAJobThatFailsOnItsOnlyMachine() {
        SchedulerHarness harness = new SchedulerHarness(1, 2);
        harness.startLeader();
        harness.faultyMachines.add("i-000001");
        harness.submit(job("wk-1", JobKind.ARRAY, 1, "a", Resources.of(1, 0, 1)));
        harness.run(MAX_WAIT_SECONDS * Micros.SECOND);
        assertEquals(JobState.DONE, harness.state("wk-1"), harness.leader.summary(harness.now));
    }

    /** Guards against a quarantined job for which no machine is ever rented, after those on which it failed are gone. */
    @ParameterizedTest
    @CsvSource({"ARRAY, 1", "GANG, 2", "SERVICE, 1"})
    void aQuarantinedJobGetsAMachineWhenThereIsNone(JobKind kind, int tasks) {
        SchedulerHarness harness = new SchedulerHarness(1, 4);
        harness.startLeader();
        harness.faultyJobs.add("wk-1");
        harness.submit(job("wk-1", kind, tasks, "a", Resources.of(5, 0, 1)));
        harness.run(20 * Micros.SECOND);
        assertTrue(harness.leader.summary(harness.now).contains("suspect=1"), harness.leader.summary(harness.now));
        harness.faultyJobs.clear();
        harness.workers.values().stream()
                .filter(worker -> worker.zone.equals("a"))
                .forEach(worker -> {
                    worker.isDeleted = true;
                    worker.tasks.clear();
                });
        harness.run(3 * MAX_WAIT_SECONDS * Micros.SECOND);
        assertTrue(hasRun(harness, "wk-1"), harness.leader.summary(harness.now));
    }

    /** Guards against a machine that counts as slow for as long as tasks on it take, and is closed to all arrays meanwhile. */
    @Test
    void longTasksDoNotExcludeAMachineWithoutEnd() {
        RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
        FailureAttribution attribution = new FailureAttribution(runtimeEstimator);
        Job job = new Job(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0, 0);
        for (int i = 0; i < 10; i++) {
            runtimeEstimator.taskFinished(job, 10 * Micros.SECOND);
        }
        Machine machine = new Machine("i-1", 0);
        for (int i = 0; i < 4; i++) {
            Placement placement = new Placement(job, i, 1, machine, Placement.Phase.REPORTED, 0);
            placement.state = TaskState.RUNNING;
            placement.runningSinceMicros = 100 * Micros.SECOND;
            machine.add(placement);
        }
        int excludedSeconds = 0;
        for (int second = 100; second < 1_000; second++) {
            attribution.findSlowMachines(List.of(machine), second * Micros.SECOND);
            excludedSeconds += machine.slowUntilMicros >= second * Micros.SECOND ? 1 : 0;
        }
        assertTrue(excludedSeconds > 0 && excludedSeconds < MAX_WAIT_SECONDS, excludedSeconds + " s");
    }

    @Test
    void exclusionsGrowUpToAMinuteAndEndWithASuccess() {
        FailedMachines failed = new FailedMachines();
        long now = 0;
        for (int seconds : new int[] {15, 30, 60, 60, 60}) {
            failed.add("i-1", now);
            failed.add("i-1", now + Micros.SECOND);
            assertTrue(failed.isExcluded("i-1", now + seconds * Micros.SECOND - 1));
            assertTrue(failed.excludesAny(now));
            now += seconds * Micros.SECOND;
            assertFalse(failed.isExcluded("i-1", now));
            assertFalse(failed.excludesAny(now));
            assertEquals(1, failed.size());
        }
        failed.add("i-1", now);
        failed.remove("i-1");
        assertFalse(failed.isExcluded("i-1", now));
        failed.add("i-2", now);
        failed.removeOld(now + 60 * Micros.SECOND);
        assertEquals(1, failed.size());
        failed.removeOld(now + 75 * Micros.SECOND);
        assertTrue(failed.isEmpty());
    }
}
