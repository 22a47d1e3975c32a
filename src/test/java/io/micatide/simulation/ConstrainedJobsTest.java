package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jobs that may use only a part of the machines do not wait behind other work, or beside idle machines of no use to them, for ever. */
class ConstrainedJobsTest {
    /**
     * Arrays of another team come all the time, more than its limit; the bound job comes into that.
     *
     * @param lost whether all machines of its kind are taken away once it runs
     * @param within seconds until it runs, again if they are
     */
    @ParameterizedTest
    @CsvSource({
        "batch, '', '', false, false, 40", "batch, large, '', true, false, 40", "batch, small, '', false, false, 40",
                "batch, '', a, false, false, 40",
        "batch, '', a, true, true, 40", "batch, '', b, false, true, 40", "batch, large, b, true, true, 40",
                "group, '', a, false, false, 40",
        "group, '', '', false, true, 40", "daemon, '', a, false, true, 40",
    })
    void startsBesideOthers(String form, String type, String zone, boolean spot, boolean lost, int within) {
        for (long seed = 1; seed <= 2; seed++) {
            FailoverScenario day = FailoverScenario.atQuota(seed, 3, 0);
            JobConstraints others = new JobConstraints("blue", null, null, false, false, true);
            JobConstraints constraints = new JobConstraints(
                    "red", type.isEmpty() ? null : type, zone.isEmpty() ? null : zone, false, false, spot);
            day.time.run(3 * Micros.SECOND);
            String bound = "";
            int waited = 0;
            int longest = 0;
            for (int second = 0; second < 140; second++) {
                if (second % 4 == 0) {
                    day.users.submit("batch", 20, 6, others);
                }
                if (second == 20) {
                    day.users.submit(form, 2, 150, constraints);
                    bound = day.users.lastJob();
                }
                if (second == 80 && lost) {
                    day.cluster.reclaimMachines(machine ->
                            (constraints.zone() == null || machine.zone().equals(constraints.zone()))
                                    && (constraints.type() == null
                                            || machine.type().name().equals(constraints.type()))
                                    && (spot || !machine.spot()));
                }
                day.time.run(Micros.SECOND);
                waited = second < 20 || day.checker.running(bound) > 0 ? 0 : waited + 1;
                longest = Math.max(longest, waited);
            }
            assertTrue(longest <= within, "seed " + seed + ": waited for " + longest + " s");
            assertEquals(List.of(), day.checker.violations());
        }
    }

    /** All that the cloud has are spot machines that stand idle: they go, and what may not use them gets its own. */
    @ParameterizedTest
    @CsvSource({"batch", "group", "daemon"})
    void idleMachinesOfNoUseMakeRoom(String form) {
        FailoverScenario day = FailoverScenario.atQuota(1, 3, 0);
        day.time.run(3 * Micros.SECOND);
        for (String team : List.of("blue", "red", "green")) {
            day.users.submit("batch", 20, 8, new JobConstraints(team, null, null, false, false, true));
        }
        day.time.run(12 * Micros.SECOND);
        day.cluster.setCloudCapacity(day.cluster.machines());
        day.users.submit(form, 2, 30, new JobConstraints("red", null, null, false, false, false));
        String bound = day.users.lastJob();
        int waited = 0;
        while (day.checker.running(bound) == 0 && waited++ < 200) {
            day.time.run(Micros.SECOND);
        }
        assertTrue(waited < 110, "waited for " + waited + " s with " + day.cluster.machines() + " machines");
    }
}
