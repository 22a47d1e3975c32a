package io.micatide.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HealthTest {
    /**
     * A machine with tasks of a job whose tasks take 10 s elsewhere: so many run there, the longest {@code outliers} for
     * {@code long} seconds and the others for {@code usual}.
     */
    @ParameterizedTest
    @CsvSource({
        // Two in 32 that take long by themselves do not make a machine slow.
        "32, 2, 25, 11, false",
        // All take three times as long.
        "4, 4, 30, 0, true",
        "32, 32, 25, 0, true",
        // Too few to tell.
        "2, 2, 40, 0, false",
        // Young tasks say nothing yet.
        "32, 0, 0, 5, false",
    })
    void aMachineIsJudgedByAllItsTasks(int tasks, int outliers, int longSeconds, int usualSeconds, boolean slow) {
        RunTimes runTimes = new RunTimes();
        Health health = new Health(runTimes);
        Job job = new Job(World.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, 50, 10), 1, 0, 0);
        for (int i = 0; i < 10; i++) {
            runTimes.finished(job, 10 * Micros.SECOND);
        }
        long now = 100 * Micros.SECOND;
        Machine machine = new Machine("i-1", 0);
        for (int i = 0; i < tasks; i++) {
            Placement placement = new Placement(job, i, 1, machine, Placement.Phase.REPORTED, 0);
            placement.state = TaskState.RUNNING;
            placement.runningSinceMicros = now - (i < outliers ? longSeconds : usualSeconds) * Micros.SECOND;
            machine.add(placement);
        }
        assertEquals(slow ? List.of(machine) : List.of(), health.findSlow(List.of(machine), now));
    }
}
