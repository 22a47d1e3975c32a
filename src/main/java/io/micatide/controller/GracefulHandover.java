package io.micatide.controller;

import io.micatide.model.Micros;

/**
 * The steps of a graceful shutdown: the write in flight is answered or abandoned, the successor catches up, the lease is released. The
 * waits for the write and for the successor have timeouts, which bound the delay by a store or a successor that does not answer. Part of
 * the leader's actor.
 */
final class GracefulHandover {
    private static final long WRITE_TIMEOUT_MICROS = 300 * Micros.MILLISECOND;
    private static final long SUCCESSOR_TIMEOUT_MICROS = 350 * Micros.MILLISECOND;

    private enum Step {
        FINISH_WRITE,
        NOTIFY_SUCCESSOR,
        COMPLETED
    }

    /** The term that ends; null if this controller does not lead. */
    private final LeaderTerm term;

    private final String successor;
    private final Runnable notifySuccessor;
    private final Runnable releaseLease;
    private Step step = Step.FINISH_WRITE;
    private long stepStartedMicros;

    /**
     * Creates a handover, whose first step is taken by the first call of {@link #advance}.
     *
     * @param term the term that ends; null if this controller does not lead
     * @param successor the label of the warm standby that is to take over; null for none
     * @param notifySuccessor requests that the successor catches up
     * @param releaseLease ends the term and its lease; run once, as the last step
     */
    GracefulHandover(
            LeaderTerm term, String successor, long nowMicros, Runnable notifySuccessor, Runnable releaseLease) {
        this.term = term;
        this.successor = successor;
        this.notifySuccessor = notifySuccessor;
        this.releaseLease = releaseLease;
        this.stepStartedMicros = nowMicros;
    }

    /** Returns the label of the controller to which workers are redirected; null for none. */
    String successor() {
        return successor;
    }

    /** Returns whether the release of the lease has begun; from then on this controller answers no request in the name of the term. */
    boolean isCompleted() {
        return step == Step.COMPLETED;
    }

    /** Takes the next step if the current one is finished or has timed out. */
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

    /**
     * Releases the lease, since the successor has answered. A successor that could not catch up reads everything from the store after its
     * claim, which is no reason for this controller to go on leading.
     */
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
