package io.micatide.controller;

import io.micatide.model.Micros;

/**
 * The steps of a graceful shutdown: the write that is under way is answered or given up, the successor catches up, the lease is released.
 * Each step has a timeout, so that a store or a successor that does not answer delays the shutdown by no more than that. Part of the
 * leader's actor.
 */
final class GracefulHandover {
    private static final long WRITE_TIMEOUT_MICROS = 300 * Micros.MILLISECOND;
    private static final long SUCCESSOR_TIMEOUT_MICROS = 350 * Micros.MILLISECOND;

    private enum Step {
        FINISH_WRITE,
        NOTIFY_SUCCESSOR,
        COMPLETED
    }

    /** Null if this controller does not lead. */
    private final LeaderTerm term;

    private final String successor;
    private final Runnable notifySuccessor;
    private final Runnable releaseLease;
    private Step step = Step.FINISH_WRITE;
    private long stepStartedMicros;

    /**
     * Nothing is done before the first {@link #advance}.
     *
     * @param term null if this controller does not lead
     * @param successor the label of the warm standby that is to take over, null for none
     * @param notifySuccessor asks the successor to catch up
     * @param releaseLease ends the term and its lease; run last and once
     */
    GracefulHandover(
            LeaderTerm term, String successor, long nowMicros, Runnable notifySuccessor, Runnable releaseLease) {
        this.term = term;
        this.successor = successor;
        this.notifySuccessor = notifySuccessor;
        this.releaseLease = releaseLease;
        this.stepStartedMicros = nowMicros;
    }

    /** The label of the controller that workers should turn to, null for none. */
    String successor() {
        return successor;
    }

    /** Whether the lease has been released: nothing is answered in the name of the term. */
    boolean isCompleted() {
        return step == Step.COMPLETED;
    }

    /** Takes the next step once the present one is done or has timed out. */
    void advance(long nowMicros) {
        long stepMicros = nowMicros - stepStartedMicros;
        if (step == Step.FINISH_WRITE) {
            boolean isWritePending = term != null && term.isWritePending();
            if (!isWritePending || stepMicros >= WRITE_TIMEOUT_MICROS) {
                beginNotifying(nowMicros);
            }
        } else if (step == Step.NOTIFY_SUCCESSOR && stepMicros >= SUCCESSOR_TIMEOUT_MICROS) {
            finish();
        }
    }

    private void beginNotifying(long nowMicros) {
        step = Step.NOTIFY_SUCCESSOR;
        stepStartedMicros = nowMicros;
        if (successor == null) {
            finish();
        } else {
            notifySuccessor.run();
        }
    }

    /** The successor has caught up or could not, in which case it reads all: no reason to go on leading. */
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
