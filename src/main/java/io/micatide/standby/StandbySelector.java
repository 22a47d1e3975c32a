package io.micatide.standby;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.StandbyReadiness;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the standbys that a leader designates: at most two, since each of them adds reads to the store. A designated standby remains
 * designated while it answers, since building a replica costs reads. Other peers are preferred in this order:
 *
 * <ol>
 *   <li>peers in another zone than the leader, since a zone can fail as a whole;
 *   <li>peers that follow the leader in the order of labels, since workers that have lost a leader try the next label and so reach these
 *       first.
 * </ol>
 *
 * <p>Times are microseconds. Not thread-safe.
 */
public final class StandbySelector {
    /** Validity of an answer: the status is sent every second and answered within a second. */
    static final long ANSWER_TTL_MICROS = 3 * Micros.SECOND;
    /** Peers answer a new leader's first status within this time. */
    static final long FIRST_ANSWERS_TIMEOUT_MICROS = 1_500 * Micros.MILLISECOND;
    /** Requests per second to the store below which two standbys would use more than a twentieth of them. */
    static final double MIN_REQUEST_RATE_FOR_TWO = 40;
    /** Earlier than any relevant time, yet differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private static final int NO_STANDBY = -1;

    private final Settings settings;
    /** By peer, the time of its last answer; {@link #NEVER_MICROS} if it cannot follow a leader or the store does not answer it. */
    private final long[] lastAnswerMicros;
    /** By peer, its last reported readiness, null if it cannot follow a leader. */
    private final StandbyReadiness[] reportedReadiness;

    /** Indices of the designated standbys, best rank first. */
    private List<Integer> selected = List.of();

    private long termStartedMicros;

    /**
     * Creates the selector of a controller that does not lead yet.
     *
     * @param settings settings of this controller
     */
    public StandbySelector(Settings settings) {
        this.settings = settings;
        this.lastAnswerMicros = new long[settings.peers().size()];
        this.reportedReadiness = new StandbyReadiness[settings.peers().size()];
        termStarted(0);
    }

    /**
     * Begins a new term of this controller and discards the state of its previous term.
     *
     * @param nowMicros current time
     */
    public final void termStarted(long nowMicros) {
        termStartedMicros = nowMicros;
        Arrays.fill(lastAnswerMicros, NEVER_MICROS);
        Arrays.fill(reportedReadiness, StandbyReadiness.COLD);
        selected = List.of();
    }

    /**
     * Records a peer's answer to the leader's status.
     *
     * @param peerIndex the peer's index in {@link Settings#peers()}
     * @param newReadiness the readiness that the peer reports; null if it cannot follow a leader, because it is of a previous version or
     *     its settings disable this
     * @param isStoreReachable whether the store answers the peer
     * @param nowMicros current time
     */
    public void peerAnswered(int peerIndex, StandbyReadiness newReadiness, boolean isStoreReachable, long nowMicros) {
        reportedReadiness[peerIndex] = newReadiness;
        lastAnswerMicros[peerIndex] = newReadiness != null && isStoreReachable ? nowMicros : NEVER_MICROS;
    }

    /** Returns the distance from this controller's label to the peer's label, in the ring of all labels in order. */
    private int ringDistance(int peerIndex) {
        Comparator<String> order = Comparator.comparingInt(String::length).thenComparing(Comparator.naturalOrder());
        List<String> ring = new ArrayList<>(
                settings.peers().stream().map(Settings.Peer::label).toList());
        ring.add(settings.label());
        ring.sort(order);
        return Math.floorMod(
                ring.indexOf(settings.peers().get(peerIndex).label()) - ring.indexOf(settings.label()), ring.size());
    }

    private boolean hasRecentAnswer(int peerIndex, long nowMicros) {
        return nowMicros - lastAnswerMicros[peerIndex] <= ANSWER_TTL_MICROS;
    }

    /**
     * Selects the standbys that are designated from now on.
     *
     * @param nowMicros current time
     * @return labels of the standbys, best rank first; null while a new leader still waits for the peers' first answers, so that the
     *     standbys of the previous leader keep their designation and replicas
     */
    public List<String> selectStandbys(long nowMicros) {
        if (nowMicros - termStartedMicros < FIRST_ANSWERS_TIMEOUT_MICROS) {
            return null;
        }
        List<Integer> previous = selected;
        List<Integer> eligible = eligiblePeers(nowMicros);
        eligible.sort(Comparator.comparing((Integer peer) -> !previous.contains(peer))
                .thenComparing(peer -> settings.peers().get(peer).zone().equals(settings.zone()))
                .thenComparing(this::ringDistance));
        int standbyLimit = settings.storeRequestsPerSecond() < MIN_REQUEST_RATE_FOR_TWO ? 1 : 2;
        List<Integer> chosen = new ArrayList<>(eligible.subList(0, Math.min(eligible.size(), standbyLimit)));
        // A warm standby ranks before one that is still reading; otherwise the order stays.
        chosen.sort(Comparator.comparing((Integer peer) -> reportedReadiness[peer] != StandbyReadiness.WARM)
                .thenComparing(peer -> previous.contains(peer) ? previous.indexOf(peer) : previous.size()));
        selected = chosen;
        return selected.stream().map(peer -> settings.peers().get(peer).label()).toList();
    }

    private List<Integer> eligiblePeers(long nowMicros) {
        List<Integer> eligible = new ArrayList<>();
        for (int peerIndex = 0; peerIndex < lastAnswerMicros.length; peerIndex++) {
            if (hasRecentAnswer(peerIndex, nowMicros)) {
                eligible.add(peerIndex);
            }
        }
        return eligible;
    }

    /**
     * Returns the designated standbys.
     *
     * @return their indices in {@link Settings#peers()}, best rank first
     */
    public List<Integer> selectedPeers() {
        return selected;
    }

    /**
     * Returns the first designated standby that is warm and has recently answered.
     *
     * @param nowMicros current time
     * @return its index in {@link Settings#peers()}, -1 if there is none
     */
    public int firstWarmStandby(long nowMicros) {
        for (int peer : selected) {
            if (hasRecentAnswer(peer, nowMicros) && reportedReadiness[peer] == StandbyReadiness.WARM) {
                return peer;
            }
        }
        return NO_STANDBY;
    }
}
