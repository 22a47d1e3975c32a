package io.micatide.standby;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.StandbyReadiness;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the standbys that a leader designates. At most two, since each of them reads along; those in another zone than the leader
 * first, since zones fail whole; then those that come next in the order of labels, since agents that have lost a leader try the next one
 * and so reach these first. A designated standby stays so while it answers, since a replica takes reads to build. Times in microseconds.
 * One thread at a time.
 */
public final class StandbySelector {
    /** How long an answer counts: status goes out every second and is answered within one. */
    static final long ANSWER_TTL_MICROS = 3 * Micros.SECOND;
    /** Siblings answer a new leader's first status within this. */
    static final long SETTLE_MICROS = 1_500 * Micros.MILLISECOND;
    /** With fewer requests a second two standbys would take more than a twentieth of them. */
    static final double MIN_REQUEST_RATE_FOR_TWO = 40;
    /** A time so long ago that nothing since then counts, chosen so that differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private static final int NONE = -1;

    private final Settings settings;
    private final long[] answeredMicros;
    /** Null of a sibling that cannot follow a leader. */
    private final StandbyReadiness[] readiness;

    private List<Integer> selected = List.of();
    private long termStartedMicros;

    /**
     * Makes the selector of a controller that does not lead yet.
     *
     * @param settings of this controller
     */
    public StandbySelector(Settings settings) {
        this.settings = settings;
        this.answeredMicros = new long[settings.peers().size()];
        this.readiness = new StandbyReadiness[settings.peers().size()];
        termStarted(0);
    }

    /**
     * A new term of this controller begins; what an earlier one knew is forgotten.
     *
     * @param nowMicros the present time
     */
    public final void termStarted(long nowMicros) {
        termStartedMicros = nowMicros;
        Arrays.fill(answeredMicros, NEVER_MICROS);
        Arrays.fill(readiness, StandbyReadiness.COLD);
        selected = List.of();
    }

    /**
     * A sibling answered the leader's status.
     *
     * @param sibling its index among the siblings
     * @param reported its readiness; null of one that cannot follow: a former version, or one that is told not to
     * @param isStoreReachable whether the store answers it
     * @param nowMicros the present time
     */
    public void peerAnswered(int sibling, StandbyReadiness reported, boolean isStoreReachable, long nowMicros) {
        readiness[sibling] = reported;
        answeredMicros[sibling] = reported != null && isStoreReachable ? nowMicros : NEVER_MICROS;
    }

    /** How many labels after this controller's a sibling's comes, in a ring. */
    private int ringDistance(int sibling) {
        Comparator<String> order = Comparator.comparingInt(String::length).thenComparing(Comparator.naturalOrder());
        List<String> ring = new ArrayList<>(
                settings.peers().stream().map(Settings.Peer::label).toList());
        ring.add(settings.label());
        ring.sort(order);
        return Math.floorMod(
                ring.indexOf(settings.peers().get(sibling).label()) - ring.indexOf(settings.label()), ring.size());
    }

    private boolean hasRecentAnswer(int sibling, long nowMicros) {
        return nowMicros - answeredMicros[sibling] <= ANSWER_TTL_MICROS;
    }

    /**
     * Selects the standbys that are designated from now on.
     *
     * @param nowMicros the present time
     * @return their labels, the first to take over first; null while a new leader has yet to hear who is there: those who followed the one
     *     before keep what they have
     */
    public List<String> selectStandbys(long nowMicros) {
        if (nowMicros - termStartedMicros < SETTLE_MICROS) {
            return null;
        }
        List<Integer> previous = selected;
        List<Integer> eligible = eligiblePeers(nowMicros);
        eligible.sort(Comparator.comparing((Integer peer) -> !previous.contains(peer))
                .thenComparing(peer -> settings.peers().get(peer).zone().equals(settings.zone()))
                .thenComparing(this::ringDistance));
        int wanted = settings.storeRequestsPerSecond() < MIN_REQUEST_RATE_FOR_TWO ? 1 : 2;
        List<Integer> chosen = new ArrayList<>(eligible.subList(0, Math.min(eligible.size(), wanted)));
        // A warm one goes before one that still reads, and otherwise the order stays.
        chosen.sort(Comparator.comparing((Integer peer) -> readiness[peer] != StandbyReadiness.WARM)
                .thenComparing(peer -> previous.contains(peer) ? previous.indexOf(peer) : previous.size()));
        selected = chosen;
        return selected.stream().map(peer -> settings.peers().get(peer).label()).toList();
    }

    private List<Integer> eligiblePeers(long nowMicros) {
        List<Integer> eligible = new ArrayList<>();
        for (int sibling = 0; sibling < answeredMicros.length; sibling++) {
            if (hasRecentAnswer(sibling, nowMicros)) {
                eligible.add(sibling);
            }
        }
        return eligible;
    }

    /**
     * The designated standbys.
     *
     * @return their indices among the siblings, the first to take over first
     */
    public List<Integer> selectedPeers() {
        return selected;
    }

    /**
     * The first designated standby that is warm and answers.
     *
     * @param nowMicros the present time
     * @return its index among the siblings, -1 if there is none
     */
    public int firstWarmStandby(long nowMicros) {
        for (int peer : selected) {
            if (hasRecentAnswer(peer, nowMicros) && readiness[peer] == StandbyReadiness.WARM) {
                return peer;
            }
        }
        return NONE;
    }
}
