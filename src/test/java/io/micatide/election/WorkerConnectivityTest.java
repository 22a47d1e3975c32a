package io.micatide.election;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.SettingsBuilder;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a leader that stays although only other controllers are reachable for the workers, and against one that resigns although
 * no other controller could do better. Heartbeats are sent every 0.8 s; a leader reports silence after 2 s without one.
 */
class WorkerConnectivityTest {
    private static final Settings SETTINGS = new SettingsBuilder().build();
    private static final long NOW = 100 * Micros.SECOND;

    private static long ago(double seconds) {
        return NOW - Micros.ofSeconds(seconds);
    }

    /**
     * Seconds since the term began, since the last heartbeat (-1: none), since a worker that had lost the leader contacted a peer (-1: none),
     * since this process was paused (-1: never); whether the store answers; whether the leader resigns.
     */
    @ParameterizedTest
    @CsvSource({
        // Partitioned from the workers, which contact a peer.
        "60, 2.5, 0.5, -1, true, true",
        // Heartbeats are received.
        "60, 0.3, 0.5, -1, true, false",
        // All controllers are partitioned, or the machines were deleted: no controller could do better.
        "60, 20, -1, -1, true, false",
        // There are no machines.
        "60, -1, -1, -1, true, false",
        // A worker that lost the leader before the last heartbeat, or long ago, has reached it again or was deleted.
        "60, 2.5, 3, -1, true, false",
        "60, 20, 5, -1, true, false",
        // A new leader has a grace period, also for workers that return after a redirection to it.
        "3, -1, 0.5, -1, true, false",
        "6, -1, 0.5, -1, true, true",
        // The store does not answer: no controller could claim leadership.
        "60, 2.5, 0.5, -1, false, false",
        // The silence is due to a pause of this process.
        "60, 20, 0.5, 0.1, true, false",
    })
    void leaderResignsOnlyIfWorkersReachAPeer(
            double termStarted,
            double lastHeartbeat,
            double workerLostLeader,
            double paused,
            boolean isStoreConnected,
            boolean shouldResign) {
        WorkerConnectivity connectivity = new WorkerConnectivity(SETTINGS, 0);
        connectivity.termStarted(ago(termStarted));
        if (lastHeartbeat >= 0) {
            connectivity.heartbeatReceived(ago(lastHeartbeat));
        }
        connectivity.peerReportedWorkerLostLeader(workerLostLeader < 0 ? -1 : Micros.ofSeconds(workerLostLeader), NOW);
        if (paused >= 0) {
            connectivity.processPaused(ago(paused));
        }
        assertEquals(shouldResign, connectivity.shouldResign(isStoreConnected, NOW));
    }

    /**
     * The token that a worker knows while the leader has token 7, seconds since the worker was redirected to that leader (-1: never), seconds
     * of silence that the leader reports, and the number of these workers.
     */
    @ParameterizedTest
    @CsvSource({
        // New, restarted, or of an earlier term: the worker is searching for the leader.
        "0, -1, 0, 1, false, false",
        "5, -1, 0, 9, false, false",
        // The worker knows the leader but contacts a follower; a single one may be partitioned itself.
        "7, -1, 0, 1, true, false",
        "7, -1, 4, 1, true, true",
        "7, -1, 0, 3, true, true",
        // The worker returned after it was redirected, or may still be connecting to the leader.
        "0, 5, 4, 1, true, true",
        "0, 1, 4, 1, false, false",
    })
    void followerDetectsWorkersThatLostTheLeader(
            long knownToken,
            double redirectedAgo,
            double silence,
            int workers,
            boolean hasLostLeader,
            boolean isUnreachable) {
        WorkerConnectivity connectivity = new WorkerConnectivity(SETTINGS, 0);
        for (int i = 0; i < workers; i++) {
            if (redirectedAgo >= 0) {
                connectivity.heartbeatRedirected(heartbeat("i-" + i, 0, 1), 7, ago(redirectedAgo));
            }
            connectivity.heartbeatRedirected(heartbeat("i-" + i, knownToken, 2), 7, NOW);
        }
        connectivity.leaderReportedSilence(Micros.ofSeconds(silence), NOW);
        assertEquals(hasLostLeader, connectivity.workerLostLeaderAgoMicros(NOW) >= 0);
        assertEquals(isUnreachable, connectivity.isLeaderUnreachable(NOW));
    }

    /** Duplicates of old heartbeats arrive: no worker has lost the leader, and none has contacted this controller. */
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

    private static Heartbeat heartbeat(String machine, long knownToken, long sequence) {
        return new Heartbeat(machine, "x:1", "small", "a", false, 1, sequence, knownToken, -1, List.of());
    }

    /** Seconds since the process started, and since a heartbeat was received (-1: none). */
    @ParameterizedTest
    @CsvSource({"60, 0.5, true", "60, 5, false", "60, -1, false", "1, -1, true"})
    void isConnectedAfterHeartbeatOrProcessStart(double processStarted, double lastHeartbeat, boolean isConnected) {
        WorkerConnectivity connectivity = new WorkerConnectivity(SETTINGS, ago(processStarted));
        if (lastHeartbeat >= 0) {
            connectivity.heartbeatRedirected(heartbeat("i-1", 0, 1), 7, ago(lastHeartbeat));
        }
        assertEquals(isConnected, connectivity.isConnected(NOW));
    }
}
