package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All attempts that are on a machine as far as the leader knows, or that are to be started there. Only this class adds and removes placements.
 *
 * <p>Invariants: a placement is in the list of its machine exactly while it is among the live attempts of its job, and the usage of a team is the
 * sum of the resources of the placements of its jobs, including cancelled jobs. A gang without placements is neither started nor broken. The
 * ledger of a cancelled job is marked for its next write as soon as the last placement of the job is removed and no machine has to be reconciled.
 */
final class PlacementTable implements PlacementActions {
    /** Number of low bits of an attempt number that hold a counter; the bits above hold the fencing token. */
    private static final int ATTEMPT_COUNTER_BITS = 20;

    private final long fencingToken;
    private final JobLedgers ledgers;
    private final ArrayTaskLimit arrayTaskLimit;
    private final long gangPeerTimeoutMicros;
    private final Map<String, Resources> teamUsage = new HashMap<>();
    private PlacementListener listener;
    private long attemptCounter;

    PlacementTable(Settings settings, long fencingToken, JobLedgers ledgers, ArrayTaskLimit arrayTaskLimit) {
        this.fencingToken = fencingToken;
        this.ledgers = ledgers;
        this.arrayTaskLimit = arrayTaskLimit;
        this.gangPeerTimeoutMicros = settings.gangPeerTimeoutMicros();
    }

    /** Sets the listener that is notified of changes. Must be called before the first change. */
    void setListener(PlacementListener newListener) {
        listener = newListener;
    }

    /** Adds a placement that is not in the table yet. */
    void add(Placement placement) {
        placement.machine.add(placement);
        placement.job.add(placement);
        teamUsage.merge(placement.job.spec.team(), placement.job.spec.taskResources(), Resources::plus);
        if (isArray(placement.job)) {
            arrayTaskLimit.taskPlaced();
        }
        listener.taskPlaced(placement.machine);
    }

    private static boolean isArray(Job job) {
        return job.spec.kind() == JobKind.ARRAY;
    }

    @Override
    public void remove(Placement placement) {
        placement.machine.remove(placement);
        placement.job.remove(placement);
        teamUsage.merge(
                placement.job.spec.team(), Resources.NONE.minus(placement.job.spec.taskResources()), Resources::plus);
        if (isArray(placement.job)) {
            arrayTaskLimit.taskRemoved();
        }
        listener.capacityFreed();
        if (placement.job.liveAttempts.isEmpty()) {
            placement.job.gangStarted = false;
            placement.job.gangAttemptEnded = false;
        }
        if (placement.job.cancelled) {
            markLedgerDirtyIfStopped(placement.job, placement.createdMicros);
        }
    }

    /** Removes the placements of the job that were not sent; placements that were sent stay. */
    void removeUnsent(Job job) {
        for (Placement placement : job.livePlacements()) {
            if (placement.isUnsent()) {
                remove(placement);
            }
        }
    }

    /** Removes all placements of a machine on which no task can run any more. */
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

    /** Stops the placement if it was sent, otherwise removes it. */
    void removeOrStop(Placement placement, long graceMicros, long nowMicros) {
        if (placement.isUnsent()) {
            remove(placement);
        } else {
            stop(placement, graceMicros, nowMicros);
        }
    }

    /** Removes or stops all placements of the job. */
    void removeOrStopAll(Job job, long graceMicros, long nowMicros) {
        for (Placement placement : job.livePlacements()) {
            removeOrStop(placement, graceMicros, nowMicros);
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The tasks of a gang save a checkpoint only together, so all of them must receive their stop within the time that they wait for their peers;
     * this time is added to the grace period. Further calls for tasks of a gang that is being stopped change nothing: many of them may be on the
     * machine that is drained.
     */
    @Override
    public void stopWithCheckpoint(Placement placement, long nowMicros) {
        Job job = placement.job;
        if (job.spec.kind() == JobKind.GANG && job.gangAttemptEnded && placement.isStopping()) {
            return;
        }
        long graceMicros = Micros.longestWithDrift(job.spec.saveMicros()) + Micros.SECOND;
        if (job.spec.kind() == JobKind.GANG) {
            removeOrStopAll(job, graceMicros + gangPeerTimeoutMicros, nowMicros);
            // If two tasks are preempted at once, the first call removes the whole gang. Without live
            // attempts the gang must not be marked as broken, or it would never be placed again.
            job.gangAttemptEnded = !job.liveAttempts.isEmpty();
        } else {
            stop(placement, graceMicros, nowMicros);
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The attempt number contains the fencing token, which makes it unique without a write to the store. All tasks of a gang share one attempt
     * number.
     */
    @Override
    public void placeTask(Job job, int taskIndex, Machine machine, long nowMicros) {
        long attempt = (fencingToken << ATTEMPT_COUNTER_BITS) + ++attemptCounter;
        if (job.spec.kind() == JobKind.GANG) {
            long liveAttempt = job.liveGangAttempt();
            attempt = liveAttempt != 0 ? liveAttempt : attempt;
            job.gangAttempt = attempt;
        }
        boolean isRecorded = job.ledgerMachines.contains(machine.name);
        Placement.Phase phase = isRecorded ? Placement.Phase.READY : Placement.Phase.AWAITING_LEDGER;
        add(new Placement(job, taskIndex, attempt, machine, phase, nowMicros));
        ledgers.recordMachine(job, machine, nowMicros);
        job.recordStart(nowMicros);
    }

    @Override
    public boolean mayRecordMachine(Job job, Machine machine, long nowMicros) {
        return ledgers.mayRecordMachine(job, machine, nowMicros);
    }

    @Override
    public boolean hasMemoryForTask(Job job) {
        return !isArray(job) || arrayTaskLimit.allowsTask(job);
    }

    @Override
    public Resources teamUsage(String team) {
        return teamUsage.getOrDefault(team, Resources.NONE);
    }

    /** Marks the ledger of a cancelled job for removal once no task of the job can be on a machine. */
    void markLedgerDirtyIfStopped(Job job, long nowMicros) {
        if (job.cancelled && !job.mayBeRunning()) {
            ledgers.markDirty(job, nowMicros);
        }
    }
}
