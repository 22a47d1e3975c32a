package io.micatide.standby;

import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.StandbyReadiness;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Whom a leader appoints to follow it. At most two, since each of them reads along; those in another zone than the leader first, since
 * zones fail whole; then those that come next in the order of labels, since workers that have lost a leader try the next one and so
 * reach these first. Whoever is appointed stays so while it answers, since a copy takes reads to build. Times in microseconds.
 */
public final class StandbySelector {
    /** News goes out every second and is answered within one. */
    static final long ANSWER_TTL_MICROS = 3 * Micros.SECOND;
    /** Siblings answer a new leader's first news within this. */
    static final long SETTLE_MICROS = 1_500 * Micros.MILLISECOND;
    /** With fewer requests a second two followers would take more than a twentieth of them. */
    static final double MIN_REQUEST_RATE_FOR_TWO = 40;

    private final Settings settings;
    private final long[] answeredMicros;
    private final StandbyReadiness[] readiness;
    private List<Integer> selected = List.of();
    private long termStartedMicros;

    public StandbySelector(Settings settings) {
        this.settings = settings;
        this.answeredMicros = new long[settings.siblings().size()];
        this.readiness = new StandbyReadiness[settings.siblings().size()];
        termStarted(0);
    }

    /** A new term. */
    public final void termStarted(long nowMicros) {
        termStartedMicros = nowMicros;
        java.util.Arrays.fill(answeredMicros, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(readiness, StandbyReadiness.COLD);
        selected = List.of();
    }

    /**
     * A sibling answered.
     *
     * @param said null of one that cannot follow: a former version, or one that is told not to
     * @param served whether the state service answers it
     */
    public void peerAnswered(int sibling, StandbyReadiness said, boolean served, long nowMicros) {
        readiness[sibling] = said;
        answeredMicros[sibling] = said != null && served ? nowMicros : Long.MIN_VALUE / 2;
    }

    /** How many labels after this controller's a sibling's comes, in a ring. */
    private int ringDistance(int sibling) {
        Comparator<String> order = Comparator.comparingInt(String::length).thenComparing(Comparator.naturalOrder());
        List<String> ring = new ArrayList<>(
                settings.siblings().stream().map(Settings.Sibling::label).toList());
        ring.add(settings.label());
        ring.sort(order);
        return Math.floorMod(
                ring.indexOf(settings.siblings().get(sibling).label()) - ring.indexOf(settings.label()), ring.size());
    }

    private boolean hasRecentAnswer(int sibling, long nowMicros) {
        return nowMicros - answeredMicros[sibling] <= ANSWER_TTL_MICROS;
    }

    /**
     * Labels of those appointed from now on, the first to take over first; null while a new leader has yet to hear who is there: those
     * who followed the one before keep what they have.
     */
    public List<String> selectStandbys(long nowMicros) {
        if (nowMicros - termStartedMicros < SETTLE_MICROS) {
            return null;
        }
        List<Integer> fit = new ArrayList<>();
        for (int sibling = 0; sibling < answeredMicros.length; sibling++) {
            if (hasRecentAnswer(sibling, nowMicros)) {
                fit.add(sibling);
            }
        }
        List<Integer> before = selected;
        fit.sort(Comparator.comparing((Integer each) -> !before.contains(each))
                .thenComparing(each -> settings.siblings().get(each).zone().equals(settings.zone()))
                .thenComparing(this::ringDistance));
        List<Integer> now = new ArrayList<>(fit.subList(
                0, Math.min(fit.size(), settings.storeRequestsPerSecond() < MIN_REQUEST_RATE_FOR_TWO ? 1 : 2)));
        // A warm one goes before one that still reads, and otherwise the order stays.
        now.sort(Comparator.comparing((Integer each) -> readiness[each] != StandbyReadiness.WARM)
                .thenComparing(each -> before.contains(each) ? before.indexOf(each) : before.size()));
        selected = now;
        return selected.stream()
                .map(each -> settings.siblings().get(each).label())
                .toList();
    }

    /** Those appointed, by their places among the siblings. */
    public List<Integer> selectedPeers() {
        return selected;
    }

    /** The first heir that is warm and heard, or -1. */
    public int firstWarmStandby(long nowMicros) {
        for (int each : selected) {
            if (hasRecentAnswer(each, nowMicros) && readiness[each] == StandbyReadiness.WARM) {
                return each;
            }
        }
        return -1;
    }
}
