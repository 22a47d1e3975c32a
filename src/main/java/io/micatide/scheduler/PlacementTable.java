package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Every attempt that is on a machine as far as its leader knows, or is to be started there. The only place that adds and removes placements.
 *
 * <p>Invariants: a placement is on the list of its machine exactly while it is among the live attempts of its job, and the usage of a team is the
 * sum of the resources of the placements of its jobs, cancelled ones included. A gang without placements is neither started nor broken. The
 * ledger of a cancelled job is due to be written as soon as its last placement is gone.
 */
final class PlacementTable implements PlacementActions {
    /** The attempt number is the fencing token followed by a counter of so many bits. */
    private static final int ATTEMPT_COUNTER_BITS = 20;

    private final long fencingToken;
    private final JobLedgers ledgers;
    private final long gangPeerTimeoutMicros;
    private final Map<String, Resources> teamUsage = new HashMap<>();
    private PlacementListener listener;
    private long attemptCounter;

    PlacementTable(Settings settings, long fencingToken, JobLedgers ledgers) {
        this.fencingToken = fencingToken;
        this.ledgers = ledgers;
        this.gangPeerTimeoutMicros = settings.gangPeerTimeoutMicros();
    }

    /** Sets who is told of changes; has to be called before the first of them. */
    void setListener(PlacementListener newListener) {
        listener = newListener;
    }

    /** Adds a placement that is not in the table. */
    void add(Placement placement) {
        placement.machine.add(placement);
        placement.job.add(placement);
        teamUsage.merge(placement.job.spec.team(), placement.job.spec.taskResources(), Resources::plus);
        listener.taskPlaced(placement.machine);
    }

    @Override
    public void remove(Placement placement) {
        placement.machine.remove(placement);
        placement.job.remove(placement);
        teamUsage.merge(
                placement.job.spec.team(), Resources.NONE.minus(placement.job.spec.taskResources()), Resources::plus);
        listener.capacityFreed();
        if (placement.job.liveAttempts.isEmpty()) {
            placement.job.gangStarted = false;
            placement.job.gangBroken = false;
        }
        if (placement.job.cancelled) {
            markLedgerIfStopped(placement.job, placement.createdMicros);
        }
    }

    /** Removes what was not sent of the job; what was sent stays. */
    void removeUnsent(Job job) {
        for (Placement placement : job.livePlacements()) {
            if (placement.isUnsent()) {
                remove(placement);
            }
        }
    }

    /** Removes everything from a machine on which nothing runs any more. */
    void removeAll(Machine machine) {
        for (Placement placement : List.copyOf(machine.placements)) {
            remove(placement);
        }
    }

    @Override
    public void stop(Placement placement, long graceMicros, long nowMicros) {
        listener.usageChanged();
        if (!placement.isStopping()) {
            placement.stopRequestedMicros = nowMicros;
            placement.stopGraceMicros = graceMicros;
            placement.machine.capacityChanged();
        } else if (graceMicros < placement.stopGraceMicros) {
            placement.stopGraceMicros = graceMicros;
            placement.machine.capacityChanged();
        }
    }

    /** Stops a placement that was sent, removes one that was not. */
    void removeOrStop(Placement placement, long graceMicros, long nowMicros) {
        if (placement.isUnsent()) {
            remove(placement);
        } else {
            stop(placement, graceMicros, nowMicros);
        }
    }

    /** Removes or stops all of a job. */
    void removeOrStopAll(Job job, long graceMicros, long nowMicros) {
        for (Placement placement : job.livePlacements()) {
            removeOrStop(placement, graceMicros, nowMicros);
        }
    }

    /** A gang saves only together: all its tasks have to be told within the time that they wait for one another. */
    @Override
    public void stopWithCheckpoint(Placement placement, long nowMicros) {
        Job job = placement.job;
        long graceMicros = Micros.longestWithDrift(job.spec.saveMicros()) + Micros.SECOND;
        if (job.spec.kind() == JobKind.GANG) {
            removeOrStopAll(job, graceMicros + gangPeerTimeoutMicros, nowMicros);
            // Of two tasks that have to yield at once the first takes the whole gang away: with nothing left of it
            // there is
            // nothing to wait for. A gang that was held to be broken then was never placed again.
            job.gangBroken = !job.liveAttempts.isEmpty();
        } else {
            stop(placement, graceMicros, nowMicros);
        }
    }

    /** The attempt number carries the fencing token, so that it is unique without being written; the tasks of a gang share one. */
    @Override
    public void placeTask(Job job, int taskIndex, Machine machine, long nowMicros) {
        long attempt = (fencingToken << ATTEMPT_COUNTER_BITS) + ++attemptCounter;
        if (job.spec.kind() == JobKind.GANG) {
            long live = job.liveGangAttempt();
            attempt = live != 0 ? live : attempt;
            job.gangAttempt = attempt;
        }
        boolean isRecorded = job.ledgerMachines.contains(machine.name);
        Placement.Phase phase = isRecorded ? Placement.Phase.READY : Placement.Phase.AWAITING_LEDGER;
        add(new Placement(job, taskIndex, attempt, machine, phase, nowMicros));
        ledgers.recordMachine(job, machine, nowMicros);
        job.startDecided(nowMicros);
    }

    @Override
    public boolean mayRecordMachine(Job job, Machine machine, long nowMicros) {
        return ledgers.mayRecordMachine(job, machine, nowMicros);
    }

    @Override
    public Resources teamUsage(String team) {
        return teamUsage.getOrDefault(team, Resources.NONE);
    }

    /** Has the ledger of a cancelled job removed, which stays until nothing of the job can be on a machine. */
    void markLedgerIfStopped(Job job, long nowMicros) {
        if (job.cancelled && !job.mayBeRunning()) {
            ledgers.markDirty(job, nowMicros);
        }
    }
}
