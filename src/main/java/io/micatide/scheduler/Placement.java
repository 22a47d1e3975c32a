package io.micatide.scheduler;

import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;

/** One attempt of one task on one machine, from the decision to the end that was read back. */
final class Placement {
    /** Where an attempt stands, as far as this leader can know. */
    enum Phase {
        /** Decided; the round that records the machine is not confirmed yet, so nothing was sent. */
        AWAITING_LEDGER,
        /** Goes out with the next answer to the machine. */
        READY,
        /** Went out and was not reported since: unknown, never failed. */
        SENT,
        /** In the machine's newest report. */
        REPORTED
    }

    final Job job;
    final int taskIndex;
    final long attempt;
    final Machine machine;
    Phase phase;
    TaskState state = TaskState.FETCHING;
    /** The newest report that listed it. */
    long lastListedSequence = -1;

    long createdMicros;
    long runningSinceMicros = -1;
    /** Found running by this leader: how long it ran before is not known, so it teaches nothing about run times. */
    boolean wasAdopted;
    /** When a stop was first decided, or -1. */
    long stopRequestedMicros = -1;

    long stopGraceMicros;

    Placement(Job job, int index, long attempt, Machine machine, Phase phase, long nowMicros) {
        this.job = job;
        this.taskIndex = index;
        this.attempt = attempt;
        this.machine = machine;
        this.phase = phase;
        this.createdMicros = nowMicros;
    }

    /** Moves on; once it is sent, stopping it loses work. */
    void transitionTo(Phase next) {
        boolean wasUnsent = isUnsent();
        phase = next;
        if (wasUnsent != isUnsent()) {
            machine.capacityChanged();
        }
    }

    boolean isUnsent() {
        return phase == Phase.AWAITING_LEDGER || phase == Phase.READY;
    }

    boolean isStopping() {
        return stopRequestedMicros >= 0;
    }

    boolean matches(TaskStatus status) {
        return attempt == status.attempt()
                && taskIndex == status.taskIndex()
                && job.id().equals(status.job());
    }
}
