package io.micatide.controller;

import io.micatide.model.Micros;

/**
 * An orderly end, step by step: the round that is under way is answered or left, an heir catches up, the lease goes back. Each step
 * has its time, so that a state service or an heir that does not answer costs no more than it. Part of the leader's actor.
 */
final class GracefulHandover {
    private static final long ROUND_MICROS = 300 * Micros.MILLISECOND;
    private static final long HEIR_MICROS = 350 * Micros.MILLISECOND;

    private enum Step {
        ROUND,
        HEIR,
        OVER
    }

    /** Null of a controller that does not lead. */
    private final LeaderTerm term;

    private final String heir;
    private final Runnable tellHeir;
    private final Runnable giveBack;
    private Step step = Step.ROUND;
    private long sinceMicros;

    /** @param heir label of the one that is warm, or null */
    GracefulHandover(LeaderTerm term, String heir, long nowMicros, Runnable tellHeir, Runnable giveBack) {
        this.term = term;
        this.heir = heir;
        this.tellHeir = tellHeir;
        this.giveBack = giveBack;
        this.sinceMicros = nowMicros;
    }

    /** Where workers should go from now on, or null. */
    String heir() {
        return heir;
    }

    /** The lease has been given back: nothing is answered in the name of the term. */
    boolean over() {
        return step == Step.OVER;
    }

    void advance(long nowMicros) {
        if (step == Step.ROUND && (term == null || !term.writing() || nowMicros - sinceMicros >= ROUND_MICROS)) {
            step = Step.HEIR;
            sinceMicros = nowMicros;
            if (heir == null) {
                finish();
            } else {
                tellHeir.run();
            }
        } else if (step == Step.HEIR && nowMicros - sinceMicros >= HEIR_MICROS) {
            finish();
        }
    }

    /** An heir that could not catch up reads all: that is no reason to keep the lead. */
    void heirAnswered(boolean caughtUp) {
        if (step == Step.HEIR) {
            finish();
        }
    }

    private void finish() {
        step = Step.OVER;
        giveBack.run();
    }
}
