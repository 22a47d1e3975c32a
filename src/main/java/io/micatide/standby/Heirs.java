package io.micatide.standby;

import io.micatide.core.Micros;
import io.micatide.core.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Whom a leader appoints to follow it. At most two, since each of them reads along; those in another zone than the leader first, since
 * zones fail whole; and whoever is appointed stays so while it answers, since a copy takes reads to build. Times in microseconds.
 */
public final class Heirs {
    /** News goes out every second and is answered within one. */
    static final long HEARD_MICROS = 3 * Micros.SECOND;
    /** With fewer requests a second two followers would take more than a twentieth of them. */
    static final double RATE_OF_TWO = 40;

    private final Settings settings;
    private final long[] answeredMicros;
    private final Warmth[] warmth;
    private List<Integer> heirs = List.of();

    public Heirs(Settings settings) {
        this.settings = settings;
        this.answeredMicros = new long[settings.siblings().size()];
        this.warmth = new Warmth[settings.siblings().size()];
        begin();
    }

    /** A new term. */
    public final void begin() {
        java.util.Arrays.fill(answeredMicros, Long.MIN_VALUE / 2);
        java.util.Arrays.fill(warmth, Warmth.COLD);
        heirs = List.of();
    }

    /**
     * A sibling answered.
     *
     * @param said null of one that cannot follow: a former version, or one that is told not to
     * @param served whether the state service answers it
     */
    public void heard(int sibling, Warmth said, boolean served, long nowMicros) {
        warmth[sibling] = said;
        answeredMicros[sibling] = said != null && served ? nowMicros : Long.MIN_VALUE / 2;
    }

    private boolean fit(int sibling, long nowMicros) {
        return nowMicros - answeredMicros[sibling] <= HEARD_MICROS;
    }

    /** Labels of those appointed from now on, the first to take over first. */
    public List<String> appoint(long nowMicros) {
        List<Integer> fit = new ArrayList<>();
        for (int sibling = 0; sibling < answeredMicros.length; sibling++) {
            if (fit(sibling, nowMicros)) {
                fit.add(sibling);
            }
        }
        List<Integer> before = heirs;
        fit.sort(Comparator.comparing((Integer each) -> !before.contains(each))
                .thenComparing(each -> settings.siblings().get(each).zone().equals(settings.zone()))
                .thenComparing(each -> settings.siblings().get(each).label()));
        List<Integer> now = new ArrayList<>(fit.subList(0, Math.min(fit.size(), settings.stateRate() < RATE_OF_TWO ? 1 : 2)));
        // A warm one goes before one that still reads, and otherwise the order stays.
        now.sort(Comparator.comparing((Integer each) -> warmth[each] != Warmth.WARM)
                .thenComparing(each -> before.contains(each) ? before.indexOf(each) : before.size()));
        heirs = now;
        return heirs.stream().map(each -> settings.siblings().get(each).label()).toList();
    }

    /** The first heir that is warm and heard, or -1. */
    public int first(long nowMicros) {
        for (int each : heirs) {
            if (fit(each, nowMicros) && warmth[each] == Warmth.WARM) {
                return each;
            }
        }
        return -1;
    }
}
