package io.micatide.standby;

import io.micatide.model.Micros;
import io.micatide.model.StandbyReadiness;
import java.util.List;

/**
 * How long a controller leaves a free leader row to others that would lead better. This is courtesy and no part of safety: the row's
 * condition decides, and whoever waits for nothing loses half a second at most. Times in microseconds on the process's steady clock.
 */
public final class ElectionDelay {
    /** One that workers do not reach would lead a fleet that it cannot hear. */
    static final long UNREACHED_DELAY_MICROS = 600 * Micros.MILLISECOND;
    /** A claim takes two ways to the state service, and the watch of its outcome one more. */
    static final long RANK_DELAY_MICROS = 100 * Micros.MILLISECOND;
    /** What a cold process leaves to a warm one at most. */
    static final long COLD_DELAY_MICROS = 600 * Micros.MILLISECOND;
    /** Siblings that are there answer within this; nobody waits longer for one that may not be there. */
    static final long PEER_ANSWER_MICROS = 200 * Micros.MILLISECOND;
    /** A process is no longer cold after so long, whether it has heard of a leader or not. */
    static final long COLD_FOR_MICROS = 5 * Micros.SECOND;
    /** Heirs told longer ago than this may all be gone. */
    static final long DESIGNATION_TTL_MICROS = 20 * Micros.SECOND;
    /** A leader that hands over gives its lease back within this. */
    static final long HANDOVER_TTL_MICROS = 2 * Micros.SECOND;
    /** A sibling's word on its own readiness holds for so long. */
    static final long PEER_REPORT_TTL_MICROS = 2 * Micros.SECOND;

    private final String label;
    private final long startedMicros;
    private boolean leaderSeen;
    private List<String> designatedStandbys = List.of();
    private long designatedMicros = Long.MIN_VALUE / 2;
    private final long[] peerReportedMicros;
    private final boolean[] peerIsWarmer;
    private final boolean[] peerReachedByAgents;
    private boolean replicaComplete;
    private long handoverMicros = Long.MIN_VALUE / 2;

    /** @param siblings how many other controllers the deployment has */
    public ElectionDelay(String label, int siblings, long nowMicros) {
        this.label = label;
        this.startedMicros = nowMicros;
        this.peerReportedMicros = new long[siblings];
        this.peerIsWarmer = new boolean[siblings];
        this.peerReachedByAgents = new boolean[siblings];
        java.util.Arrays.fill(peerReportedMicros, Long.MIN_VALUE / 2);
    }

    /** Without standbys: whether workers come to a controller is all that counts. */
    public static long delayWithoutStandbys(boolean reached) {
        return reached ? 0 : UNREACHED_DELAY_MICROS;
    }

    /** Whether a sibling has said just now that it would lead better than a cold one. */
    public boolean hasWarmerPeer(long nowMicros) {
        for (int sibling = 0; sibling < peerReportedMicros.length; sibling++) {
            if (peerIsWarmer[sibling] && nowMicros - peerReportedMicros[sibling] <= PEER_REPORT_TTL_MICROS) {
                return true;
            }
        }
        return false;
    }

    /**
     * The leader's news: who is to take over, the first one first; null from a leader that has not appointed anybody yet or, being
     * of a former version, never will.
     */
    public void standbysDesignated(List<String> newHeirs, long nowMicros) {
        leaderSeen = true;
        if (newHeirs == null) {
            designatedStandbys = nowMicros - designatedMicros > DESIGNATION_TTL_MICROS ? List.of() : designatedStandbys;
            return;
        }
        designatedStandbys = List.copyOf(newHeirs);
        designatedMicros = nowMicros;
    }

    /** Whether this controller has been told to follow what a leader reads. */
    public boolean isDesignated() {
        return designatedStandbys.contains(label);
    }

    /** This controller has led: it knows the deployment. */
    public void termEnded() {
        leaderSeen = true;
    }

    /**
     * The leader ends in order and wants this controller to go on. Workers had no reason to come here yet, so that none has come says
     * nothing.
     */
    public void handoverReceived(long nowMicros) {
        handoverMicros = nowMicros;
    }

    /** Whether the leader has told this controller just now to go on. */
    public boolean hasRecentHandover(long nowMicros) {
        return nowMicros - handoverMicros <= HANDOVER_TTL_MICROS;
    }

    /** Whether the copy of what a leader reads is whole. */
    public void setReplicaComplete(boolean whole) {
        replicaComplete = whole;
    }

    public StandbyReadiness readiness(long nowMicros) {
        if (!leaderSeen && nowMicros - startedMicros < COLD_FOR_MICROS) {
            return StandbyReadiness.COLD;
        }
        return replicaComplete && isDesignated() ? StandbyReadiness.WARM : StandbyReadiness.SEASONED;
    }

    /**
     * A sibling's own word; one of a former version that answers at all is taken for seasoned, one that nothing listens for any more for
     * cold and unreached.
     *
     * @param reached whether workers that have lost the leader came to it just now
     */
    public void peerReadinessReported(int sibling, StandbyReadiness said, boolean reached, long nowMicros) {
        peerReportedMicros[sibling] = nowMicros;
        peerIsWarmer[sibling] = said != StandbyReadiness.COLD;
        peerReachedByAgents[sibling] = reached;
    }

    private boolean allPeersReported(long nowMicros) {
        return java.util.Arrays.stream(peerReportedMicros).allMatch(at -> nowMicros - at <= PEER_REPORT_TTL_MICROS);
    }

    /**
     * How long a row that became claimable may be left to others, counted from then.
     *
     * @param claimableMicros for how long it has been claimable already
     * @param reached whether workers come to this controller
     */
    public long delayMicros(long claimableMicros, boolean reached, long nowMicros) {
        if (hasRecentHandover(nowMicros)) {
            return 0;
        }
        long waits = reached ? 0 : unreachedDelayMicros(claimableMicros, nowMicros);
        StandbyReadiness own = readiness(nowMicros);
        if (own == StandbyReadiness.COLD) {
            return waits + coldDelayMicros(claimableMicros, nowMicros);
        }
        if (designatedStandbys.isEmpty() || nowMicros - designatedMicros > DESIGNATION_TTL_MICROS) {
            return waits;
        }
        int place = own == StandbyReadiness.WARM ? designatedStandbys.indexOf(label) : designatedStandbys.size();
        return waits + place * RANK_DELAY_MICROS;
    }

    /**
     * One that no worker has come to leaves the lead to one that they come to. Where they come to nobody, since the leader was there a
     * moment ago, it would wait for nothing: with processes that are back at once this was most of the time without a leader.
     */
    private long unreachedDelayMicros(long claimableMicros, long nowMicros) {
        for (int sibling = 0; sibling < peerReportedMicros.length; sibling++) {
            if (peerReachedByAgents[sibling] && nowMicros - peerReportedMicros[sibling] <= PEER_REPORT_TTL_MICROS) {
                return UNREACHED_DELAY_MICROS;
            }
        }
        return allPeersReported(nowMicros) || claimableMicros >= PEER_ANSWER_MICROS ? 0 : PEER_ANSWER_MICROS;
    }

    /** Alone, or among others as cold, nobody waits. */
    private long coldDelayMicros(long claimableMicros, long nowMicros) {
        if (hasWarmerPeer(nowMicros)) {
            return COLD_DELAY_MICROS;
        }
        return allPeersReported(nowMicros) || claimableMicros >= PEER_ANSWER_MICROS ? 0 : PEER_ANSWER_MICROS;
    }
}
