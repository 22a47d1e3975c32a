package io.micatide.scheduler;

import io.micatide.model.Command;
import java.util.List;

/**
 * The stops and starts in the answer to a heartbeat.
 *
 * <p>Invariants: a start goes only to a machine that has reported under this term, is not being deleted and whose placement the ledger holds, and only while
 * the lease is held. A stop is repeated in each answer until the task is gone.
 */
final class HeartbeatCommands {
    private static final int MAX_COMMANDS = 500;

    private final StartGuard startGuard;
    private final FailoverProgress failoverProgress;

    HeartbeatCommands(StartGuard startGuard, FailoverProgress failoverProgress) {
        this.startGuard = startGuard;
        this.failoverProgress = failoverProgress;
    }

    /**
     * Adds what is due on the machine.
     *
     * @param commands of the answer, to be added to
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
