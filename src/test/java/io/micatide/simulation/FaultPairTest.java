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
                day.users.troubledTraffic();
            }
            if (second == 10 || second == 32) {
                day.trouble();
                day.time.run((long) (day.random.nextDouble() * 3 * Micros.SECOND));
                day.trouble();
            }
            day.time.run(Micros.SECOND);
        }
        day.time.run(35 * Micros.SECOND);
        day.users.calm();
        day.time.run(150 * Micros.SECOND);
        return day;
    }

    static FailoverScenario beginTight(long seed) {
        return FailoverScenario.tight(seed, seed % 2 == 0 ? 3 : 5, seed % 11 == 0 ? 1 : 0);
    }

    /** Teams at their limits, and two of the troubles that were named since, one of them as often as not a change of hands. */
    static FailoverScenario playTight(FailoverScenario day) {
        for (int second = 0; second < 70; second++) {
            if (second == 3) {
                day.users.fill();
            }
            if (second > 3 && second < 60) {
                day.users.troubledTraffic();
            }
            if (second == 14 || second == 38) {
                day.laterTrouble();
                day.time.run((long) (day.random.nextDouble() * 3 * Micros.SECOND));
                if (day.random.nextInt(3) > 0) {
                    day.changeOfHands();
                } else {
                    day.trouble();
                }
                day.time.run((long) (day.random.nextDouble() * 2 * Micros.SECOND));
                day.laterTrouble();
            }
            day.time.run(Micros.SECOND);
        }
        day.time.run(35 * Micros.SECOND);
        day.users.calm();
        day.users.drain(900);
        return day;
    }

    @Test
    void teamsAtTheirLimitsBreakNoRule() {
        List<String> failed = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + TIGHT_DAYS; seed++) {
            FailoverScenario day = playTight(beginTight(seed));
            if (!day.verdict().isEmpty()) {
                failed.add("seed " + seed + " " + day.verdict() + " " + day.deployment.log());
            }
        }
        assertEquals(List.of(), failed);
    }

    @Test
    void twoTroublesBreakNoRule() {
        List<String> failed = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
            FailoverScenario day = play(begin(seed));
            if (!day.verdict().isEmpty()) {
                failed.add("seed " + seed + " " + day.verdict() + " " + day.deployment.log());
            }
        }
        assertEquals(List.of(), failed);
    }
}
