package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.JobKind;
import io.micatide.model.MachineType;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks that after random additions, removals and changes of machines the index returns the same machines as a full
 * scan, in the same order.
 */
class FreeCapacityIndexTest {
    private static final MachineType TYPE = SchedulerHarness.TYPE;

    private final Fleet fleet = new Fleet();
    private final Random random = new Random(5);
    private int addedMachines;

    private void changeFleet(int step) {
        int action = random.nextInt(10);
        if (action < 4 || fleet.machines().isEmpty()) {
            Machine machine = fleet.getOrAdd("i-" + addedMachines++, step);
            fleet.updateTypeAndZone(machine, TYPE.name(), "a", false);
        } else if (action < 7) {
            fleet.markDeleted(randomMachine().name, step);
        } else if (randomMachine().placements.isEmpty()) {
            Machine machine = randomMachine();
            Job job =
                    new Job(SchedulerHarness.job("wk-" + step, JobKind.ARRAY, "blue", Priority.LOW, 1, 1), 1, 0, 0, 0);
            machine.add(new Placement(job, 0, step, machine, Placement.Phase.AWAITING_LEDGER, step));
        } else {
            Machine machine = randomMachine();
            List.copyOf(machine.placements).forEach(machine::remove);
        }
    }

    private Machine randomMachine() {
        List<Machine> all = new ArrayList<>(fleet.machines());
        return all.get(random.nextInt(all.size()));
    }

    /** Hundreds of machines are added and removed, so that slots are compacted many times. */
    @Test
    void resultsEqualAFullScan() {
        fleet.setMachineTypes(List.of(TYPE));
        CapacityRequest freeRequest = CapacityRequest.free(TYPE.resources());
        CapacityRequest preemptingRequest =
                new CapacityRequest(TYPE.resources(), CapacityRequest.Source.LOWER_PRIORITY, Priority.HIGH);
        for (int step = 0; step < 4_000; step++) {
            changeFleet(step);
            List<Machine> empty = fleet.machines().stream()
                    .filter(machine -> machine.placements.isEmpty())
                    .toList();
            assertEquals(empty, fleet.freeCapacityIndex().machinesWithCapacity(freeRequest, step));
            assertEquals(
                    List.copyOf(fleet.machines()),
                    fleet.freeCapacityIndex().machinesWithCapacity(preemptingRequest, step));
        }
    }

    /**
     * With more distinct requests than the index tracks, it drops the least recently made ones, and its results stay
     * exact.
     */
    @Test
    void resultsStayExactBeyondTheTrackedRequests() {
        fleet.setMachineTypes(List.of(TYPE));
        for (int step = 0; step < 60; step++) {
            changeFleet(step);
        }
        for (int step = 100; step < 1_000; step++) {
            Resources request = new Resources(1 + step % 300, 0, 1);
            int expected = (int) fleet.machines().stream()
                    .filter(machine -> request.fitsIn(machine.freeCapacity()))
                    .count();
            assertEquals(
                    expected,
                    fleet.freeCapacityIndex()
                            .machinesWithCapacity(CapacityRequest.free(request), step)
                            .size());
        }
    }
}
