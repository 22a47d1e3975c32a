package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import java.math.RoundingMode;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that machines of the cheapest suitable offer are requested, with at most one request in flight for each offer. */
class OfferSelectionTest {
    private static final Resources TASK = Resources.of(2, 0, 8);
    private static final EquivalenceClass ANY_MACHINE = new EquivalenceClass(TASK, List.of(), null, true);

    private final Fleet fleet = new Fleet();
    private final ProvisioningRequests requests = new ProvisioningRequests(new SchedulerHarness(1, 0).settings, 1);
    private final OfferSelection offers = new OfferSelection(fleet, requests);

    @BeforeEach
    void twoTypesOfWhichTheLargerIsCheaperForATask() {
        fleet.setMachineTypes(List.of(
                new MachineType("small", Resources.of(4, 0, 32), 25, 0.5, 0.5, 0.2, Micros.SECOND, List.of("a")),
                new MachineType("large", Resources.of(8, 0, 64), 25, 0.5, 0.6, 0.3, Micros.SECOND, List.of("a"))));
    }

    private List<String> requested() {
        return requests.requests.values().stream()
                .map(request -> request.count + " " + request.type + (request.spot ? " spot" : ""))
                .toList();
    }

    @Test
    void eachOfferIsRequestedOnceCheapestFirst() {
        for (int i = 0; i < 5; i++) {
            offers.requestMachines(ANY_MACHINE, 4, RoundingMode.UP, 0);
        }
        assertEquals(List.of("1 large spot", "2 small spot", "1 large", "2 small"), requested());
    }

    @Test
    void refusedOffersAndForbiddenMachinesAreNotRequested() {
        offers.requestMachines(ANY_MACHINE, 4, RoundingMode.UP, 0);
        requests.recordNoCapacity(requests.requests.values().iterator().next(), 0);
        offers.requestMachines(ANY_MACHINE, 4, RoundingMode.UP, 0);
        offers.requestMachines(new EquivalenceClass(TASK, List.of("small"), null, false), 4, RoundingMode.UP, 0);
        offers.requestMachines(new EquivalenceClass(TASK, List.of(), "b", true), 4, RoundingMode.UP, 0);
        assertEquals(List.of("1 large spot", "2 small spot", "2 small"), requested());
    }

    @ParameterizedTest
    @CsvSource({"1, UP, 1", "1, DOWN, 1", "9, UP, 3", "9, DOWN, 2", "1000, UP, 50", "1000, DOWN, 50"})
    void machinesHoldTheTasksUpToTheLimitOfACall(int tasks, RoundingMode rounding, int machines) {
        offers.requestMachines(new EquivalenceClass(TASK, List.of("large"), null, true), tasks, rounding, 0);
        assertEquals(List.of(machines + " large spot"), requested());
    }
}
