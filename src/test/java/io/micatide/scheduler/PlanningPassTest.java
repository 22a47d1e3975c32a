package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that a plan that would examine more machines than its share continues in the next ticks, without delaying
 * urgent jobs.
 */
class PlanningPassTest {
    private static final int MACHINES = 2_000;
    private static final int JOBS = 60;

    private final SchedulerHarness harness = new SchedulerHarness(1, MACHINES);
    private final List<PlacementPlanner> planners = new ArrayList<>();
    private int submittedJobs;

    @BeforeEach
    void startLeaderWithAllMachines() {
        harness.cloudOutage = true;
        harness.plannerFactory = (scheduler, settings, fleet, ledgers, runtimes) -> {
            planners.add(new PlacementPlanner(scheduler, settings, fleet, ledgers, runtimes));
            return planners.get(0);
        };
        harness.startLeader();
        harness.run(3 * Micros.SECOND);
    }

    private String submit(Priority priority) {
        String id = "wk-" + submittedJobs++;
        harness.submit(SchedulerHarness.job(id, JobKind.ARRAY, "blue", priority, 1, 100));
        return id;
    }

    /** Returns the jobs with pending tasks after a tick without heartbeats. */
    private List<String> pendingJobsAfterTick() {
        harness.now += SchedulerHarness.STEP_MICROS;
        harness.leader.tick(harness.now);
        return planners.get(0).queue().order(harness.now).stream()
                .map(queued -> queued.job().id())
                .toList();
    }

    @Test
    void truncatedPlanContinuesInTheNextTicks() {
        for (int i = 0; i < JOBS; i++) {
            submit(Priority.NORMAL);
        }
        int before = JOBS;
        int ticks = 0;
        while (before > 0 && ticks++ < 20) {
            int waiting = pendingJobsAfterTick().size();
            assertTrue(waiting < before, "no progress in tick " + ticks);
            assertTrue(before - waiting < JOBS / 2, before - waiting + " of " + JOBS + " in one tick");
            before = waiting;
        }
        assertEquals(0, before);
        assertEquals(ticks - 1, planners.get(0).truncatedPlans());
    }

    @Test
    void highPriorityIsPlacedFirstInATruncatedPass() {
        for (int i = 0; i < JOBS; i++) {
            submit(Priority.NORMAL);
        }
        assertTrue(pendingJobsAfterTick().size() > JOBS / 2);
        String urgent = submit(Priority.HIGH);
        assertEquals(false, pendingJobsAfterTick().contains(urgent));
    }

    /**
     * Gangs of many classes that fit nowhere precede the arrays in every plan, and each of them costs a scan over all
     * machines.
     */
    @Test
    void unschedulableJobsDelayNoOthers() {
        for (int i = 0; i < JOBS; i++) {
            harness.submit(tooLarge(i));
        }
        for (int i = 0; i < JOBS; i++) {
            submit(Priority.NORMAL);
        }
        List<String> waiting = List.of();
        for (int tick = 0; tick < 14; tick++) {
            waiting = pendingJobsAfterTick();
        }
        assertEquals(JOBS, waiting.size());
        assertTrue(waiting.stream().allMatch(id -> id.startsWith("wk-large")), waiting.toString());
    }

    private static JobSpec tooLarge(int number) {
        return new JobSpec(
                "wk-large" + number,
                "class",
                "blue",
                JobKind.GANG,
                Priority.HIGH,
                MACHINES + 1,
                Resources.of(8, 0, 8 + 0.1 * number),
                "img-1",
                1,
                List.of(),
                null,
                false,
                false,
                true,
                Micros.SECOND,
                0,
                0,
                -1);
    }

    @Test
    void eachPlanPlacesAtLeastOneJob() {
        PlanningPass pass = new PlanningPass(0);
        Job job = new Job(SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 1, 1), 1, 0, 0, 0);
        pass.beginPlan(5_000);
        assertEquals(false, pass.hasReachedLimit(9_000));
        pass.markVisited(job);
        assertEquals(true, pass.hasReachedLimit(9_000));
        pass.beginPlan(9_000);
        assertEquals(false, pass.isPending(job));
        assertEquals(false, pass.hasReachedLimit(12_000));
        pass.completePass();
        assertEquals(true, pass.isPending(job));
    }
}
