package io.micatide.scheduler;

import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;

/** One attempt of one task on one machine, from the decision to the end that was read back. */
final class Placement {
    /** Where an attempt stands, as far as this leader can know. */
    enum Phase {
        /** Decided; the round that records the machine is not confirmed yet, so nothing was sent. */
        HELD,
        /** Goes out with the next answer to the machine. */
        READY,
        /** Went out and was not reported since: unknown, never failed. */
        SENT,
        /** In the machine's newest report. */
        REPORTED
    }

    final Job job;
    final int index;
    final long attempt;
    final Machine machine;
    Phase phase;
    TaskState state = TaskState.FETCHING;
    /** The report in whose answer the start went out: a newer report settles it. */
    long sentIncarnation;

    long sentSequence;
    /** The newest report that listed it. */
    long listedSequence = -1;

    long createdMicros;
    long runningSinceMicros = -1;
    /** Found running by this leader: how long it ran before is not known, so it teaches nothing about run times. */
    boolean adopted;
    /** When a stop was first decided, or -1. */
    long stopSinceMicros = -1;

    long stopGraceMicros;

    Placement(Job job, int index, long attempt, Machine machine, Phase phase, long nowMicros) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
        this.machine = machine;
        this.phase = phase;
        this.createdMicros = nowMicros;
    }

    /** Moves on; once it is sent, stopping it loses work. */
    void become(Phase next) {
        boolean before = unsent();
        phase = next;
        if (before != unsent()) {
            machine.roomChanged();
        }
    }

    boolean unsent() {
        return phase == Phase.HELD || phase == Phase.READY;
    }

    boolean stopping() {
        return stopSinceMicros >= 0;
    }

    boolean is(TaskStatus heartbeat) {
        return attempt == heartbeat.attempt()
                && index == heartbeat.index()
                && job.id().equals(heartbeat.job());
    }
}
