package io.micatide.election;

import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects whether workers can reach the leader. A leader that is partitioned from the workers only keeps renewing its lease, and all tasks
 * are killed when the workers' leases expire; on days recorded by the operators this killed thousands of tasks. The leader cannot
 * distinguish this partition from the loss of all machines, but a peer that the workers contact instead can.
 *
 * <p>An instance serves both roles: on a follower it tracks workers that have lost the leader, on the leader it tracks for how long no
 * heartbeat has been received (the leader's silence).
 *
 * <p>Times are microseconds on the process's steady clock. Not thread-safe: used by the leader's actor only.
 */
public final class WorkerConnectivity {
    /** This number of workers losing the leader within {@link #RECENT_MICROS} shows that the leader is partitioned, not the workers. */
    private static final int UNREACHABLE_WORKER_THRESHOLD = 3;

    /** An observation or report counts for this long. */
    private static final long RECENT_MICROS = 2 * Micros.SECOND;
    /** A redirected worker reaches the leader within this time; one that cannot reach it returns later than this. */
    private static final long REDIRECTION_MICROS = 2 * Micros.SECOND;

    /** A leader without any heartbeat in its term for this long most likely has no workers, and stops asking peers about them. */
    private static final long NO_WORKERS_AFTER_MICROS = 30 * Micros.SECOND;

    /** Earlier than any relevant time, yet differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;
    /** Later than any relevant time, yet differences to it do not overflow. */
    private static final long FAR_FUTURE_MICROS = Long.MAX_VALUE / 2;

    /**
     * A worker that was redirected to the leader.
     *
     * @param fencingToken token of the leader that the worker was redirected to
     * @param firstMicros time of the worker's first redirection in that term
     * @param incarnation incarnation in the worker's last heartbeat
     * @param sequence sequence in the worker's last heartbeat
     */
    private record Redirection(long fencingToken, long firstMicros, long incarnation, long sequence) {}

    /** Time without heartbeats above which a leader counts as silent. */
    private final long silenceLimitMicros;

    private final long startedMicros;

    // State of a follower.
    /** Redirected workers, by machine. */
    private final Map<String, Redirection> redirections = new HashMap<>();
    /** Times at which workers that lost the leader last contacted this controller, by machine. */
    private final Map<String, Long> workersWithoutLeader = new HashMap<>();

    /** Time of the last heartbeat that was not a duplicate. */
    private long workerRedirectedMicros = NEVER_MICROS;
    /** Time at which a worker that lost the leader last contacted this controller. */
    private long workerLostLeaderMicros = NEVER_MICROS;
    /** Time since which the leader receives no heartbeats, by its last report. */
    private long leaderSilentSinceMicros = FAR_FUTURE_MICROS;
    /** Time of the leader's last report. */
    private long leaderStatusMicros = NEVER_MICROS;

    // State of the leader.
    private boolean hasReceivedHeartbeat;
    /** Time from which silence counts: the last heartbeat, the end of a pause, or the grace period of a new leader. */
    private long lastHeartbeatMicros;

    /** Time at which a worker that lost this leader last contacted a peer, by the peers' reports. */
    private long workerLostThisLeaderMicros = NEVER_MICROS;

    /**
     * Creates the state of a controller that has just started and knows of no worker.
     *
     * @param settings the interval of heartbeats is used
     * @param nowMicros current time
     */
    public WorkerConnectivity(Settings settings, long nowMicros) {
        startedMicros = nowMicros;
        // Heartbeats are up to a quarter late. A connected fleet of any size is silent for at most one interval and a
        // pause.
        silenceLimitMicros = settings.heartbeatIntervalMicros() * 5 / 4 + Micros.SECOND;
    }

    // ---- a follower

    /**
     * Records a heartbeat that this controller received while it does not lead. A worker has lost the leader if it knows the leader's
     * token, or if it returns after it was redirected to the leader. A duplicate of an older heartbeat is ignored: when duplicates counted
     * as returning workers, three of them made this controller leave all other workers to search for the leader themselves.
     *
     * @param heartbeat the heartbeat, with the highest fencing token that the worker knows
     * @param leaderToken the highest fencing token that this controller knows, 0 for none
     * @param nowMicros current time
     */
    public void heartbeatRedirected(Heartbeat heartbeat, long leaderToken, long nowMicros) {
        Redirection previous = redirections.get(heartbeat.machine());
        if (previous != null && !heartbeat.isNewerThan(previous.incarnation(), previous.sequence())) {
            return;
        }
        workerRedirectedMicros = nowMicros;
        boolean wasRedirectedToLeader = previous != null && previous.fencingToken() == leaderToken;
        boolean hasReturned = wasRedirectedToLeader && nowMicros - previous.firstMicros() > REDIRECTION_MICROS;
        if (leaderToken > 0 && (heartbeat.fencingToken() == leaderToken || hasReturned)) {
            workerLostLeaderMicros = nowMicros;
            workersWithoutLeader.put(heartbeat.machine(), nowMicros);
        }
        if (!wasRedirectedToLeader) {
            redirections.values().removeIf(redirection -> redirection.fencingToken() != leaderToken);
        }
        long firstMicros = wasRedirectedToLeader ? previous.firstMicros() : nowMicros;
        redirections.put(
                heartbeat.machine(),
                new Redirection(leaderToken, firstMicros, heartbeat.incarnation(), heartbeat.sequence()));
    }

    /**
     * Records the leader's report of how long it has received no heartbeat.
     *
     * @param silentMicros the duration that the leader reported
     * @param nowMicros current time
     */
    public void leaderReportedSilence(long silentMicros, long nowMicros) {
        leaderStatusMicros = nowMicros;
        leaderSilentSinceMicros = nowMicros - silentMicros;
    }

    /**
     * Returns whether workers should search for a leader themselves instead of being redirected to the leader that is known here. A
     * connection to a leader that is partitioned from the workers hangs for 4 s of a lease of 10 s.
     *
     * @param nowMicros current time
     * @return true if several workers have just lost the leader, or if one has and the leader itself reports silence
     */
    public boolean isLeaderUnreachable(long nowMicros) {
        workersWithoutLeader.values().removeIf(contactMicros -> nowMicros - contactMicros > RECENT_MICROS);
        return workersWithoutLeader.size() >= UNREACHABLE_WORKER_THRESHOLD
                || (!workersWithoutLeader.isEmpty()
                        && nowMicros - leaderStatusMicros < RECENT_MICROS
                        && nowMicros - leaderSilentSinceMicros > silenceLimitMicros);
    }

    /**
     * Returns how long ago a worker that had lost the leader last contacted this controller.
     *
     * @param nowMicros current time
     * @return the duration in microseconds, -1 if no worker did so within the last two seconds
     */
    public long workerLostLeaderAgoMicros(long nowMicros) {
        long agoMicros = nowMicros - workerLostLeaderMicros;
        return agoMicros < RECENT_MICROS ? agoMicros : -1;
    }

    /**
     * Returns whether workers reach this controller, as far as it can know. Of several candidates, one that receives heartbeats should
     * lead. After a leader fails, all workers search for another one, so a controller that receives no heartbeats is partitioned from the
     * workers, or there are no workers. A process that has just started has not had the time to receive any.
     *
     * @param nowMicros current time
     * @return whether a heartbeat was received, or the process was started, within the last two seconds
     */
    public boolean isConnected(long nowMicros) {
        return nowMicros - Math.max(workerRedirectedMicros, lastHeartbeatMicros) < RECENT_MICROS
                || nowMicros - startedMicros < RECENT_MICROS;
    }

    // ---- the leader

    /**
     * Begins a term of this controller. Silence counts only after a grace period in which workers find the new leader.
     *
     * @param nowMicros current time
     */
    public void termStarted(long nowMicros) {
        hasReceivedHeartbeat = false;
        lastHeartbeatMicros = nowMicros + REDIRECTION_MICROS;
        workerLostThisLeaderMicros = NEVER_MICROS;
        redirections.clear();
        workersWithoutLeader.clear();
    }

    /**
     * Records that this controller received a heartbeat while it leads.
     *
     * @param nowMicros current time
     */
    public void heartbeatReceived(long nowMicros) {
        hasReceivedHeartbeat = true;
        lastHeartbeatMicros = nowMicros;
    }

    /**
     * Records that this process was paused. That it received no heartbeats meanwhile does not count as silence.
     *
     * @param nowMicros time at which the process continued
     */
    public void processPaused(long nowMicros) {
        lastHeartbeatMicros = Math.max(lastHeartbeatMicros, nowMicros);
    }

    /**
     * Returns for how long this leader has received no heartbeat.
     *
     * @param nowMicros current time
     * @return the duration in microseconds, 0 during the grace period of a new leader
     */
    public long silentMicros(long nowMicros) {
        return Math.max(0, nowMicros - lastHeartbeatMicros);
    }

    /**
     * Returns whether to ask peers immediately whether workers have contacted them, instead of with the next regular status request.
     *
     * @param nowMicros current time
     * @return false while heartbeats are received, and if there most likely are no workers
     */
    public boolean shouldAskPeers(long nowMicros) {
        long silentMicros = silentMicros(nowMicros);
        return silentMicros > silenceLimitMicros / 2
                && (hasReceivedHeartbeat || silentMicros < NO_WORKERS_AFTER_MICROS);
    }

    /**
     * Records a peer's report of how long ago a worker that had lost this leader contacted the peer.
     *
     * @param agoMicros the reported duration, -1 if no worker did so recently
     * @param nowMicros current time
     */
    public void peerReportedWorkerLostLeader(long agoMicros, long nowMicros) {
        if (agoMicros >= 0) {
            workerLostThisLeaderMicros = Math.max(workerLostThisLeaderMicros, nowMicros - agoMicros);
        }
    }

    /**
     * Returns whether this leader should resign: it receives no heartbeats and, since the last one, a worker that lost it has contacted a
     * peer. Without a peer's report it stays leader: either all controllers are partitioned from the workers, or there are no machines, and
     * no other controller could do better. It also stays while the store does not answer, since no other controller could claim leadership
     * then and the partition may end before the outage does.
     *
     * @param isStoreConnected whether the store answers this controller
     * @param nowMicros current time
     * @return whether another controller would serve the workers better
     */
    public boolean shouldResign(boolean isStoreConnected, long nowMicros) {
        return isStoreConnected
                && silentMicros(nowMicros) > silenceLimitMicros
                && workerLostThisLeaderMicros > lastHeartbeatMicros
                && nowMicros - workerLostThisLeaderMicros < RECENT_MICROS;
    }
}
