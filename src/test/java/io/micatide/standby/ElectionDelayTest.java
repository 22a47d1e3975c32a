package io.micatide.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.model.StandbyReadiness;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How long a controller delays its candidacy: who is better prepared goes first, and nobody waits for nobody. */
class ElectionDelayTest {
    private static final long SECOND = Micros.SECOND;

    /**
     * Each line plays events and says for how many ms "me" leaves a free lease to others: `up:seconds` since the start, `standbys:a+b`
     * designated, `replica` complete, `peer:sibling:READINESS[:reached]`, `led`, `handover`, `free:ms` since the lease is free,
     * `later:seconds`.
     */
    @ParameterizedTest
    @CsvSource({
        "'up:20', true, 0",
        // One that no agent has come to asks; it waits a moment for the answers, and longer for a peer that they come

        // to.
        "'up:20', false, 200",
        "'up:20,free:250', false, 0",
        "'up:20,peer:0:SEASONED,peer:1:COLD', false, 0",
        "'up:20,peer:0:SEASONED:reached', false, 600",
        "'up:20,peer:0:SEASONED:reached,free:250', false, 600",
        "'up:20,peer:0:SEASONED:reached,later:3,free:250', false, 0",
        // The standbys in their order, then the others, and nobody for long.

        "'up:20,standbys:me+b,replica', true, 0",
        "'up:20,standbys:b+me,replica', true, 100",
        "'up:20,standbys:b+c', true, 200",
        "'up:20,standbys:b+c', false, 400",
        "'up:20,standbys:b+c,peer:1:WARM:reached', false, 800", // A standby whose replica is not complete is like the
        // others.
        "'up:20,standbys:me+b', true, 200", // Standbys that were designated long ago may be gone.
        "'up:20,standbys:b+c,later:30', true, 0",
        // A cold process asks; it waits a moment for the answer, and longer for a warmer peer.

        "'up:1', true, 200",
        "'up:1,free:250', true, 0",
        "'up:1,peer:0:COLD', true, 200",
        "'up:1,peer:0:COLD,peer:1:COLD', true, 0",
        "'up:1,peer:0:COLD,peer:1:SEASONED', true, 600",
        "'up:1,peer:0:WARM,free:250', true, 600",
        "'up:1,peer:0:WARM,later:3,free:250', true, 0", // Not cold any more, or never was.
        "'up:6,peer:0:WARM', true, 0",
        "'up:1,led', true, 0", // A leader that ended in order has said who goes on.
        "'up:20,standbys:me+b,replica,handover', false, 0",
        "'up:20,standbys:me+b,replica,handover,later:3', false, 200",
    })
    void delaysByReadinessAndRank(String events, boolean reached, int millis) {
        long now = 100 * SECOND;
        ElectionDelay delay = new ElectionDelay("me", 2, now);
        long freeMicros = 0;
        for (String event : events.split(",")) {
            String[] part = event.split(":");
            switch (part[0]) {
                case "up", "later" -> now += Long.parseLong(part[1]) * SECOND;
                case "standbys" -> delay.standbysDesignated(List.of(part[1].split("\\+")), now);
                case "replica" -> delay.setReplicaComplete(true);
                case "peer" ->
                    delay.peerReadinessReported(
                            Integer.parseInt(part[1]), StandbyReadiness.valueOf(part[2]), part.length > 3, now);
                case "led" -> delay.termEnded();
                case "handover" -> delay.handoverReceived(now);
                case "free" -> freeMicros = Long.parseLong(part[1]) * Micros.MILLISECOND;
                default -> throw new IllegalArgumentException(event);
            }
        }
        assertEquals(millis * Micros.MILLISECOND, delay.delayMicros(freeMicros, reached, now));
    }

    /** A new leader that has heard nobody yet designates nobody, and dismisses nobody either. */
    @Test
    void designationSurvivesAFailover() {
        ElectionDelay delay = new ElectionDelay("me", 2, SECOND);
        delay.standbysDesignated(List.of("me"), 20 * SECOND);
        delay.standbysDesignated(null, 22 * SECOND);
        assertTrue(delay.isDesignated());
        delay.standbysDesignated(null, 50 * SECOND);
        assertFalse(delay.isDesignated());
    }
}
