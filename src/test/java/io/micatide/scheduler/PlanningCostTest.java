package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the number of machines a plan examines depends on what changed, not on the number of machines and pending
 * jobs.
 */
class PlanningCostTest {
    private static final int GANGS = 600;
    private static final int TASKS_PER_MACHINE = 4;
    private static final int TASKS_PER_JOB = 700;
    private static final int TICKS = 50;

    /**
     * Returns a harness with machines full of long-running arrays, and pending gangs whose tasks each need a whole free
     * machine, of which there are none.
     */
    private static SchedulerHarness harnessWithFullMachines(
            int machines, Priority gangPriority, boolean arraysCheckpoint) {
        SchedulerHarness harness = new SchedulerHarness(1, machines);
        harness.cloudOutage = true;
        harness.isLayoutMarked = true;
        harness.startLeader();
        int expectedStarts = machines * TASKS_PER_MACHINE;
        for (int job = 0; job * TASKS_PER_JOB < expectedStarts; job++) {
            harness.submit(array(job, Math.min(TASKS_PER_JOB, expectedStarts - job * TASKS_PER_JOB), arraysCheckpoint));
        }
        for (int second = 0; second < 120 && harness.starts < expectedStarts; second++) {
            harness.run(Micros.SECOND);
        }
        assertEquals(expectedStarts, harness.starts);
        for (int gang = 0; gang < GANGS; gang++) {
            harness.submit(gang(gang, gangPriority));
        }
        harness.run(3 * Micros.SECOND);
        return harness;
    }

    private static JobSpec array(int number, int tasks, boolean checkpoints) {
        long second = Micros.SECOND;
        return spec("wk-a" + number, JobKind.ARRAY, Priority.NORMAL, tasks, 2, checkpoints ? second : 0);
    }

    private static JobSpec gang(int number, Priority priority) {
        return spec("wk-g" + number, JobKind.GANG, priority, 4, 8, 0);
    }

    private static JobSpec spec(String id, JobKind kind, Priority priority, int tasks, int cpus, long checkpoint) {
        return new JobSpec(
                id,
                "class",
                "blue",
                kind,
                priority,
                tasks,
                Resources.of(cpus, 0, 8),
                "img-1",
                1,
                List.of(),
                null,
                false,
                false,
                true,
                100_000 * Micros.SECOND,
                checkpoint,
                checkpoint,
                -1);
    }

    private static long machinesExaminedPerPlan(int machines, Priority gangPriority, boolean arraysCheckpoint) {
        SchedulerHarness harness = harnessWithFullMachines(machines, gangPriority, arraysCheckpoint);
        long before = harness.leader.machinesExamined();
        harness.run(TICKS * SchedulerHarness.STEP_MICROS);
        assertEquals(machines * TASKS_PER_MACHINE, harness.starts, "a gang was placed");
        return (harness.leader.machinesExamined() - before) / TICKS;
    }

    /**
     * Guards against a scan over all machines per pending gang, which examined 1,680,000 machines in one plan at 2,800
     * machines.
     */
    @ParameterizedTest
    @CsvSource({
        // priority of the gangs, whether the arrays write checkpoints
        "NORMAL, false",
        "HIGH, true",
    })
    void pendingGangsCauseNoFullScans(Priority gangPriority, boolean arraysCheckpoint) {
        long small = machinesExaminedPerPlan(350, gangPriority, arraysCheckpoint);
        for (int machines : new int[] {700, 1_400, 2_800}) {
            long examined = machinesExaminedPerPlan(machines, gangPriority, arraysCheckpoint);
            assertTrue(
                    examined <= 2 * small + 10,
                    examined + " examined at " + machines + " machines, " + small + " at 350");
        }
    }
}
