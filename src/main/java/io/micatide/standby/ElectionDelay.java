package io.micatide.standby;

import io.micatide.model.Micros;
import io.micatide.model.StandbyReadiness;
import java.util.List;

/**
 * Determines how long a controller delays its candidacy once the leader lease is free, so that a better prepared controller wins the
 * election. Safety does not depend on the delay, since the compare-and-swap on the lease decides. A controller that waits although no
 * better candidate exists only lengthens the time without a leader by its delay.
 *
 * <p>Times are microseconds on the process's steady clock. Not thread-safe.
 */
public final class ElectionDelay {
    /** Delay of a controller that workers do not reach: as the leader it would receive no heartbeats. */
    static final long UNREACHED_DELAY_MICROS = 600 * Micros.MILLISECOND;
    /** Delay per designated standby with a better rank. A claim takes two round trips to the store, and the watch of its outcome one. */
    static final long RANK_DELAY_MICROS = 100 * Micros.MILLISECOND;
    /** Delay of a cold controller while a peer reports that it is not cold. */
    static final long COLD_DELAY_MICROS = 600 * Micros.MILLISECOND;
    /** Running peers answer within this time; a controller waits no longer for a peer that may not be running. */
    static final long PEER_ANSWER_TIMEOUT_MICROS = 200 * Micros.MILLISECOND;
    /** Time after its start from which a process is no longer cold, whether it has learned of a leader or not. */
    static final long COLD_PERIOD_MICROS = 5 * Micros.SECOND;
    /** Validity of a designation: standbys that were designated earlier may all have stopped. */
    static final long DESIGNATION_TTL_MICROS = 20 * Micros.SECOND;
    /** Validity of a handover: the leader releases its lease within this time. */
    static final long HANDOVER_TTL_MICROS = 2 * Micros.SECOND;
    /** Validity of a peer's report of its readiness. */
    static final long PEER_REPORT_TTL_MICROS = 2 * Micros.SECOND;
    /** Earlier than any relevant time, yet differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final String label;
    private final long startedMicros;
    private final PeerReport[] peers;
    /** Whether this process has received a leader's status or has led itself. */
    private boolean hasSeenLeader;

    private List<String> designatedStandbys = List.of();
    private long designatedMicros = NEVER_MICROS;
    private boolean isReplicaComplete;
    private long handoverMicros = NEVER_MICROS;

    /** The last report of a peer about its readiness. */
    private static final class PeerReport {
        long reportedMicros = NEVER_MICROS;
        boolean isWarm;
        boolean isReachedByWorkers;

        boolean isRecent(long nowMicros) {
            return nowMicros - reportedMicros <= PEER_REPORT_TTL_MICROS;
        }
    }

    /**
     * Creates the state of a process that starts now.
     *
     * @param label label of this controller
     * @param peerCount number of other controllers in the deployment
     * @param nowMicros current time
     */
    public ElectionDelay(String label, int peerCount, long nowMicros) {
        this.label = label;
        this.startedMicros = nowMicros;
        this.peers = new PeerReport[peerCount];
        for (int peerIndex = 0; peerIndex < peerCount; peerIndex++) {
            peers[peerIndex] = new PeerReport();
        }
    }

    /**
     * Returns the delay in a deployment without standbys, where only the connectivity to workers matters.
     *
     * @param isReachedByWorkers whether workers reach this controller
     * @return microseconds from the time at which the lease became free
     */
    public static long delayWithoutStandbys(boolean isReachedByWorkers) {
        return isReachedByWorkers ? 0 : UNREACHED_DELAY_MICROS;
    }

