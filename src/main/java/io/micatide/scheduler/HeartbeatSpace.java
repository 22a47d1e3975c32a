package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.TaskStatus;

/**
 * Limits the tasks on a machine to those that its worker can list in a heartbeat. A heartbeat lists every task from its start
 * until it is reaped, and a larger one than the protocol allows is refused, so that the worker loses its lease with all tasks.
 *
 * <p>Invariants: the tasks of a machine fit into its heartbeat also when all of them have exited. An array takes at most half of
 * the space that is left, apart from a reserve for gangs, services and the first task of another array. A gang or service
 * leaves some space as well. So a machine with free capacity also has space in its heartbeat for a job that comes later.
 */
final class HeartbeatSpace {
    /** Limit of the body of a request. */
    private static final int MAX_HEARTBEAT_BYTES = 64 * 1024;
    /** Space for all that a heartbeat says of the machine itself. */
    private static final int MACHINE_BYTES = 1_024;
    /** The longest entry without the variable parts, with a space after each colon and comma, as some encoders write it. */
    private static final int ENTRY_BYTES =
            "{\"leg\": \"/\", \"throwIn\": , \"standing\": \"exited\", \"cause\": \"unknown\"}, ".length();
    /** The part of an entry that says that progress was saved. */
    private static final int SAVED_BYTES = ", \"stored\": true".length();
    /** Digits of an attempt number: those of the highest fencing token for which there is space, and of the counter. */
    private static final int MAX_ATTEMPT_DIGITS = 14;
    /** Parts of a machine's space that a gang or service may take for each part that it leaves. */
    private static final int MAX_TAKEN_TO_LEFT = 16;

    /** A usual id and number of tasks, for estimates before a job is known. */
    private static final int USUAL_ENTRY_BYTES = ENTRY_BYTES + MAX_ATTEMPT_DIGITS + "wk-000000/00000".length();

    /** Bytes for the entries of all tasks of a machine. */
    static final int TOTAL_BYTES = MAX_HEARTBEAT_BYTES - MACHINE_BYTES;
    /** Bytes that an array with live tasks leaves to others. */
    private static final int RESERVED_BYTES = TOTAL_BYTES / 8;

    private HeartbeatSpace() {}

    /** Returns an upper bound for the bytes of an entry of one of the job's tasks. */
    static int bytesPerTask(JobSpec spec) {
        return ENTRY_BYTES
                + MAX_ATTEMPT_DIGITS
                + spec.id().length()
                + digits(spec.taskCount())
                + (spec.checkpointIntervalMicros() > 0 ? SAVED_BYTES : 0);
    }

    /** Returns an upper bound for the bytes of the entry with this status, in its present state or any later one. */
    static int bytesOf(TaskStatus status) {
        return ENTRY_BYTES
                + SAVED_BYTES
                + status.job().length()
                + digits(status.taskIndex())
                + digits(status.attempt());
    }

    private static int digits(long number) {
        return Long.toString(number).length();
    }

    /** Returns whether the machine's heartbeat has space for one more task of the job. */
    static boolean allowsTask(Job job, Machine machine) {
        return maxTasks(job, machine) > 0;
    }

    /** Returns for how many more tasks of the job the machine's heartbeat has space. */
    static long maxTasks(Job job, Machine machine) {
        int bytesPerTask = job.heartbeatBytesPerTask;
        int freeBytes = machine.freeHeartbeatBytes();
        if (freeBytes < bytesPerTask) {
            return 0;
        }
        long usedBytes = (long) job.liveMachines.count(machine.name) * bytesPerTask;
        if (job.spec.kind() != JobKind.ARRAY) {
            return Math.max(
                    0, (MAX_TAKEN_TO_LEFT * (long) freeBytes - usedBytes) / ((MAX_TAKEN_TO_LEFT + 1L) * bytesPerTask));
        }
        long allowed = (freeBytes - RESERVED_BYTES - usedBytes) / (2L * bytesPerTask);
        return Math.max(job.liveAttemptCount() == 0 ? 1 : 0, allowed);
    }

    /** Returns how many tasks of one job, with an id of the usual length, an empty machine can list. */
    static long usualTasksPerMachine() {
        return MAX_TAKEN_TO_LEFT * (long) TOTAL_BYTES / ((MAX_TAKEN_TO_LEFT + 1L) * USUAL_ENTRY_BYTES);
    }
}
