package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.standby.KeyspaceReplica;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines whose reports come and that hear no answer: what would start there goes on elsewhere. */
class DeafWorkersTest {
    /** Share of the machines, seconds for which they are deaf, how many small jobs come a second, and until when the last of them is started. */
    @ParameterizedTest
    @CsvSource({"0.3, 60, 1, 3", "0.3, 60, 4, 3", "0.5, 50, 2, 3"})
    void theirJobsGoOnElsewhere(double share, int seconds, int rate, int within) {
        for (long seed = 1; seed <= 3; seed++) {
            FailoverScenario day = new FailoverScenario(seed, 3, 0, KeyspaceReplica::new);
            day.time.run(2 * Micros.SECOND);
            day.users.submit("daemon", 12, 0);
            day.time.run(15 * Micros.SECOND);
            day.cluster.faults.dropMessagesToWorkers(share, seconds);
            day.time.run(25 * Micros.SECOND);
            int longest = 0;
            for (int second = 0; second < seconds - 30; second++) {
                for (int each = 0; each < rate; each++) {
                    day.users.submit("batch", 1, 3);
                }
                String last = day.users.lastJob();
                int waited = 0;
                while (day.checker.running(last) == 0 && waited++ < 600) {
                    day.time.run(100 * Micros.MILLISECOND);
                }
                longest = Math.max(longest, waited);
            }
            assertTrue(longest <= within * 10, "seed " + seed + ": a job waited for " + longest + " tenths");
            day.time.run(90 * Micros.SECOND);
            assertEquals(List.of(), day.violations(), day.cluster.eventLog().toString());
        }
    }
}
