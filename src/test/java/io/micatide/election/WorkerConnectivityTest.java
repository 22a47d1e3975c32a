package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.SettingsBuilder;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Heartbeats come every 0.8 s; the fleet counts as silent after 2 s. */
class WorkerConnectivityTest {
    private static final Settings SETTINGS = new SettingsBuilder().build();
    private static final long NOW = 100 * Micros.SECOND;

    private static long ago(double seconds) {
        return NOW - Micros.ofSeconds(seconds);
    }

    /**
     * Seconds ago: the term began, the last heartbeat came (-1: none), a worker that had lost the leader came to a peer (-1: none), this
     * process was paused (-1: not); whether the store answers.
     */
    @ParameterizedTest
    @CsvSource({
        // Partitioned from the workers, which turn to a peer.
        "60, 2.5, 0.5, -1, true, true",
        // Heartbeats come.
        "60, 0.3, 0.5, -1, true, false",
        // All controllers are partitioned, or the machines are gone: nobody could do better.
        "60, 20, -1, -1, true, false",
        // No machines at all.
        "60, -1, -1, -1, true, false",
        // A worker that lost the leader before the last heartbeat, or long ago, has found back or is gone.
        "60, 2.5, 3, -1, true, false",
        "60, 20, 5, -1, true, false",
        // A new leader is given time to be found, also by workers that come back from it.
        "3, -1, 0.5, -1, true, false",
        "6, -1, 0.5, -1, true, true",
        // Nobody could claim leadership.
        "60, 2.5, 0.5, -1, false, false",
        // It was this process that was paused.
        "60, 20, 0.5, 0.1, true, false",
    })
    void leaderResignsOnlyIfWorkersReachAPeer(
            double began,
            double heard,
            double workerLostLeader,
            double paused,
            boolean isStoreConnected,
            boolean resigns) {
        WorkerConnectivity connectivity = new WorkerConnectivity(SETTINGS, 0);
        connectivity.termStarted(ago(began));
        if (heard >= 0) {
            connectivity.heartbeatReceived(ago(heard));
        }
        connectivity.peerReportedWorkerLostLeader(workerLostLeader < 0 ? -1 : Micros.ofSeconds(workerLostLeader), NOW);
        if (paused >= 0) {
            connectivity.processPaused(ago(paused));
        }
        assertEquals(resigns, connectivity.shouldResign(isStoreConnected, NOW));
    }

    /**
     * What a follower makes of a worker: the token it knows while 7 leads, how long ago it was redirected to that leader (-1: not),
     * and how long the leader says that it has been silent.
     */
    @ParameterizedTest
    @CsvSource({
        // New, restarted, or of an earlier term: it looks for the leader.
        "0, -1, 0, 1, false, false",
        "5, -1, 0, 9, false, false",
        // It knows the leader and yet is here; one alone may be partitioned itself.
        "7, -1, 0, 1, true, false",
        "7, -1, 4, 1, true, true",
        "7, -1, 0, 3, true, true",
        // It was redirected there and is back, or is only on its way.
        "0, 5, 4, 1, true, true",
        "0, 1, 4, 1, false, false",
    })
    void followerDetectsWorkersThatLostTheLeader(
            long seen, double redirectedAgo, double silent, int workers, boolean hasLostLeader, boolean isUnreachable) {
        WorkerConnectivity connectivity = new WorkerConnectivity(SETTINGS, 0);
        for (int i = 0; i < workers; i++) {
            if (redirectedAgo >= 0) {
                connectivity.heartbeatRedirected(heartbeat("i-" + i, 0, 1), 7, ago(redirectedAgo));
            }
            connectivity.heartbeatRedirected(heartbeat("i-" + i, seen, 2), 7, NOW);
        }
        connectivity.leaderReportedSilence(Micros.ofSeconds(silent), NOW);
        assertEquals(hasLostLeader, connectivity.workerLostLeaderAgoMicros(NOW) >= 0);
        assertEquals(isUnreachable, connectivity.isLeaderUnreachable(NOW));
    }

    /** Copies of heartbeats that came long ago arrive again: no worker has lost the leader, and none of them has come here. */
    @ParameterizedTest
    @CsvSource({"1, false", "4, false"})
    void duplicateOfOldHeartbeatIsNotAReturningWorker(int workers, boolean isUnreachable) {
        WorkerConnectivity connectivity = new WorkerConnectivity(SETTINGS, 0);
        for (int i = 0; i < workers; i++) {
            connectivity.heartbeatRedirected(heartbeat("i-" + i, 5, 9), 7, ago(6));
        }
        for (int i = 0; i < workers; i++) {
            connectivity.heartbeatRedirected(heartbeat("i-" + i, 5, 8), 7, ago(0.2));
            connectivity.heartbeatRedirected(heartbeat("i-" + i, 5, 9), 7, NOW);
        }
        assertEquals(isUnreachable, connectivity.isLeaderUnreachable(NOW));
        assertEquals(-1, connectivity.workerLostLeaderAgoMicros(NOW));
        assertEquals(false, connectivity.isConnected(NOW));
    }

    private static Heartbeat heartbeat(String machine, long seen, long sequence) {
        return new Heartbeat(machine, "x:1", "small", "a", false, 1, sequence, seen, -1, List.of());
    }

    /** Seconds ago: the process began, a heartbeat came (-1: none). */
    @ParameterizedTest
    @CsvSource({"60, 0.5, true", "60, 5, false", "60, -1, false", "1, -1, true"})
    void isConnectedAfterHeartbeatOrProcessStart(double began, double heartbeat, boolean isConnected) {
        WorkerConnectivity connectivity = new WorkerConnectivity(SETTINGS, ago(began));
        if (heartbeat >= 0) {
            connectivity.heartbeatRedirected(heartbeat("i-1", 0, 1), 7, ago(heartbeat));
        }
        assertEquals(isConnected, connectivity.isConnected(NOW));
    }
}
