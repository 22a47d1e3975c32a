package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.JobKind;
import io.micatide.model.Priority;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that each event that could change a recorded result discards it. Randomized fleets rarely detect a missing
 * discard, since capacity freed within a plan is used by the job that it was freed for.
 */
class UnschedulableClassesTest {
    private static final long TOKEN = 7;

    private final List<PlacementPlanner> planners = new ArrayList<>();
    private final Settings settings = new SchedulerHarness(1, 0).settings;
    private PlacementActions placements;
    private Job job;
    private Machine machine;

    @BeforeEach
    void createScheduler() {
        planners.clear();
        new Scheduler(
                settings,
                Tuning.defaults(settings),
                Long.MAX_VALUE,
                TOKEN,
                0,
                (actions, schedulerSettings, fleet, ledgers, runtimes) -> {
                    placements = actions;
                    PlacementPlanner planner =
                            new PlacementPlanner(actions, schedulerSettings, fleet, ledgers, runtimes);
                    planners.add(planner);
                    machine = fleet.getOrAdd("i-1", 0);
                    job = ledgers.addJob(
                            SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 4, 10), 1, 0, 0, 0);
                    return planner;
                });
    }

    private UnschedulableClasses unschedulable() {
        return planners.get(0).unschedulable;
    }

    private JobQueue.QueuedJob queued() {
        return new JobQueue.QueuedJob(job, 1, true, true, 0);
    }

    private String recordedResults() {
        return (unschedulable().isFull(EquivalenceClass.of(job.spec)) ? "full " : "")
                + (unschedulable().isPreemptionFutile(queued()) ? "nothing " : "")
                + (unschedulable().tasksFittingPerZone(job, CapacityRequest.Source.SAME_PRIORITY) != null
                        ? "room"
                        : "");
    }

    private String recordedResultsAfter(BiConsumer<PlacementActions, Placement> event) {
        placements.placeTask(job, job.nextPendingTask(), machine, 0);
        Placement placement = machine.placements.get(0);
        unschedulable().markFull(EquivalenceClass.of(job.spec));
        unschedulable().markPreemptionFutile(queued());
        unschedulable().recordTasksFittingPerZone(job, CapacityRequest.Source.SAME_PRIORITY, new HashMap<>());
        event.accept(placements, placement);
        return recordedResults();
    }

    @Test
    void eventsDiscardTheResultsTheyMayChange() {
        Map<String, BiConsumer<PlacementActions, Placement>> events = Map.of(
                "nothing",
                (actions, placement) -> {},
                "placed",
                (actions, placement) -> actions.placeTask(job, job.nextPendingTask(), machine, 0),
                "stopped",
                (actions, placement) -> actions.stop(placement, 0, 0),
                "removed",
                (actions, placement) -> actions.remove(placement));
        Map<String, String> expected =
                Map.of("nothing", "full nothing room", "placed", "full room", "stopped", "full room", "removed", "");
        Map<String, String> actual = new HashMap<>();
        events.forEach((name, event) -> {
            createScheduler();
            actual.put(name, recordedResultsAfter(event).trim());
        });
        assertEquals(expected, actual);
    }

    /** Each class includes everything that its result depends on. */
    @Test
    void otherTeamsAndCapacitySourcesAreNotAffected() {
        unschedulable().markFull(EquivalenceClass.of(job.spec));
        unschedulable().markPreemptionFutile(queued());
        unschedulable().recordTasksFittingPerZone(job, CapacityRequest.Source.SAME_PRIORITY, new HashMap<>());
        assertEquals(false, unschedulable().isPreemptionFutile(new JobQueue.QueuedJob(job, 1, false, true, 0)));
        assertEquals(null, unschedulable().tasksFittingPerZone(job, CapacityRequest.Source.FREE));
        Job other = new Job(SchedulerHarness.job("wk-2", JobKind.ARRAY, "red", Priority.NORMAL, 4, 10), 1, 0, 0, 0);
        assertEquals(true, unschedulable().isFull(EquivalenceClass.of(other.spec)));
        assertEquals(false, unschedulable().isPreemptionFutile(new JobQueue.QueuedJob(other, 1, true, true, 0)));
        assertEquals(null, unschedulable().tasksFittingPerZone(other, CapacityRequest.Source.SAME_PRIORITY));
    }
}
