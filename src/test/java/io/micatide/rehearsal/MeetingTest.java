package io.micatide.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.core.Micros;
import io.micatide.standby.Copy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Two troubles meet, drawn from all that the operators name: no rule is broken, and everything is known and done once they are over. */
class MeetingTest {
    /** Long runs outside CI: {@code -Dmicatide.days=20000 -Dmicatide.first=40000}. */
    private static final int DAYS = Integer.getInteger("micatide.days", 200);
    private static final int FIRST = Integer.getInteger("micatide.first", 0);

    private static TakeOverDay play(long seed) {
        TakeOverDay day = new TakeOverDay(seed, seed % 2 == 0 ? 3 : 5, seed % 11 == 0 ? 1 : 0, Copy::new);
        for (int second = 0; second < 60; second++) {
            if (second > 1 && second < 50) {
                day.troubledTraffic();
            }
            if (second == 10 || second == 32) {
                day.trouble();
                day.time.run((long) (day.random.nextDouble() * 3 * Micros.SECOND));
                day.trouble();
            }
            day.time.run(Micros.SECOND);
        }
        day.time.run(35 * Micros.SECOND);
        day.calm();
        day.time.run(150 * Micros.SECOND);
        return day;
    }

    @Test
    void twoTroublesBreakNoRule() {
        List<String> failed = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
            TakeOverDay day = play(seed);
            if (!day.verdict().isEmpty()) {
                failed.add("seed " + seed + " " + day.verdict() + " " + day.deployment.log());
            }
        }
        assertEquals(List.of(), failed);
    }
}
