package io.micatide.scheduler;

import io.micatide.model.Command;
import io.micatide.model.Heartbeat;
import io.micatide.model.JobKind;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;

/**
 * Reconciles the cluster state with the heartbeats of workers.
 *
 * <p>Invariant: the newest heartbeat of a machine is authoritative for everything that was sent to the machine before. A listed task without a
 * placement is adopted, and a placement that was sent and is not listed is lost; placements that were not sent yet stay. Older heartbeats change
 * nothing.
 */
final class HeartbeatReconciler {
    private final long fencingToken;
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final PlacementTable placements;
    private final FailoverRecovery recovery;
    private final FailureAttribution failureAttribution;
    private final TaskOutcomes taskOutcomes;
    private final Evictions evictions;

    HeartbeatReconciler(
            ClusterState cluster,
            FailoverRecovery recovery,
            FailureAttribution failureAttribution,
            TaskOutcomes taskOutcomes,
            Evictions evictions) {
        this.fencingToken = cluster.fencingToken();
        this.fleet = cluster.fleet();
        this.ledgers = cluster.ledgers();
        this.placements = cluster.placements();
        this.recovery = recovery;
        this.failureAttribution = failureAttribution;
        this.taskOutcomes = taskOutcomes;
        this.evictions = evictions;
    }

    /**
     * Applies a heartbeat.
     *
     * @param commands commands for the machine, to which stops of unknown tasks and reaps are added
     * @param nowMicros time of receipt
     * @return the machine, or null if the machine is deleted or a newer heartbeat was already applied
     */
    Machine apply(Heartbeat heartbeat, List<Command> commands, long nowMicros) {
        if (fleet.isDeleted(heartbeat.machine())) {
            return null;
        }
        Machine machine = fleet.getOrAdd(heartbeat.machine(), nowMicros);
        if (!heartbeat.isNewerThan(machine.incarnation, machine.latestSequence)) {
            return null;
        }
        machine.heartbeatReceived(heartbeat, nowMicros);
        if (machine.type == null || !machine.type.equals(heartbeat.type()) || machine.capacity() == null) {
            fleet.updateTypeAndZone(machine, heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        }
        if (heartbeat.spotNoticeMicros() >= 0 && machine.spotNoticeEndsMicros < 0) {
            machine.spotNoticeEndsMicros = nowMicros + heartbeat.spotNoticeMicros();
            evictions.spotNoticeReceived(machine, nowMicros);
        }
        reconcileTasks(machine, heartbeat, commands, nowMicros);
        if (heartbeat.fencingToken() == fencingToken && !machine.isReconciled) {
            recovery.markReconciled(machine, nowMicros);
        }
        if (machine.placements.isEmpty() && machine.idleSinceMicros < 0) {
            machine.idleSinceMicros = nowMicros;
        }
        return machine;
    }

    private void reconcileTasks(Machine machine, Heartbeat heartbeat, List<Command> commands, long nowMicros) {
        int bytesWithoutPlacement = 0;
        for (TaskStatus status : heartbeat.tasks()) {
            boolean keepsEntry = status.state() == TaskState.EXITED
                    ? !taskOutcomes.taskExited(machine, ledgers.get(status.job()), status, commands, nowMicros)
                    : !reconcileLiveTask(machine, status, heartbeat.sequence(), commands, nowMicros);
            bytesWithoutPlacement += keepsEntry ? HeartbeatSpace.bytesOf(status) : 0;
        }
        machine.setOtherHeartbeatBytes(bytesWithoutPlacement);
        removeLost(machine, heartbeat.sequence());
    }

    /** Returns whether the task has a placement. */
    private boolean reconcileLiveTask(
            Machine machine, TaskStatus status, long sequence, List<Command> commands, long nowMicros) {
        Job job = ledgers.get(status.job());
        Placement placement = machine.placementOf(status, job);
        if (job == null && placement == null) {
            job = recovery.addCancelledBeforeTerm(status.job(), nowMicros);
        }
        if (job == null) {
            // The job has finished: stop its remaining task, which is reaped once it has exited. Until then
            // an existing placement counts towards the usage of the job's team.
            commands.add(new Command.Stop(status.job(), status.taskIndex(), status.attempt(), 0));
        } else {
            placement = placement != null ? placement : adopt(machine, job, status, nowMicros);
            applyStatus(placement, job, status, nowMicros);
        }
        if (placement != null) {
            placement.lastListedSequence = sequence;
        }
        return placement != null;
    }

    /** Adds a placement for a listed task that this leader did not start or had regarded as lost. */
    private Placement adopt(Machine machine, Job job, TaskStatus status, long nowMicros) {
        Placement placement =
                new Placement(job, status.taskIndex(), status.attempt(), machine, Placement.Phase.REPORTED, nowMicros);
        placement.wasAdopted = true;
        placements.add(placement);
        boolean isFinished = job.spec.kind() != JobKind.SERVICE && job.finishedTasks.get(status.taskIndex());
        if (job.cancelled || isFinished) {
            placements.stop(placement, 0, nowMicros);
        }
        return placement;
    }

    private void applyStatus(Placement placement, Job job, TaskStatus status, long nowMicros) {
        placement.transitionTo(Placement.Phase.REPORTED);
        placement.state = status.state();
        if (status.state() == TaskState.RUNNING && placement.runningSinceMicros < 0) {
            placement.runningSinceMicros = nowMicros;
        }
        if (status.state() != TaskState.FETCHING) {
            fleet.recordImage(placement.machine, job);
        }
        if (job.spec.kind() == JobKind.GANG
                && status.state() != TaskState.FETCHING
                && status.state() != TaskState.WAITING) {
            job.gangStarted = true;
        }
        failureAttribution.replicaRunning(placement, nowMicros);
    }

    private void removeLost(Machine machine, long sequence) {
        List<Placement> lost = new ArrayList<>();
        for (Placement placement : machine.placements) {
            if (placement.lastListedSequence != sequence && !placement.isUnsent()) {
                lost.add(placement);
            }
        }
        lost.forEach(placements::remove);
    }
}
