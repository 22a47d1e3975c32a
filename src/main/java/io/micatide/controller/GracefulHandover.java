package io.micatide.controller;

import io.micatide.model.Micros;

/**
 * An orderly end, step by step: the round that is under way is answered or left, an heir catches up, the lease goes back. Each step
 * has its time, so that a state service or an heir that does not answer costs no more than it. Part of the leader's actor.
 */
final class GracefulHandover {
    private static final long WRITE_TIMEOUT_MICROS = 300 * Micros.MILLISECOND;
    private static final long SUCCESSOR_TIMEOUT_MICROS = 350 * Micros.MILLISECOND;

    private enum Step {
        FINISH_WRITE,
        NOTIFY_SUCCESSOR,
        COMPLETED
    }

    /** Null of a controller that does not lead. */
    private final LeaderTerm term;

    private final String successor;
    private final Runnable notifySuccessor;
    private final Runnable releaseLease;
    private Step step = Step.FINISH_WRITE;
    private long stepStartedMicros;

    /** @param heir label of the one that is warm, or null */
    GracefulHandover(LeaderTerm term, String heir, long nowMicros, Runnable tellHeir, Runnable giveBack) {
        this.term = term;
        this.successor = heir;
        this.notifySuccessor = tellHeir;
        this.releaseLease = giveBack;
        this.stepStartedMicros = nowMicros;
    }

    /** Where workers should go from now on, or null. */
    String successor() {
        return successor;
    }

    /** The lease has been given back: nothing is answered in the name of the term. */
    boolean isCompleted() {
        return step == Step.COMPLETED;
    }

    void advance(long nowMicros) {
        if (step == Step.FINISH_WRITE
                && (term == null || !term.isWritePending() || nowMicros - stepStartedMicros >= WRITE_TIMEOUT_MICROS)) {
            step = Step.NOTIFY_SUCCESSOR;
            stepStartedMicros = nowMicros;
            if (successor == null) {
                finish();
            } else {
                notifySuccessor.run();
            }
        } else if (step == Step.NOTIFY_SUCCESSOR && nowMicros - stepStartedMicros >= SUCCESSOR_TIMEOUT_MICROS) {
            finish();
        }
    }

    /** An heir that could not catch up reads all: that is no reason to keep the lead. */
    void successorAnswered() {
        if (step == Step.NOTIFY_SUCCESSOR) {
            finish();
        }
    }

    private void finish() {
        step = Step.COMPLETED;
        releaseLease.run();
    }
}
