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
    static final long UNREACHED_WAITS_MICROS = 600 * Micros.MILLISECOND;
    /** A claim takes two ways to the state service, and the watch of its outcome one more. */
    static final long STEP_MICROS = 100 * Micros.MILLISECOND;
    /** What a cold process leaves to a warm one at most. */
    static final long COLD_WAITS_MICROS = 600 * Micros.MILLISECOND;
    /** Siblings that are there answer within this; nobody waits longer for one that may not be there. */
    static final long ANSWER_MICROS = 200 * Micros.MILLISECOND;
    /** A process is no longer cold after so long, whether it has heard of a leader or not. */
    static final long COLD_FOR_MICROS = 5 * Micros.SECOND;
    /** Heirs told longer ago than this may all be gone. */
    static final long HEIRS_LAST_MICROS = 20 * Micros.SECOND;
    /** A leader that hands over gives its lease back within this. */
    static final long HANDED_LASTS_MICROS = 2 * Micros.SECOND;
    /** A sibling's word on its own readiness holds for so long. */
    static final long WORD_LASTS_MICROS = 2 * Micros.SECOND;

    private final String label;
    private final long startedMicros;
    private boolean heard;
    private List<String> heirs = List.of();
    private long heirsMicros = Long.MIN_VALUE / 2;
    private final long[] wordMicros;
    private final boolean[] warmer;
    private final boolean[] hearsWorkers;
    private boolean copyWhole;
    private long handedMicros = Long.MIN_VALUE / 2;

    /** @param siblings how many other controllers the deployment has */
    public ElectionDelay(String label, int siblings, long nowMicros) {
        this.label = label;
        this.startedMicros = nowMicros;
        this.wordMicros = new long[siblings];
        this.warmer = new boolean[siblings];
        this.hearsWorkers = new boolean[siblings];
        java.util.Arrays.fill(wordMicros, Long.MIN_VALUE / 2);
    }

    /** Without standbys: whether workers come to a controller is all that counts. */
    public static long waitsOfAnyone(boolean reached) {
        return reached ? 0 : UNREACHED_WAITS_MICROS;
    }

    /** Whether a sibling has said just now that it would lead better than a cold one. */
    public boolean warmerThere(long nowMicros) {
        for (int sibling = 0; sibling < wordMicros.length; sibling++) {
            if (warmer[sibling] && nowMicros - wordMicros[sibling] <= WORD_LASTS_MICROS) {
                return true;
            }
        }
        return false;
    }

    /**
     * The leader's news: who is to take over, the first one first; null from a leader that has not appointed anybody yet or, being
     * of a former version, never will.
     */
    public void told(List<String> newHeirs, long nowMicros) {
        heard = true;
        if (newHeirs == null) {
            heirs = nowMicros - heirsMicros > HEIRS_LAST_MICROS ? List.of() : heirs;
            return;
        }
        heirs = List.copyOf(newHeirs);
        heirsMicros = nowMicros;
    }

    /** Whether this controller has been told to follow what a leader reads. */
    public boolean appointed() {
        return heirs.contains(label);
    }

    /** This controller has led: it knows the deployment. */
    public void led() {
        heard = true;
    }

    /**
     * The leader ends in order and wants this controller to go on. Workers had no reason to come here yet, so that none has come says
     * nothing.
     */
    public void handedOver(long nowMicros) {
        handedMicros = nowMicros;
    }

    /** Whether the leader has told this controller just now to go on. */
    public boolean handedOverAt(long nowMicros) {
        return nowMicros - handedMicros <= HANDED_LASTS_MICROS;
    }

    /** Whether the copy of what a leader reads is whole. */
    public void copyIs(boolean whole) {
        copyWhole = whole;
    }

    public StandbyReadiness readiness(long nowMicros) {
        if (!heard && nowMicros - startedMicros < COLD_FOR_MICROS) {
            return StandbyReadiness.COLD;
        }
        return copyWhole && appointed() ? StandbyReadiness.WARM : StandbyReadiness.SEASONED;
    }

    /**
     * A sibling's own word; one of a former version that answers at all is taken for seasoned, one that nothing listens for any more for
     * cold and unreached.
     *
     * @param reached whether workers that have lost the leader came to it just now
     */
    public void word(int sibling, StandbyReadiness said, boolean reached, long nowMicros) {
        wordMicros[sibling] = nowMicros;
        warmer[sibling] = said != StandbyReadiness.COLD;
        hearsWorkers[sibling] = reached;
    }

    private boolean allHaveSaid(long nowMicros) {
        return java.util.Arrays.stream(wordMicros).allMatch(at -> nowMicros - at <= WORD_LASTS_MICROS);
    }

    /**
     * How long a row that became claimable may be left to others, counted from then.
     *
     * @param claimableMicros for how long it has been claimable already
     * @param reached whether workers come to this controller
     */
    public long waits(long claimableMicros, boolean reached, long nowMicros) {
        if (handedOverAt(nowMicros)) {
            return 0;
        }
        long waits = reached ? 0 : unreachedWaits(claimableMicros, nowMicros);
        StandbyReadiness own = readiness(nowMicros);
        if (own == StandbyReadiness.COLD) {
            return waits + coldWaits(claimableMicros, nowMicros);
        }
        if (heirs.isEmpty() || nowMicros - heirsMicros > HEIRS_LAST_MICROS) {
            return waits;
        }
        int place = own == StandbyReadiness.WARM ? heirs.indexOf(label) : heirs.size();
        return waits + place * STEP_MICROS;
    }

    /**
     * One that no worker has come to leaves the lead to one that they come to. Where they come to nobody, since the leader was there a
     * moment ago, it would wait for nothing: with processes that are back at once this was most of the time without a leader.
     */
    private long unreachedWaits(long claimableMicros, long nowMicros) {
        for (int sibling = 0; sibling < wordMicros.length; sibling++) {
            if (hearsWorkers[sibling] && nowMicros - wordMicros[sibling] <= WORD_LASTS_MICROS) {
                return UNREACHED_WAITS_MICROS;
            }
        }
        return allHaveSaid(nowMicros) || claimableMicros >= ANSWER_MICROS ? 0 : ANSWER_MICROS;
    }

    /** Alone, or among others as cold, nobody waits. */
    private long coldWaits(long claimableMicros, long nowMicros) {
        if (warmerThere(nowMicros)) {
            return COLD_WAITS_MICROS;
        }
        return allHaveSaid(nowMicros) || claimableMicros >= ANSWER_MICROS ? 0 : ANSWER_MICROS;
    }
}
