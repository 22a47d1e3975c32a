package io.micatide.election;

import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether workers reach the leader. A leader that only the workers have lost goes on renewing its lease, and every task is killed once the
 * workers' leases expire: on the operators' recorded days thousands were. It cannot tell such a partition from machines that are all gone;
 * a peer that the workers turn to instead can. The same object keeps both sides: what a follower sees of workers that lost the leader, and
 * what a leader knows of its own silence.
 *
 * <p>Times are microseconds on the process's steady clock. Not thread-safe: used by the leader's actor only.
 */
public final class WorkerConnectivity {
    /** So many workers that lost the leader within {@link #RECENT_MICROS} show that it is not they who are partitioned. */
    private static final int UNREACHABLE_WORKER_THRESHOLD = 3;

    private static final long RECENT_MICROS = 2 * Micros.SECOND;
    /** A worker that was redirected to the leader is there by then, and one that could not reach it is back later. */
    private static final long REDIRECTION_MICROS = 2 * Micros.SECOND;

    /** A leader that has received no heartbeat for so long in its term most likely has no workers, and stops asking for them. */
    private static final long NO_WORKERS_AFTER_MICROS = 30 * Micros.SECOND;

    /** Longer ago than any time that counts, and far enough from the range's end to be subtracted from. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;
    /** Later than any time that counts, and far enough from the range's end to be subtracted. */
    private static final long FAR_FUTURE_MICROS = Long.MAX_VALUE / 2;

    /** The last heartbeat of a worker that was redirected to the leader, and when it first was in this term. */
    private record Redirection(long fencingToken, long firstMicros, long incarnation, long sequence) {}

    private final long silenceLimitMicros;
    private final long startedMicros;

    // What a follower knows.
    private final Map<String, Redirection> redirections = new HashMap<>();
    /** Workers that lost the leader, by machine, and when they came here. */
    private final Map<String, Long> workersWithoutLeader = new HashMap<>();

    private long workerRedirectedMicros = NEVER_MICROS;
    private long workerLostLeaderMicros = NEVER_MICROS;
    private long leaderSilentSinceMicros = FAR_FUTURE_MICROS;
    private long leaderStatusMicros = NEVER_MICROS;

    // What a leader knows.
    private boolean hasReceivedHeartbeat;
    private long lastHeartbeatMicros;
    private long workerLostThisLeaderMicros = NEVER_MICROS;

    /**
     * A controller that has just started and has heard of no worker.
     *
     * @param settings for the interval of heartbeats
     * @param nowMicros the time
     */
    public WorkerConnectivity(Settings settings, long nowMicros) {
        startedMicros = nowMicros;
        // Heartbeats are up to a quarter late; a fleet of any size is never silent for longer than one of them and a
        // pause.
        silenceLimitMicros = settings.heartbeatIntervalMicros() * 5 / 4 + Micros.SECOND;
    }

    // ---- a follower

    /**
     * A worker's heartbeat came to this controller, which does not lead. A worker that knows the leader's token, or is back from it, has
     * lost the leader. A copy of an older heartbeat that arrives once more says nothing: taken for a worker that was back, three of them
     * made this controller send all other workers away to look for the leader themselves.
     *
     * @param heartbeat with the highest fencing token that the worker knows
     * @param leaderToken the highest fencing token that this controller knows, 0 for none
     * @param nowMicros the time
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
            redirections.values().removeIf(each -> each.fencingToken() != leaderToken);
        }
        long firstMicros = wasRedirectedToLeader ? previous.firstMicros() : nowMicros;
        redirections.put(
                heartbeat.machine(),
                new Redirection(leaderToken, firstMicros, heartbeat.incarnation(), heartbeat.sequence()));
    }

    /**
     * The leader says how long it has received no heartbeat.
     *
     * @param silentMicros for how long
     * @param nowMicros the time
     */
    public void leaderReportedSilence(long silentMicros, long nowMicros) {
        leaderStatusMicros = nowMicros;
        leaderSilentSinceMicros = nowMicros - silentMicros;
    }

