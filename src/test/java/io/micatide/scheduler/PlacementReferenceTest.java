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

/**
 * On random fleets the planner makes the same decisions as the reference planner: the same commands, transactions and cloud
 * calls in the same order. Guards against the index of free capacity changing a decision.
 */
class PlacementReferenceTest {
    /** Number of random fleets; more can be run outside CI with {@code -Dmicatide.fleets=20000}. */
    private static final int FLEETS = Integer.getInteger("micatide.fleets", 150);

    private static final int SECONDS = 90;
    private static final List<JobKind> KINDS = List.of(JobKind.ARRAY, JobKind.ARRAY, JobKind.GANG, JobKind.SERVICE);

    /** Only a few different values, so that many jobs request the same resources. */
    private static final List<Resources> TASK_RESOURCES =
            List.of(Resources.of(1, 0, 4), Resources.of(2, 0, 30), Resources.of(3, 0, 8), Resources.of(8, 0, 16));

    /** Returns a random job: any kind, class, team, priority and placement constraints. */
    static JobSpec randomJob(Random random, int number) {
        JobKind kind = KINDS.get(random.nextInt(KINDS.size()));
        boolean singleZone = random.nextInt(5) == 0;
        boolean hasCheckpoints = random.nextInt(3) == 0 && kind != JobKind.SERVICE;
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
                singleZone,
                !singleZone && random.nextInt(5) == 0,
                random.nextBoolean(),
                (2 + random.nextInt(30)) * Micros.SECOND,
                hasCheckpoints ? 2 * Micros.SECOND : 0,
                hasCheckpoints ? Micros.SECOND : 0,
                random.nextBoolean() ? (10 + random.nextInt(60)) * Micros.SECOND : -1,
                number > 0 && random.nextInt(6) == 0 ? List.of("wk-" + random.nextInt(number)) : List.of());
    }

    private static List<String> runScenario(long seed, SchedulerComponents.PlannerFactory plannerFactory) {
        Random random = new Random(seed);
        SchedulerHarness harness = new SchedulerHarness(seed, 2 + random.nextInt(12));
        List<String> decisions = new ArrayList<>();
        harness.plannerFactory = plannerFactory;
        harness.decisionListener = decisions::add;
        harness.lostAnswerProbability = random.nextInt(3) == 0 ? 0.02 : 0;
        harness.killAtInteraction = random.nextInt(3) == 0 ? 200 + random.nextInt(600) : -1;
        harness.cloudOutage = random.nextBoolean();
        harness.startLeader();
        for (int second = 0; second < SECONDS; second++) {
            for (int jobs = random.nextInt(3); jobs > 0 && second < SECONDS / 2; jobs--) {
                harness.submit(randomJob(random, harness.specs.size()));
            }
            if (random.nextInt(10) == 0 && !harness.specs.isEmpty()) {
                harness.cancel("wk-" + random.nextInt(harness.specs.size()));
            }
            if (random.nextInt(15) == 0) {
                harness.faultyMachines.add("i-00000" + random.nextInt(9));
            }
            if (random.nextInt(20) == 0) {
                harness.faultyJobs.add("wk-" + random.nextInt(40));
            }
            harness.run(Micros.SECOND);
        }
        return decisions;
    }

    private static String shortened(String decision) {
        return decision.substring(0, Math.min(200, decision.length()));
    }

    @Test
    void decidesAsTheReferencePlannerDoes() {
        List<String> differences = new ArrayList<>();
        int starts = 0;
        int stops = 0;
        for (long seed = 0; seed < FLEETS; seed++) {
            List<String> expected = runScenario(seed, ReferencePlacementPlanner::new);
            List<String> actual = runScenario(seed, PlacementPlanner::new);
            for (int i = 0; i < Math.max(expected.size(), actual.size()); i++) {
                String expectedDecision = i < expected.size() ? expected.get(i) : "nothing";
                String actualDecision = i < actual.size() ? actual.get(i) : "nothing";
                if (!expectedDecision.equals(actualDecision)) {
                    differences.add("fleet " + seed + " decision " + i + ": expected " + shortened(expectedDecision)
                            + " but was " + shortened(actualDecision));
                    break;
                }
            }
            starts += (int) actual.stream()
                    .filter(decision -> decision.contains("Start["))
                    .count();
            stops += (int) actual.stream()
                    .filter(decision -> decision.contains("Stop["))
                    .count();
        }
        assertEquals(List.of(), differences);
        assertTrue(
                starts > 20 * FLEETS && stops > 5 * FLEETS,
                starts + " responses with starts and " + stops + " with stops");
    }
}