    /**
     * Returns whether a peer has recently reported that it is not cold.
     *
     * @param nowMicros current time
     * @return whether a cold controller should leave the lease to a peer
     */
    public boolean hasWarmerPeer(long nowMicros) {
        for (PeerReport peer : peers) {
            if (peer.isWarm && peer.isRecent(nowMicros)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Records the designated standbys from the leader's status.
     *
     * @param labels labels of the standbys, best rank first; null if the leader has not designated standbys yet, or is of a previous
     *     version that never does. With null, an earlier designation stays until it expires.
     * @param nowMicros current time
     */
    public void standbysDesignated(List<String> labels, long nowMicros) {
        hasSeenLeader = true;
        if (labels == null) {
            if (isDesignationExpired(nowMicros)) {
                designatedStandbys = List.of();
            }
            return;
        }
        designatedStandbys = List.copyOf(labels);
        designatedMicros = nowMicros;
    }

    /**
     * Returns whether this controller is a designated standby.
     *
     * @return whether this controller has to keep a replica of the records that a leader reads
     */
    public boolean isDesignated() {
        return designatedStandbys.contains(label);
    }

    /** Records the end of a term of this controller, which knows the deployment from then on and is not cold. */
    public void termEnded() {
        hasSeenLeader = true;
    }

    /**
     * Records that the leader is shutting down and has chosen this controller as its successor. Workers had no reason to contact this
     * controller so far, so missing heartbeats do not delay its candidacy.
     *
     * @param nowMicros current time
     */
    public void handoverReceived(long nowMicros) {
        handoverMicros = nowMicros;
    }

    /**
     * Returns whether the leader has recently handed over to this controller.
     *
     * @param nowMicros current time
     * @return whether this controller claims the lease without delay
     */
    public boolean hasRecentHandover(long nowMicros) {
        return nowMicros - handoverMicros <= HANDOVER_TTL_MICROS;
    }

    /**
     * Sets whether the replica of the records that a leader reads is complete.
     *
     * @param isComplete false also if this controller keeps no replica
     */
    public void setReplicaComplete(boolean isComplete) {
        isReplicaComplete = isComplete;
    }

    /**
     * Returns the readiness of this controller for a failover.
     *
     * @param nowMicros current time
     * @return the readiness, never null
     */
    public StandbyReadiness readiness(long nowMicros) {
        if (!hasSeenLeader && nowMicros - startedMicros < COLD_PERIOD_MICROS) {
            return StandbyReadiness.COLD;
        }
        return isReplicaComplete && isDesignated() ? StandbyReadiness.WARM : StandbyReadiness.SEASONED;
    }

    /**
     * Records a peer's report of its readiness. For a peer of a previous version that answers, the caller reports {@code SEASONED}; for a
     * peer whose port is closed, {@code COLD} and not reached by workers.
     *
     * @param peerIndex the peer's index in {@code Settings.peers()}
     * @param readiness the readiness that the peer reports
     * @param isReachedByWorkers whether workers that lost the leader have recently contacted the peer
     * @param nowMicros current time
     */
    public void peerReadinessReported(
            int peerIndex, StandbyReadiness readiness, boolean isReachedByWorkers, long nowMicros) {
        PeerReport peer = peers[peerIndex];
        peer.reportedMicros = nowMicros;
        peer.isWarm = readiness != StandbyReadiness.COLD;
        peer.isReachedByWorkers = isReachedByWorkers;
    }

    /**
     * Returns how long this controller leaves a free lease to others, counted from the time at which the lease became free.
     *
     * @param claimableMicros duration for which the lease has been free already
     * @param isReachedByWorkers whether workers reach this controller
     * @param nowMicros current time
     * @return the delay in microseconds, 0 for none
     */
    public long delayMicros(long claimableMicros, boolean isReachedByWorkers, long nowMicros) {
        if (hasRecentHandover(nowMicros)) {
            return 0;
        }
        long connectivityDelayMicros = isReachedByWorkers ? 0 : unreachedDelayMicros(claimableMicros, nowMicros);
        StandbyReadiness ownReadiness = readiness(nowMicros);
        if (ownReadiness == StandbyReadiness.COLD) {
            return connectivityDelayMicros + coldDelayMicros(claimableMicros, nowMicros);
        }
        if (designatedStandbys.isEmpty() || isDesignationExpired(nowMicros)) {
            return connectivityDelayMicros;
        }
        int rank =
                ownReadiness == StandbyReadiness.WARM ? designatedStandbys.indexOf(label) : designatedStandbys.size();
        return connectivityDelayMicros + rank * RANK_DELAY_MICROS;
    }

    private boolean isDesignationExpired(long nowMicros) {
        return nowMicros - designatedMicros > DESIGNATION_TTL_MICROS;
    }

    /**
     * Returns the delay of a controller that no worker has contacted: it leaves the lease to a peer that workers reach. If they have
     * contacted no peer either, because the leader ran until a moment ago, it only waits for the peers' reports. A longer delay would serve
     * no purpose, and was most of the time without a leader when controller processes restarted immediately.
     */
    private long unreachedDelayMicros(long claimableMicros, long nowMicros) {
        for (PeerReport peer : peers) {
            if (peer.isReachedByWorkers && peer.isRecent(nowMicros)) {
                return UNREACHED_DELAY_MICROS;
            }
        }
        return peerAnswerDelayMicros(claimableMicros, nowMicros);
    }

    /** Returns the delay of a cold controller, which waits only for a peer that is not cold, or for the peers' reports. */
    private long coldDelayMicros(long claimableMicros, long nowMicros) {
        return hasWarmerPeer(nowMicros) ? COLD_DELAY_MICROS : peerAnswerDelayMicros(claimableMicros, nowMicros);
    }

    /** Returns the delay that leaves peers time to report, 0 if all have reported recently or the time has passed. */
    private long peerAnswerDelayMicros(long claimableMicros, long nowMicros) {
        return claimableMicros >= PEER_ANSWER_TIMEOUT_MICROS || haveAllPeersReported(nowMicros)
                ? 0
                : PEER_ANSWER_TIMEOUT_MICROS;
    }

    private boolean haveAllPeersReported(long nowMicros) {
        for (PeerReport peer : peers) {
            if (!peer.isRecent(nowMicros)) {
                return false;
            }
        }
        return true;
    }
}
