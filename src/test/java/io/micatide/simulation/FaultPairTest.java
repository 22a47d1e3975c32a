package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Micros;
import io.micatide.standby.KeyspaceReplica;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Two troubles meet, drawn from all that the operators name: no rule is broken, and everything is known and done once they are over. */
class FaultPairTest {
    /** Long runs outside CI: {@code -Dmicatide.days=20000 -Dmicatide.first=40000}. */
    private static final int DAYS = Integer.getInteger("micatide.days", 200);

    private static final int TIGHT_DAYS = (DAYS + 1) / 2;
    private static final int FIRST = Integer.getInteger("micatide.first", 0);

    static FailoverScenario begin(long seed) {
        return new FailoverScenario(seed, seed % 2 == 0 ? 3 : 5, seed % 11 == 0 ? 1 : 0, KeyspaceReplica::new);
    }

    static FailoverScenario play(FailoverScenario day) {
        for (int second = 0; second < 60; second++) {
            if (second > 1 && second < 50) {
                day.users.actDuringFaults();
            }
            if (second == 10 || second == 32) {
                day.injectFault();
                day.time.run((long) (day.random.nextDouble() * 3 * Micros.SECOND));
                day.injectFault();
            }
            day.time.run(Micros.SECOND);
        }
        day.time.run(35 * Micros.SECOND);
        day.users.pollAllAfterFaults();
        day.time.run(150 * Micros.SECOND);
        return day;
    }

    static FailoverScenario beginAtQuota(long seed) {
        return FailoverScenario.atQuota(seed, seed % 2 == 0 ? 3 : 5, seed % 11 == 0 ? 1 : 0);
    }

    /** Teams at their limits, and two of the troubles that were named since, one of them as often as not a change of hands. */
    static FailoverScenario playAtQuota(FailoverScenario day) {
        for (int second = 0; second < 70; second++) {
            if (second == 3) {
                day.users.fillQuotas();
            }
            if (second > 3 && second < 60) {
                day.users.actDuringFaults();
            }
            if (second == 14 || second == 38) {
                day.injectInteractingFault();
                day.time.run((long) (day.random.nextDouble() * 3 * Micros.SECOND));
                if (day.random.nextInt(3) > 0) {
                    day.forceFailover();
                } else {
                    day.injectFault();
                }
                day.time.run((long) (day.random.nextDouble() * 2 * Micros.SECOND));
                day.injectInteractingFault();
            }
            day.time.run(Micros.SECOND);
        }
        day.time.run(35 * Micros.SECOND);
        day.users.pollAllAfterFaults();
        day.users.cancelServicesAndWait(900);
        return day;
    }

    @Test
    void teamsAtTheirLimitsBreakNoRule() {
        List<String> failed = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + TIGHT_DAYS; seed++) {
            FailoverScenario day = playAtQuota(beginAtQuota(seed));
            if (!day.violations().isEmpty()) {
                failed.add("seed " + seed + " " + day.violations() + " " + day.cluster.eventLog());
            }
        }
        assertEquals(List.of(), failed);
    }

    @Test
    void twoTroublesBreakNoRule() {
        List<String> failed = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
            FailoverScenario day = play(begin(seed));
            if (!day.violations().isEmpty()) {
                failed.add("seed " + seed + " " + day.violations() + " " + day.cluster.eventLog());
            }
        }
        assertEquals(List.of(), failed);
    }
}
