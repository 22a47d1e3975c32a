package io.micatide.scheduler;

import io.micatide.model.Command;
import io.micatide.model.ExitCause;
import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;

/**
 * Handles tasks that exited: marks a completed task as finished or attributes a failure, records the observed run time, and sends the worker a reap
 * command when it may discard the task.
 *
 * <p>Invariant: a worker may discard a completed task only once a confirmed write holds the completion; until then its heartbeats are the only record
 * of it.
 */
final class TaskOutcomes {
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final PlacementTable placements;
    private final FailureAttribution failureAttribution;
    private final RuntimeEstimator runtimeEstimator;
    private final List<String> notices = new ArrayList<>();

    TaskOutcomes(ClusterState cluster, FailureAttribution failureAttribution, RuntimeEstimator runtimeEstimator) {
        this.fleet = cluster.fleet();
        this.ledgers = cluster.ledgers();
        this.placements = cluster.placements();
        this.failureAttribution = failureAttribution;
        this.runtimeEstimator = runtimeEstimator;
    }

    /**
     * Handles a task that a heartbeat lists as exited.
     *
     * @param job job of the task, or null if the job has finished
     * @param commands commands for the machine, to which a reap is added if the worker may discard the task
     * @return whether a reap was added
     */
    boolean taskExited(Machine machine, Job job, TaskStatus status, List<Command> commands, long nowMicros) {
        Placement placement = machine.placementOf(status, job);
        boolean mayReap = true;
        if (hasCompleted(job, status)) {
            if (!job.finishedTasks.get(status.taskIndex())) {
                taskCompleted(machine, job, status.taskIndex(), placement, nowMicros);
            }
            mayReap = job.recordedTasks.get(status.taskIndex());
        } else if (placement != null && job != null) {
            taskFailed(machine, job, status.cause(), nowMicros);
        }
        if (mayReap) {
            commands.add(reapCommand(status));
        }
        if (placement != null) {
            removeExited(placement, status.cause());
        }
        return mayReap;
    }

    private static boolean hasCompleted(Job job, TaskStatus status) {
        return status.cause() == ExitCause.DONE && job != null && job.spec.kind() != JobKind.SERVICE && !job.cancelled;
    }

    private static Command reapCommand(TaskStatus status) {
        return new Command.Reap(status.job(), status.taskIndex(), status.attempt());
    }

    private void taskCompleted(Machine machine, Job job, int taskIndex, Placement placement, long nowMicros) {
        recordRuntime(machine, placement, nowMicros);
        failureAttribution.taskSucceeded(machine, job);
        fleet.recordImage(machine, job);
        if (job.spec.kind() == JobKind.GANG) {
            // The tasks of a gang complete together, so the exit of one proves that all completed, even lost ones.
            for (int index = 0; index < job.spec.taskCount(); index++) {
                ledgers.markTaskFinished(job, index, nowMicros);
            }
        } else {
            ledgers.markTaskFinished(job, taskIndex, nowMicros);
        }
        for (Placement other : List.copyOf(job.liveAttempts.getOrDefault(taskIndex, List.of()))) {
            if (other != placement) {
                placements.removeOrStop(other, 0, nowMicros);
            }
        }
    }

    private void recordRuntime(Machine machine, Placement placement, long nowMicros) {
        if (placement == null || placement.runningSinceMicros < 0) {
            return;
        }
        failureAttribution.recordPace(machine, placement, nowMicros);
        if (machine.slowUntilMicros < nowMicros && !placement.wasAdopted) {
            runtimeEstimator.taskFinished(placement.job, nowMicros - placement.runningSinceMicros);
        }
    }

    private void removeExited(Placement placement, ExitCause cause) {
        placements.remove(placement);
        Job job = placement.job;
        if (job.spec.kind() == JobKind.GANG && !cause.isRefusedStart()) {
            job.gangAttemptEnded = !job.liveAttempts.isEmpty();
        }
    }

    private void taskFailed(Machine machine, Job job, ExitCause cause, long nowMicros) {
        if (cause == ExitCause.ERROR) {
            attributeFailure(machine, job, nowMicros);
        } else if (cause.isRefusedStart()) {
            job.backoffUntilMicros = nowMicros + Micros.SECOND;
        }
    }

    private void attributeFailure(Machine machine, Job job, long nowMicros) {
        boolean wasJobQuarantined = job.quarantined;
        boolean wasMachineQuarantined = machine.quarantined;
        failureAttribution.taskFailed(machine, job, fleet.machines(), nowMicros);
        if (job.quarantined) {
            placements.removeUnsent(job);
        }
        if (job.quarantined && !wasJobQuarantined) {
            notices.add(String.format(
                    "%s (%s) is quarantined: it failed on %d machines and never succeeded; it is only probed now",
                    job.id(), job.spec.jobClass(), job.failedMachines.size()));
        }
        if (machine.quarantined && !wasMachineQuarantined) {
            notices.add(String.format(
                    "%s is quarantined: %d failures of jobs that succeed elsewhere, %d jobs that never succeeded"
                            + " failed on it",
                    machine.name, machine.failureCount, machine.unattributedJobs.size()));
        }
    }

    /** Ends the quarantine of machines that could not be deleted within its time. */
    void endQuarantines(long nowMicros) {
        for (Machine machine : FailureAttribution.endQuarantines(fleet.machines(), nowMicros)) {
            notices.add(machine.name + " is no longer quarantined: it could not be deleted meanwhile");
        }
    }

    /** Returns log lines on the jobs and machines that were quarantined since the last call, as a list that the caller may change. */
    List<String> takeNotices() {
        List<String> lines = new ArrayList<>(notices);
        notices.clear();
        return lines;
    }
}
