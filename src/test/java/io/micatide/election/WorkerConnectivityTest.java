package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.SettingsBuilder;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reports come every 0.8 s; the fleet counts as silent after 2 s. */
class WorkerConnectivityTest {
    private static final Settings SETTINGS = new SettingsBuilder().build();
    private static final long NOW = 100 * Micros.SECOND;

    private static long ago(double seconds) {
        return NOW - Micros.ofSeconds(seconds);
    }

    /**
     * Seconds ago: the term began, the last report came (-1: none), a worker strayed to a sibling (-1: none), this process
     * stood still (-1: not); whether the state service answers.
     */
    @ParameterizedTest
    @CsvSource({
        // Cut off from the workers, which turn to a sibling.
        "60, 2.5, 0.5, -1, true, true",
        // Workers come.
        "60, 0.3, 0.5, -1, true, false",
        // All are cut, or the machines are gone: nobody could do better.
        "60, 20, -1, -1, true, false",
        // No machines at all.
        "60, -1, -1, -1, true, false",
        // What strayed before the last report, or long ago, has found back or is gone.
        "60, 2.5, 3, -1, true, false",
        "60, 20, 5, -1, true, false",
        // A new leader is given time to be found, also by workers that come back from it.
        "3, -1, 0.5, -1, true, false",
        "6, -1, 0.5, -1, true, true",
        // Nobody could claim the lead.
        "60, 2.5, 0.5, -1, false, false",
        // It was we who stood still.
        "60, 20, 0.5, 0.1, true, false",
    })
    void givesUpOnlyForASiblingThatIsReached(
            double began, double heard, double strayed, double stalled, boolean served, boolean givesUp) {
        WorkerConnectivity reach = new WorkerConnectivity(SETTINGS, 0);
        reach.termStarted(ago(began));
        if (heard >= 0) {
            reach.heartbeatReceived(ago(heard));
        }
        reach.peerReportedWorkerLostLeader(strayed < 0 ? -1 : Micros.ofSeconds(strayed), NOW);
        if (stalled >= 0) {
            reach.processPaused(ago(stalled));
        }
        assertEquals(givesUp, reach.shouldResign(served, NOW));
    }

    /**
     * What a follower makes of a worker: the token it knows while 7 leads, how long ago it was sent to that leader (-1: not),
     * and how long the leader says that it has been silent.
     */
    @ParameterizedTest
    @CsvSource({
        // New, restarted, or of an earlier term: it looks for the leader.
        "0, -1, 0, 1, false, false",
        "5, -1, 0, 9, false, false",
        // It knows the leader and yet is here; one alone may be cut off itself.
        "7, -1, 0, 1, true, false",
        "7, -1, 4, 1, true, true",
        "7, -1, 0, 3, true, true",
        // It was sent there and is back, or is only on its way.
        "0, 5, 4, 1, true, true",
        "0, 1, 4, 1, false, false",
    })
    void tellsWorkersThatLostTheLeader(
            long seen, double sentAgo, double silent, int workers, boolean stray, boolean lost) {
        WorkerConnectivity reach = new WorkerConnectivity(SETTINGS, 0);
        for (int i = 0; i < workers; i++) {
            if (sentAgo >= 0) {
                reach.heartbeatRedirected(heartbeat("i-" + i, 0, 1), 7, ago(sentAgo));
            }
            reach.heartbeatRedirected(heartbeat("i-" + i, seen, 2), 7, NOW);
        }
        reach.leaderReportedSilence(Micros.ofSeconds(silent), NOW);
        assertEquals(stray, reach.workerLostLeaderAgoMicros(NOW) >= 0);
        assertEquals(lost, reach.isLeaderUnreachable(NOW));
    }

    /** Copies of reports that came long ago arrive again: nobody has lost the leader, and none of them is a worker that is here. */
    @ParameterizedTest
    @CsvSource({"1, false", "4, false"})
    void aCopyOfAnOldReportIsNoWorkerThatCameBack(int copies, boolean lost) {
        WorkerConnectivity reach = new WorkerConnectivity(SETTINGS, 0);
        for (int i = 0; i < copies; i++) {
            reach.heartbeatRedirected(heartbeat("i-" + i, 5, 9), 7, ago(6));
        }
        for (int i = 0; i < copies; i++) {
            reach.heartbeatRedirected(heartbeat("i-" + i, 5, 8), 7, ago(0.2));
            reach.heartbeatRedirected(heartbeat("i-" + i, 5, 9), 7, NOW);
        }
        assertEquals(lost, reach.isLeaderUnreachable(NOW));
        assertEquals(-1, reach.workerLostLeaderAgoMicros(NOW));
        assertEquals(false, reach.isConnected(NOW));
    }

    private static Heartbeat heartbeat(String machine, long seen, long sequence) {
        return new Heartbeat(machine, "x:1", "small", "a", false, 1, sequence, seen, -1, List.of());
    }

    /** Seconds ago: the process began, a worker came (-1: none). */
    @ParameterizedTest
    @CsvSource({"60, 0.5, true", "60, 5, false", "60, -1, false", "1, -1, true"})
    void knowsWhetherWorkersReachIt(double began, double came, boolean reached) {
        WorkerConnectivity reach = new WorkerConnectivity(SETTINGS, ago(began));
        if (came >= 0) {
            reach.heartbeatRedirected(heartbeat("i-1", 0, 1), 7, ago(came));
        }
        assertEquals(reached, reach.isConnected(NOW));
    }
}
