package io.micatide.scheduler;

import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;

/** One attempt of one task on one machine, from the decision to start it until the leader learns of its end or loss. */
final class Placement {
    /** State of an attempt as far as this leader can know it. */
    enum Phase {
        /** The start is decided, but the write that adds the machine to the ledger is not confirmed, so it was not sent. */
        AWAITING_LEDGER,
        /** The start is sent with the next response to a heartbeat of the machine. */
        READY,
        /** The start was sent and no heartbeat has listed the task since: its state is unknown, never failed. */
        SENT,
        /** The newest heartbeat of the machine lists the task. */
        REPORTED
    }

    final Job job;
    final int taskIndex;
    final long attempt;
    final Machine machine;
    Phase phase;
    TaskState state = TaskState.FETCHING;
    /** Sequence number of the newest heartbeat that listed the attempt, or -1. */
    long lastListedSequence = -1;

    long createdMicros;
    /** Time of the first heartbeat of this term that listed the task as running, or -1. */
    long runningSinceMicros = -1;
    /** Whether this leader found the task in a heartbeat instead of starting it. Its earlier run time is unknown and not used for estimates. */
    boolean wasAdopted;
    /** Time at which a stop was first requested, or -1. */
    long stopRequestedMicros = -1;

    /** Time that the task may use to save its work before it is stopped; the shortest of all requested stops. */
    long stopGraceMicros;

    Placement(Job job, int index, long attempt, Machine machine, Phase phase, long nowMicros) {
        this.job = job;
        this.taskIndex = index;
        this.attempt = attempt;
        this.machine = machine;
        this.phase = phase;
        this.createdMicros = nowMicros;
    }

    /** Changes the phase. Once the start is sent, preempting the task loses work, so the machine's estimates change. */
    void transitionTo(Phase next) {
        boolean wasUnsent = isUnsent();
        phase = next;
        if (wasUnsent != isUnsent()) {
            machine.capacityChanged();
        }
    }

    /** Returns whether the start was not sent yet, so that the task cannot be on the machine. */
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
