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

/** Guards against a less prepared controller that wins the election, and against waiting where no better candidate exists. */
class ElectionDelayTest {
    private static final long SECOND = Micros.SECOND;

    /**
     * Events, whether workers reach the controller "me", and the expected delay of its candidacy in ms. {@code up:seconds} is the time since
     * its start, {@code standbys:a+b} a designation, {@code replica} a complete replica, {@code peer:index:READINESS[:reached]} a report of
     * a peer, {@code led} the end of a term of its own, {@code handover} a handover to it, {@code free:ms} the time since the lease became
     * free, {@code later:seconds} elapsed time.
     */
    @ParameterizedTest
    @CsvSource({
        "'up:20', true, 0",
        // A controller that no worker reached asks its peers: it waits briefly for the answers, longer for a peer that
        // workers reach.
        "'up:20', false, 200",
        "'up:20,free:250', false, 0",
        "'up:20,peer:0:SEASONED,peer:1:COLD', false, 0",
        "'up:20,peer:0:SEASONED:reached', false, 600",
        "'up:20,peer:0:SEASONED:reached,free:250', false, 600",
        "'up:20,peer:0:SEASONED:reached,later:3,free:250', false, 0",
        // The standbys by rank, then the other controllers, which do not wait for long.
        "'up:20,standbys:me+b,replica', true, 0",
        "'up:20,standbys:b+me,replica', true, 100",
        "'up:20,standbys:b+c', true, 200",
        "'up:20,standbys:b+c', false, 400",
        "'up:20,standbys:b+c,peer:1:WARM:reached', false, 800",
        // A standby whose replica is not complete counts as one of the others.
        "'up:20,standbys:me+b', true, 200",
        // Standbys that were designated long ago may have stopped.
        "'up:20,standbys:b+c,later:30', true, 0",
        // A cold process asks its peers: it waits briefly for the answers, longer for a peer that is not cold.
        "'up:1', true, 200",
        "'up:1,free:250', true, 0",
        "'up:1,peer:0:COLD', true, 200",
        "'up:1,peer:0:COLD,peer:1:COLD', true, 0",
        "'up:1,peer:0:COLD,peer:1:SEASONED', true, 600",
        "'up:1,peer:0:WARM,free:250', true, 600",
        "'up:1,peer:0:WARM,later:3,free:250', true, 0",
        // No longer cold, or never cold.
        "'up:6,peer:0:WARM', true, 0",
        "'up:1,led', true, 0",
        // A leader that shut down in order named its successor.
        "'up:20,standbys:me+b,replica,handover', false, 0",
        "'up:20,standbys:me+b,replica,handover,later:3', false, 200",
    })
    void delaysByReadinessAndRank(String events, boolean isReachedByWorkers, int expectedMillis) {
        long now = 100 * SECOND;
        ElectionDelay delay = new ElectionDelay("me", 2, now);
        long freeMicros = 0;
        for (String event : events.split(",")) {
            String[] parts = event.split(":");
            switch (parts[0]) {
                case "up", "later" -> now += Long.parseLong(parts[1]) * SECOND;
                case "standbys" -> delay.standbysDesignated(List.of(parts[1].split("\\+")), now);
                case "replica" -> delay.setReplicaComplete(true);
                case "peer" ->
                    delay.peerReadinessReported(
                            Integer.parseInt(parts[1]), StandbyReadiness.valueOf(parts[2]), parts.length > 3, now);
                case "led" -> delay.termEnded();
                case "handover" -> delay.handoverReceived(now);
                case "free" -> freeMicros = Long.parseLong(parts[1]) * Micros.MILLISECOND;
                default -> throw new IllegalArgumentException(event);
            }
        }
        assertEquals(expectedMillis * Micros.MILLISECOND, delay.delayMicros(freeMicros, isReachedByWorkers, now));
    }

    /** A new leader that no peer has answered yet sends no designation; the earlier one stays until it expires. */
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
