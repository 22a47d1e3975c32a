package io.micatide.standby;

import io.micatide.model.Micros;
import io.micatide.model.StandbyReadiness;
import java.util.List;

/**
 * Decides how long a controller delays its candidacy once the leader lease is free, so that a controller that is better prepared wins the
 * election. The delay is no part of safety: the compare-and-swap on the lease decides, and whoever waits for nobody loses half a second
 * at most. Times in microseconds on the process's steady clock. One thread at a time.
 */
public final class ElectionDelay {
    /** Delay of a controller that agents do not reach: it would lead a fleet that it cannot hear. */
    static final long UNREACHED_DELAY_MICROS = 600 * Micros.MILLISECOND;
    /** Delay for each designated standby with a better rank. A claim takes two round trips to the store, and the watch of its outcome one. */
    static final long RANK_DELAY_MICROS = 100 * Micros.MILLISECOND;
    /** Delay of a cold controller while a warmer one is there. */
    static final long COLD_DELAY_MICROS = 600 * Micros.MILLISECOND;
    /** Peers that are there answer within this; nobody waits longer for one that may not be there. */
    static final long PEER_ANSWER_TIMEOUT_MICROS = 200 * Micros.MILLISECOND;
    /** A process is no longer cold after so long, whether it has heard of a leader or not. */
    static final long COLD_PERIOD_MICROS = 5 * Micros.SECOND;
    /** How long a designation counts: standbys designated longer ago may all be gone. */
    static final long DESIGNATION_TTL_MICROS = 20 * Micros.SECOND;
    /** A leader that hands over gives its lease back within this. */
    static final long HANDOVER_TTL_MICROS = 2 * Micros.SECOND;
    /** How long a peer's report of its readiness counts. */
    static final long PEER_REPORT_TTL_MICROS = 2 * Micros.SECOND;
    /** A time so long ago that nothing since then counts, chosen so that differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final String label;
    private final long startedMicros;
    private final PeerReport[] peers;
    /** Whether this process has heard of a leader or led itself. */
    private boolean hasSeenLeader;

    private List<String> designatedStandbys = List.of();
    private long designatedMicros = NEVER_MICROS;
    private boolean isReplicaComplete;
    private long handoverMicros = NEVER_MICROS;

    /** What a peer said last of its readiness. */
    private static final class PeerReport {
        long reportedMicros = NEVER_MICROS;
        boolean isWarm;
        boolean isReachedByWorkers;

        boolean isRecent(long nowMicros) {
            return nowMicros - reportedMicros <= PEER_REPORT_TTL_MICROS;
        }
    }

    /**
     * Makes the delay of a process that begins now.
     *
     * @param label this controller's
     * @param peerCount how many other controllers the deployment has
     * @param nowMicros the present time
     */
    public ElectionDelay(String label, int peerCount, long nowMicros) {
        this.label = label;
        this.startedMicros = nowMicros;
        this.peers = new PeerReport[peerCount];
        for (int sibling = 0; sibling < peerCount; sibling++) {
            peers[sibling] = new PeerReport();
        }
    }

    /**
     * The delay in a deployment without standbys, where all that counts is whether agents reach the controller.
     *
     * @param isReachedByWorkers whether agents come to this controller
     * @return microseconds from the moment at which the lease is free
     */
    public static long delayWithoutStandbys(boolean isReachedByWorkers) {
        return isReachedByWorkers ? 0 : UNREACHED_DELAY_MICROS;
    }

    /**
     * Whether a peer has reported just now that it is not cold.
     *
     * @param nowMicros the present time
     * @return whether a cold controller should leave the lease to that peer
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
     * The leader's status names the standbys that are to take over.
     *
     * @param labels of the standbys, the first one first; null from a leader that has not designated anybody yet or, being of a former
     *     version, never will
     * @param nowMicros the present time
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
     * Whether this controller is a designated standby.
     *
     * @return whether it is to keep a replica of what a leader reads
     */
    public boolean isDesignated() {
        return designatedStandbys.contains(label);
    }

    /** This controller's term is over: it knows the deployment and is not cold. */
    public void termEnded() {
        hasSeenLeader = true;
    }

