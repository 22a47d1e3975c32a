package io.micatide.scheduler;

import io.micatide.model.Command;
import java.util.List;

/**
 * Adds the stop and start commands to the response to a heartbeat.
 *
 * <p>Invariants: a start is sent only to a reconciled machine that is not being deleted and that the ledger of the job names, and only while the
 * lease is held. A stop is repeated in each response until the task is no longer on the machine.
 */
final class HeartbeatCommands {
    /** Starts are added to a response only while it has fewer commands than this. */
    private static final int MAX_COMMANDS = 500;

    private final StartGuard startGuard;
    private final FailoverProgress failoverProgress;

    HeartbeatCommands(StartGuard startGuard, FailoverProgress failoverProgress) {
        this.startGuard = startGuard;
        this.failoverProgress = failoverProgress;
    }

    /**
     * Adds the stops and starts that are due on the machine.
     *
     * @param commands commands of the response, to which the new ones are added
     */
    void addStopsAndStarts(Machine machine, List<Command> commands, long nowMicros) {
        addStops(machine, commands);
        if (machine.isReconciled && !machine.deletionRequested && startGuard.mayStartTasks(nowMicros)) {
            addStarts(machine, commands, nowMicros);
        }
    }

    private static void addStops(Machine machine, List<Command> commands) {
        for (Placement placement : machine.placements) {
            if (placement.isStopping() && !placement.isUnsent()) {
                commands.add(new Command.Stop(
                        placement.job.id(), placement.taskIndex, placement.attempt, placement.stopGraceMicros));
            }
        }
    }

    private void addStarts(Machine machine, List<Command> commands, long nowMicros) {
        for (Placement placement : machine.placements) {
            if (placement.phase == Placement.Phase.READY && commands.size() < MAX_COMMANDS) {
                placement.transitionTo(Placement.Phase.SENT);
                failoverProgress.taskStarted(nowMicros);
                commands.add(new Command.Start(placement.job.id(), placement.taskIndex, placement.attempt));
            }
        }
    }
}
