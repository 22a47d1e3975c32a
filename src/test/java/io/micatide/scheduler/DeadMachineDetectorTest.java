package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Dead machines are marked for deletion, but none while more than half of the machines are silent: then the leader itself may
 * have lost its connection, and the machines may be healthy.
 */
class DeadMachineDetectorTest {
    private static final long NOW = 1_000 * Micros.SECOND;
    private static final int MACHINES = 10;

    private final Settings settings = new SchedulerHarness(1, 0).settings;
    private final Fleet fleet = new Fleet();
    private final DeadMachineDetector detector = new DeadMachineDetector(settings, fleet);

    @BeforeEach
    void allMachinesReport() {
        fleet.setMachineTypes(List.of(SchedulerHarness.TYPE));
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = fleet.getOrAdd("i-" + i, 0);
            fleet.updateTypeAndZone(machine, SchedulerHarness.TYPE.name(), "a", false);
            machine.isReconciled = true;
            machine.lastHeartbeatMicros = NOW;
        }
    }

    private long deleted() {
        detector.markDeadMachines(NOW, 0);
        return fleet.machines().stream()
                .filter(machine -> machine.deletionRequested)
                .count();
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "5, 5", "6, 0", "10, 0"})
    void moreThanHalfSilentMeansThatTheLeaderIsCutOff(int silentMachines, int deletedMachines) {
        for (int i = 0; i < silentMachines; i++) {
            fleet.get("i-" + i).lastHeartbeatMicros = NOW - 5 * settings.workerLeaseExpiryMicros();
        }
        assertEquals(deletedMachines, deleted());
    }

    @ParameterizedTest
    @CsvSource({"60, 0", "61, 1"})
    void machineThatDoesNotBootIsDeleted(int bootingSeconds, int deletedMachines) {
        Machine machine = fleet.getOrAdd("i-new", NOW - bootingSeconds * Micros.SECOND);
        fleet.updateTypeAndZone(machine, SchedulerHarness.TYPE.name(), "a", false);
        machine.bootStartedMicros = NOW - bootingSeconds * Micros.SECOND;
        assertEquals(deletedMachines, deleted());
    }

    @Test
    void hungMachineIsDeletedEarlyOnlyIfRecoveryWaitsForIt() {
        fleet.get("i-0").lastHeartbeatMicros = NOW - 8 * Micros.SECOND;
        assertEquals(0, deleted());
        fleet.get("i-0").isAwaitedAfterFailover = true;
        assertEquals(1, deleted());
    }
}
