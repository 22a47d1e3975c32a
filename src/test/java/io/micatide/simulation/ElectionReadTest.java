package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.standby.KeyspaceReplica;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A leader hands over while the heir hears late about changed jobs. The read that the heir has under way is older than its claim and may
 * lack a job whose ledger the leader before has written since; a ledger without a job is taken for a left-over and removed.
 */
class ElectionReadTest {
    private static final long LATE = 700 * Micros.MILLISECOND;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aReadThatBeganBeforeTheClaimIsNotWhatTheLeaderBeginsWith(long seed) {
        FailoverScenario day = new FailoverScenario(seed, 3, 0, KeyspaceReplica::new);
        day.time.run(8 * Micros.SECOND);
        day.users.submit("daemon", 3, 0);
        day.time.run(2 * Micros.SECOND);
        int leader = day.cluster.leader();
        Arrays.fill(day.lateRowsMicros, LATE);
        day.lateRowsMicros[leader] = 0;
        for (int each = 0; each < 60; each++) {
            day.users.submit("batch", 1, 20);
            day.time.run(10 * Micros.MILLISECOND);
        }
        day.cluster.faults.shutDownForMicros(leader, 2 * Micros.SECOND);
        while (day.cluster.leader() == leader
                || day.cluster.controller(day.cluster.leader()).failoverTimings() == null
                || day.cluster
                                .controller(day.cluster.leader())
                                .failoverTimings()
                                .stateLoadedMicros()
                        < 0) {
            day.time.run(5 * Micros.MILLISECOND);
            assertTrue(day.time.now() < 20 * Micros.SECOND, "nobody took over");
        }
        long rebuilt =
                day.cluster.controller(day.cluster.leader()).failoverTimings().stateLoadedMicros();
        assertTrue(rebuilt >= LATE, "no read that began with the claim can be heard after " + rebuilt + " us");
        Arrays.fill(day.lateRowsMicros, 0);
        day.time.run(70 * Micros.SECOND);
        assertEquals(List.of(), day.violations());
    }
}