    /**
     * Whether workers should look for a leader themselves instead of being redirected to the one known here: a connection to one that is
     * partitioned from them hangs for four seconds of a lease of ten.
     *
     * @param nowMicros the time
     * @return true if many workers have just lost the leader, or one has and the leader itself reports silence
     */
    public boolean isLeaderUnreachable(long nowMicros) {
        workersWithoutLeader.values().removeIf(at -> nowMicros - at > RECENT_MICROS);
        return workersWithoutLeader.size() >= UNREACHABLE_WORKER_THRESHOLD
                || (!workersWithoutLeader.isEmpty()
                        && nowMicros - leaderStatusMicros < RECENT_MICROS
                        && nowMicros - leaderSilentSinceMicros > silenceLimitMicros);
    }

    /**
     * How long ago a worker that had lost the leader came here.
     *
     * @param nowMicros the time
     * @return in microseconds, -1 if that is too long ago to matter
     */
    public long workerLostLeaderAgoMicros(long nowMicros) {
        long agoMicros = nowMicros - workerLostLeaderMicros;
        return agoMicros < RECENT_MICROS ? agoMicros : -1;
    }

    /**
     * Whether workers reach this controller, as far as it can know: of several that could lead, one that receives heartbeats should. After
     * the end of a leader all workers look for another one, so a controller that receives none for long is partitioned from them, or
     * there are none. A process that has just started has had no time to receive any.
     *
     * @param nowMicros the time
     * @return whether a heartbeat came, or the process was started, within the last two seconds
     */
    public boolean isConnected(long nowMicros) {
        return nowMicros - Math.max(workerRedirectedMicros, lastHeartbeatMicros) < RECENT_MICROS
                || nowMicros - startedMicros < RECENT_MICROS;
    }

    // ---- the leader

    /**
     * A term of this controller begins: workers have yet to find it.
     *
     * @param nowMicros the time
     */
    public void termStarted(long nowMicros) {
        hasReceivedHeartbeat = false;
        lastHeartbeatMicros = nowMicros + REDIRECTION_MICROS;
        workerLostThisLeaderMicros = NEVER_MICROS;
        redirections.clear();
        workersWithoutLeader.clear();
    }

    /**
     * A worker's heartbeat came to this controller, which leads.
     *
     * @param nowMicros the time
     */
    public void heartbeatReceived(long nowMicros) {
        hasReceivedHeartbeat = true;
        lastHeartbeatMicros = nowMicros;
    }

    /**
     * This process was paused: that it received no heartbeat says nothing about the workers.
     *
     * @param nowMicros the time at which it went on
     */
    public void processPaused(long nowMicros) {
        lastHeartbeatMicros = Math.max(lastHeartbeatMicros, nowMicros);
    }

    /**
     * How long this leader has received no heartbeat.
     *
     * @param nowMicros the time
     * @return in microseconds, 0 while a new leader is not expected to have received any
     */
    public long silentMicros(long nowMicros) {
        return Math.max(0, nowMicros - lastHeartbeatMicros);
    }

    /**
     * Whether peers should be asked for workers at once instead of with the next regular status.
     *
     * @param nowMicros the time
     * @return false while heartbeats come, and if there most likely are no workers
     */
    public boolean shouldAskPeers(long nowMicros) {
        long silentMicros = silentMicros(nowMicros);
        return silentMicros > silenceLimitMicros / 2
                && (hasReceivedHeartbeat || silentMicros < NO_WORKERS_AFTER_MICROS);
    }

    /**
     * A peer says how long ago a worker that had lost this leader came to it.
     *
     * @param agoMicros -1 if none did
     * @param nowMicros the time
     */
    public void peerReportedWorkerLostLeader(long agoMicros, long nowMicros) {
        if (agoMicros >= 0) {
            workerLostThisLeaderMicros = Math.max(workerLostThisLeaderMicros, nowMicros - agoMicros);
        }
    }

    /**
     * Whether this leader should resign: it receives no heartbeats and, since the last one, a worker has looked for it at a peer. Without
     * such a report it stays, be it that all controllers are partitioned from the workers or that there are no machines: nobody could do
     * better. Nor could anybody claim while the store is away: the partition may be over before that.
     *
     * @param isStoreConnected whether the store answers this controller
     * @param nowMicros the time
     * @return whether another controller would serve the workers better
     */
    public boolean shouldResign(boolean isStoreConnected, long nowMicros) {
        return isStoreConnected
                && silentMicros(nowMicros) > silenceLimitMicros
                && workerLostThisLeaderMicros > lastHeartbeatMicros
                && nowMicros - workerLostThisLeaderMicros < RECENT_MICROS;
    }
}
