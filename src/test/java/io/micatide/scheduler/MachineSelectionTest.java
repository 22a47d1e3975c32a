package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.JobKind;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the rule of the design: a machine with enough free capacity that has the image, else the machine with the most
 * free capacity.
 */
class MachineSelectionTest {
    private final Fleet fleet = new Fleet();
    private final Job job =
            new Job(SchedulerHarness.job("wk-1", JobKind.GANG, "blue", Priority.HIGH, 1, 1), 1, 0, 0, 0);

    private Machine machine(String name, int freeCpus, boolean hasImage) {
        Machine machine = fleet.getOrAdd(name, 0);
        machine.resize(Resources.of(freeCpus, 0, 64));
        if (hasImage) {
            machine.touchImage(job.spec.image(), 1, 25);
        }
        return machine;
    }

    private Machine bestFitting(List<Machine> machines) {
        JobCandidates candidates = new JobCandidates(job, machines);
        int position = candidates.bestFitting();
        return position < 0 ? null : candidates.machine(position);
    }

    @Test
    void imagePrecedesFreeCapacity() {
        Machine full = machine("full", 1, true);
        Machine large = machine("large", 16, false);
        Machine small = machine("small", 4, false);
        Machine withImage = machine("with-image", 8, true);
        Machine fuller = machine("fuller", 2, true);
        assertEquals(fuller, bestFitting(List.of(full, large, withImage, fuller)));
        assertEquals(withImage, bestFitting(List.of(withImage, full, large)));
        assertEquals(large, bestFitting(List.of(small, full, large)));
        assertEquals(null, bestFitting(List.of(full)));
    }

    @Test
    void equalMachinesRankInListOrder() {
        Machine first = machine("first", 8, false);
        Machine second = machine("second", 8, false);
        assertEquals(first, bestFitting(List.of(first, second)));
        assertEquals(second, bestFitting(List.of(second, first)));
    }

    @Test
    void spotMachinesWithTheImageRankFirst() {
        Machine onDemand = machine("on-demand", 2, true);
        Machine spot = machine("spot", 16, true);
        spot.isSpot = true;
        assertEquals(spot, bestFitting(List.of(onDemand, spot)));
    }
}
