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
import java.util.Random;
import org.junit.jupiter.api.Test;

/** On random fleets the planner decides what the former one decides: the same commands, transactions and calls to the cloud in the same order. */
class PlacementReferenceTest {
    /** Long runs outside CI: {@code -Dmicatide.fleets=20000}. */
    private static final int FLEETS = Integer.getInteger("micatide.fleets", 150);

    private static final int SECONDS = 90;
    private static final List<JobKind> KINDS = List.of(JobKind.ARRAY, JobKind.ARRAY, JobKind.GANG, JobKind.SERVICE);

    /** Few, so that many jobs ask for the same. */
    private static final List<Resources> TASK_RESOURCES =
            List.of(Resources.of(1, 0, 4), Resources.of(2, 0, 30), Resources.of(3, 0, 8), Resources.of(8, 0, 16));

    /** Jobs of all kinds, classes, teams and limits on where they may go. */
    static JobSpec randomJob(Random random, int number) {
        JobKind kind = KINDS.get(random.nextInt(KINDS.size()));
        boolean oneZone = random.nextInt(5) == 0;
        boolean saves = random.nextInt(3) == 0 && kind != JobKind.SERVICE;
        return new JobSpec(
                "wk-" + number,
                "class-" + random.nextInt(3),
                random.nextBoolean() ? "red" : "blue",
                kind,
                Priority.values()[random.nextInt(4)],
                1 + random.nextInt(kind == JobKind.ARRAY ? 30 : 4),
                TASK_RESOURCES.get(random.nextInt(TASK_RESOURCES.size())),
                "img-" + random.nextInt(4),
                random.nextInt(5),
                List.of(),
                random.nextInt(4) == 0 ? (random.nextBoolean() ? "a" : "b") : null,
                oneZone,
                !oneZone && random.nextInt(5) == 0,
                random.nextBoolean(),
                (2 + random.nextInt(30)) * Micros.SECOND,
                saves ? 2 * Micros.SECOND : 0,
                saves ? Micros.SECOND : 0,
                random.nextBoolean() ? (10 + random.nextInt(60)) * Micros.SECOND : -1,
                number > 0 && random.nextInt(6) == 0 ? List.of("wk-" + random.nextInt(number)) : List.of());
    }

    private static List<String> runScenario(long seed, SchedulerComponents.PlannerFactory planners) {
        Random random = new Random(seed);
        SchedulerHarness world = new SchedulerHarness(seed, 2 + random.nextInt(12));
        List<String> decisions = new ArrayList<>();
        world.plannerFactory = planners;
        world.decisionListener = decisions::add;
        world.lostAnswerProbability = random.nextInt(3) == 0 ? 0.02 : 0;
        world.killAtInteraction = random.nextInt(3) == 0 ? 200 + random.nextInt(600) : -1;
        world.cloudOutage = random.nextBoolean();
        world.startLeader();
        for (int second = 0; second < SECONDS; second++) {
            for (int more = random.nextInt(3); more > 0 && second < SECONDS / 2; more--) {
                world.submit(randomJob(random, world.specs.size()));
            }
            if (random.nextInt(10) == 0 && !world.specs.isEmpty()) {
                world.cancel("wk-" + random.nextInt(world.specs.size()));
            }
            if (random.nextInt(15) == 0) {
                world.faultyMachines.add("i-00000" + random.nextInt(9));
            }
            if (random.nextInt(20) == 0) {
                world.faultyJobs.add("wk-" + random.nextInt(40));
            }
            world.run(Micros.SECOND);
        }
        return decisions;
    }

    private static String shortened(String decision) {
        return decision.substring(0, Math.min(200, decision.length()));
    }

    @Test
    void decidesAsTheReferencePlannerDoes() {
        List<String> differ = new ArrayList<>();
        int starts = 0;
        int stops = 0;
        for (long seed = 0; seed < FLEETS; seed++) {
            List<String> expected = runScenario(seed, ReferencePlacementPlanner::new);
            List<String> actual = runScenario(seed, PlacementPlanner::new);
            for (int i = 0; i < Math.max(expected.size(), actual.size()); i++) {
                String old = i < expected.size() ? expected.get(i) : "nothing";
                String now = i < actual.size() ? actual.get(i) : "nothing";
                if (!old.equals(now)) {
                    differ.add("fleet " + seed + " decision " + i + ": " + shortened(old) + " and " + shortened(now));
                    break;
                }
            }
            starts += (int)
                    actual.stream().filter(each -> each.contains("Start[")).count();
            stops +=
                    (int) actual.stream().filter(each -> each.contains("Stop[")).count();
        }
        assertEquals(List.of(), differ);
        assertTrue(
                starts > 20 * FLEETS && stops > 5 * FLEETS, starts + " answers start and " + stops + " stop something");
    }
}
