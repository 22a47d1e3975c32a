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

/** How many machines a plan examines follows from what changed, not from how many machines and waiting jobs there are. */
class PlanningCostTest {
    private static final int GANGS = 600;
    private static final int TASKS_PER_MACHINE = 4;
    private static final int TASKS_PER_JOB = 700;
    private static final int TICKS = 50;

    /** Machines full of arrays that run on, and gangs that each want whole machines of which there are none. */
    private static SchedulerHarness harnessWithFullMachines(int machines, Priority gangs, boolean arraysSave) {
        SchedulerHarness world = new SchedulerHarness(1, machines);
        world.cloudOutage = true;
        world.marked = true;
        world.takeOver();
        int wanted = machines * TASKS_PER_MACHINE;
        for (int job = 0; job * TASKS_PER_JOB < wanted; job++) {
            world.submit(array(job, Math.min(TASKS_PER_JOB, wanted - job * TASKS_PER_JOB), arraysSave));
        }
        for (int second = 0; second < 120 && world.starts < wanted; second++) {
            world.run(Micros.SECOND);
        }
        assertEquals(wanted, world.starts);
        for (int gang = 0; gang < GANGS; gang++) {
            world.submit(gang(gang, gangs));
        }
        world.run(3 * Micros.SECOND);
        return world;
    }

    private static JobSpec array(int number, int tasks, boolean saves) {
        long second = Micros.SECOND;
        return spec("wk-a" + number, JobKind.ARRAY, Priority.NORMAL, tasks, 2, saves ? second : 0);
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

    private static long machinesExaminedPerPlan(int machines, Priority gangs, boolean arraysSave) {
        SchedulerHarness world = harnessWithFullMachines(machines, gangs, arraysSave);
        long before = world.leader.machinesExamined();
        world.run(TICKS * SchedulerHarness.STEP);
        assertEquals(machines * TASKS_PER_MACHINE, world.starts, "a gang was placed");
        return (world.leader.machinesExamined() - before) / TICKS;
    }

    /** Each waiting gang once cost a walk over all machines: 1,680,000 were examined in a plan at 2,800 machines. */
    @ParameterizedTest
    @CsvSource({
        // gangs' priority, whether the arrays around them write checkpoints
        "NORMAL, false",
        "HIGH, true",
    })
    void waitingGangsCostNoFullScans(Priority gangs, boolean arraysSave) {
        long small = machinesExaminedPerPlan(350, gangs, arraysSave);
        for (int machines : new int[] {700, 1_400, 2_800}) {
            long examined = machinesExaminedPerPlan(machines, gangs, arraysSave);
            assertTrue(
                    examined <= 2 * small + 10,
                    examined + " examined at " + machines + " machines, " + small + " at 350");
        }
    }
}
