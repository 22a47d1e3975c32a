package io.micatide.election;

import io.micatide.model.Heartbeat;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether the workers reach the leader. A leader that only the workers have lost goes on renewing its lease, and every
 * task dies with the workers' leases: on the operators' recorded days thousands did. It cannot tell such a cut from machines
 * that are all gone; a sibling that the workers turn to instead can tell it. The same object keeps both sides: what a
 * follower sees of workers that should be with the leader, and what a leader knows of its own silence.
 */
public final class WorkerConnectivity {
    /** So many workers that left the leader within {@link #RECENT_MICROS} show that it is not they who are cut off. */
    private static final int MANY_WORKERS = 3;

    private static final long RECENT_MICROS = 2 * Micros.SECOND;
    /** A worker that was sent to the leader is there by then, and one that could not reach it is back later. */
    private static final long REDIRECTION_MICROS = 2 * Micros.SECOND;

    /** A leader that never heard a worker most likely has none, and stops asking for them. */
    private static final long NO_WORKERS_AFTER_MICROS = 30 * Micros.SECOND;

    private record Redirection(long fencingToken, long atMicros, long incarnation, long sequence) {}

    private final long silenceLimitMicros;
    private final long startedMicros;
    private long workerRedirectedMicros = Long.MIN_VALUE / 2;
    private final Map<String, Redirection> redirections = new HashMap<>();
    private final Map<String, Long> workersWithoutLeader = new HashMap<>();
    private long workerLostLeaderMicros = Long.MIN_VALUE / 2;
    private long leaderSilentSinceMicros = Long.MAX_VALUE / 2;
    private long leaderStatusMicros = Long.MIN_VALUE / 2;
    private boolean hasReceivedHeartbeat;
    private long heartbeatMicros;
    private long workerLostThisLeaderMicros = Long.MIN_VALUE / 2;

    public WorkerConnectivity(Settings settings, long nowMicros) {
        startedMicros = nowMicros;
        // Reports are up to a quarter late; a fleet of any size is never silent for longer than one of them and a
        // pause.
        silenceLimitMicros = settings.heartbeatIntervalMicros() * 5 / 4 + Micros.SECOND;
    }

    // ---- a follower

    /**
     * A worker came to this controller, which does not lead; {@code seen} is the highest token that it knows. One that knows
     * the leader, or comes back from it, has lost it. A copy of an older report that arrives once more says nothing: taken for a worker that
     * came back, three of them made this controller send all others away to look for themselves.
     */
    public void heartbeatRedirected(Heartbeat heartbeat, long leaderToken, long nowMicros) {
        String machine = heartbeat.machine();
        long seen = heartbeat.fencingToken();
        Redirection before = redirections.get(machine);
        if (before != null && !heartbeat.isNewerThan(before.incarnation(), before.sequence())) {
            return;
        }
        workerRedirectedMicros = nowMicros;
        boolean back = before != null
                && before.fencingToken() == leaderToken
                && nowMicros - before.atMicros() > REDIRECTION_MICROS;
        if (leaderToken > 0 && (seen == leaderToken || back)) {
            workerLostLeaderMicros = nowMicros;
            workersWithoutLeader.put(machine, nowMicros);
        }
        if (before == null || before.fencingToken() != leaderToken) {
            redirections.values().removeIf(each -> each.fencingToken() != leaderToken);
            redirections.put(
                    machine, new Redirection(leaderToken, nowMicros, heartbeat.incarnation(), heartbeat.sequence()));
        } else {
            redirections.put(
                    machine,
                    new Redirection(leaderToken, before.atMicros(), heartbeat.incarnation(), heartbeat.sequence()));
        }
    }

    /** The leader says how long no worker has come to it. */
    public void leaderReportedSilence(long silentMicros, long nowMicros) {
        leaderStatusMicros = nowMicros;
        leaderSilentSinceMicros = nowMicros - silentMicros;
    }

    /**
     * Whether workers should look for themselves instead of being sent to the leader: a connection to one that is cut off
     * hangs for four seconds of a lease of ten.
     */
    public boolean isLeaderUnreachable(long nowMicros) {
        workersWithoutLeader.values().removeIf(at -> nowMicros - at > RECENT_MICROS);
        return workersWithoutLeader.size() >= MANY_WORKERS
                || (!workersWithoutLeader.isEmpty()
                        && nowMicros - leaderStatusMicros < RECENT_MICROS
                        && nowMicros - leaderSilentSinceMicros > silenceLimitMicros);
    }

    /** How long ago a worker that had lost the leader came here, or -1 if that is too long ago to matter. */
    public long workerLostLeaderAgoMicros(long nowMicros) {
        long ago = nowMicros - workerLostLeaderMicros;
        return ago < RECENT_MICROS ? ago : -1;
    }

    /**
     * Whether workers reach this controller, as far as it can know: of several that could lead, the one that hears them
     * should. After a leader's end all workers look for another one, so whoever hears none for long is cut off from
     * them, or there are none. A process that has just begun has had no time to hear any.
     */
    public boolean isConnected(long nowMicros) {
        return nowMicros - Math.max(workerRedirectedMicros, heartbeatMicros) < RECENT_MICROS
                || nowMicros - startedMicros < RECENT_MICROS;
    }

    // ---- the leader

    /** A term begins: workers have yet to find this controller. */
    public void termStarted(long nowMicros) {
        hasReceivedHeartbeat = false;
        heartbeatMicros = nowMicros + REDIRECTION_MICROS;
        workerLostThisLeaderMicros = Long.MIN_VALUE / 2;
        redirections.clear();
        workersWithoutLeader.clear();
    }

    public void heartbeatReceived(long nowMicros) {
        hasReceivedHeartbeat = true;
        heartbeatMicros = nowMicros;
    }

    /** This process stood still: its silence says nothing about the workers. */
    public void processPaused(long nowMicros) {
        heartbeatMicros = Math.max(heartbeatMicros, nowMicros);
    }

    public long silentMicros(long nowMicros) {
        return Math.max(0, nowMicros - heartbeatMicros);
    }

    /** Whether siblings should be asked now instead of with the next regular news. */
    public boolean shouldAskPeers(long nowMicros) {
        long silent = silentMicros(nowMicros);
        return silent > silenceLimitMicros / 2 && (hasReceivedHeartbeat || silent < NO_WORKERS_AFTER_MICROS);
    }

    /** A sibling's word that a worker which had lost the leader came to it that long ago; -1: none did. */
    public void peerReportedWorkerLostLeader(long agoMicros, long nowMicros) {
        if (agoMicros >= 0) {
            workerLostThisLeaderMicros = Math.max(workerLostThisLeaderMicros, nowMicros - agoMicros);
        }
    }

    /**
     * Whether this leader should give up: silence on its side and, since then, a worker that looked for it at a sibling.
     * Without such news it stays, be it that all are cut off or that there are no machines: nobody could do better. Nor could
     * anybody claim while the state service is away: the cut may be over before that.
     */
    public boolean shouldResign(boolean stateServed, long nowMicros) {
        return stateServed
                && silentMicros(nowMicros) > silenceLimitMicros
                && workerLostThisLeaderMicros > heartbeatMicros
                && nowMicros - workerLostThisLeaderMicros < RECENT_MICROS;
    }
}