    /**
     * The leader ends in order and wants this controller to go on. Agents had no reason to come here yet, so that none has come says
     * nothing.
     *
     * @param nowMicros the present time
     */
    public void handoverReceived(long nowMicros) {
        handoverMicros = nowMicros;
    }

    /**
     * Whether the leader has handed over to this controller just now.
     *
     * @param nowMicros the present time
     * @return whether this controller claims the lease without delay
     */
    public boolean hasRecentHandover(long nowMicros) {
        return nowMicros - handoverMicros <= HANDOVER_TTL_MICROS;
    }

    /**
     * Sets whether the replica of what a leader reads is complete.
     *
     * @param isComplete false as well of one that keeps no replica
     */
    public void setReplicaComplete(boolean isComplete) {
        isReplicaComplete = isComplete;
    }

    /**
     * How ready this controller is to take over.
     *
     * @param nowMicros the present time
     * @return never null
     */
    public StandbyReadiness readiness(long nowMicros) {
        if (!hasSeenLeader && nowMicros - startedMicros < COLD_PERIOD_MICROS) {
            return StandbyReadiness.COLD;
        }
        return isReplicaComplete && isDesignated() ? StandbyReadiness.WARM : StandbyReadiness.SEASONED;
    }

    /**
     * A peer's report of its readiness. One of a former version that answers at all is taken for seasoned, one that nothing listens for
     * any more for cold and unreached.
     *
     * @param peerIndex the peer's index among the siblings
     * @param readiness what it reports
     * @param isReachedByWorkers whether agents that have lost the leader came to it just now
     * @param nowMicros the present time
     */
    public void peerReadinessReported(
            int peerIndex, StandbyReadiness readiness, boolean isReachedByWorkers, long nowMicros) {
        PeerReport peer = peers[peerIndex];
        peer.reportedMicros = nowMicros;
        peer.isWarm = readiness != StandbyReadiness.COLD;
        peer.isReachedByWorkers = isReachedByWorkers;
    }

    /**
     * How long this controller leaves a free lease to others, counted from the moment at which it became free.
     *
     * @param claimableMicros for how long it has been free already
     * @param isReachedByWorkers whether agents come to this controller
     * @param nowMicros the present time
     * @return microseconds, 0 for no delay
     */
    public long delayMicros(long claimableMicros, boolean isReachedByWorkers, long nowMicros) {
        if (hasRecentHandover(nowMicros)) {
            return 0;
        }
        long delay = isReachedByWorkers ? 0 : unreachedDelayMicros(claimableMicros, nowMicros);
        StandbyReadiness ownReadiness = readiness(nowMicros);
        if (ownReadiness == StandbyReadiness.COLD) {
            return delay + coldDelayMicros(claimableMicros, nowMicros);
        }
        if (designatedStandbys.isEmpty() || isDesignationExpired(nowMicros)) {
            return delay;
        }
        int rank =
                ownReadiness == StandbyReadiness.WARM ? designatedStandbys.indexOf(label) : designatedStandbys.size();
        return delay + rank * RANK_DELAY_MICROS;
    }

    private boolean isDesignationExpired(long nowMicros) {
        return nowMicros - designatedMicros > DESIGNATION_TTL_MICROS;
    }

    /**
     * A controller that no agent has come to leaves the lease to one that they come to. Where they come to nobody, since the leader was
     * there a moment ago, it would wait for nothing: with processes that are back at once this was most of the time without a leader.
     */
    private long unreachedDelayMicros(long claimableMicros, long nowMicros) {
        for (PeerReport peer : peers) {
            if (peer.isReachedByWorkers && peer.isRecent(nowMicros)) {
                return UNREACHED_DELAY_MICROS;
            }
        }
        return peerAnswerDelayMicros(claimableMicros, nowMicros);
    }

    /** Alone, or among others as cold, nobody waits. */
    private long coldDelayMicros(long claimableMicros, long nowMicros) {
        return hasWarmerPeer(nowMicros) ? COLD_DELAY_MICROS : peerAnswerDelayMicros(claimableMicros, nowMicros);
    }

    /** Leaves peers the time to report, unless all have done so already. */
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
