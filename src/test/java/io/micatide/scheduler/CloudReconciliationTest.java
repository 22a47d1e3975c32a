package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.ListedMachine;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The cloud's list of machines lags behind: a deleted machine that is still listed is not added again, and a missing machine
 * counts as deleted only if the list is recent enough.
 */
class CloudReconciliationTest {
    private final Settings settings = new SchedulerHarness(1, 0).settings;
    private final Fleet fleet = new Fleet();
    private final CloudReconciliation reconciliation =
            new CloudReconciliation(settings, fleet, new ProvisioningRequests(settings, 1));

    private static ListedMachine listed(String name, ListedMachine.State state) {
        return new ListedMachine(name, "small", "a", false, state, 7 * Micros.SECOND);
    }

    @Test
    void deletedMachineIsNotAddedAgain() {
        fleet.getOrAdd("i-1", 0);
        fleet.markDeleted("i-1", Micros.SECOND);
        reconciliation.machinesListed(
                List.of(listed("i-1", ListedMachine.State.RUNNING)), 2 * Micros.SECOND, 3 * Micros.SECOND);
        assertEquals(0, fleet.machines().size());
    }

    @Test
    void unexpectedMachineIsAddedAndFailedOneDeleted() {
        long now = 100 * Micros.SECOND;
        reconciliation.machinesListed(
                List.of(
                        listed("i-1", ListedMachine.State.BOOTING),
                        listed("i-2", ListedMachine.State.RUNNING),
                        listed("i-3", ListedMachine.State.FAILED)),
                now,
                now);
        assertEquals(93 * Micros.SECOND, fleet.get("i-1").bootStartedMicros);
        assertEquals(-1, fleet.get("i-2").bootStartedMicros);
        assertEquals(false, fleet.get("i-2").deletionRequested);
        assertEquals(true, fleet.get("i-3").deletionRequested);
    }

    @Test
    void missingMachineIsDeletedOnlyIfTheListIsRecentEnough() {
        Machine missing = fleet.getOrAdd("i-1", 0);
        long limitMicros = 2 * settings.listLagMicros() + 5 * Micros.SECOND;
        reconciliation.machinesListed(List.of(), limitMicros, limitMicros);
        assertEquals(false, missing.deletionRequested);
        reconciliation.machinesListed(List.of(), limitMicros + 1, limitMicros + 1);
        assertEquals(true, missing.deletionRequested);
    }
}
