package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.List;

/**
 * Evicts tasks that cannot stay on their machines: tasks on machines that the cloud reclaims, that are unresponsive or slow, tasks of broken gangs,
 * and tasks on machines that a full ledger cannot name.
 *
 * <p>Invariants: a gang that lost a task after its start is stopped as a whole, since it cannot continue. A task is evicted at most once because its
 * machine seems slow. A task that was sent to a machine is regarded as lost only when the lease of the machine's worker has certainly expired.
 */
final class Evictions {
    /** Time during which no further machines are added to a full ledger. */
    private static final long LEDGER_FULL_PAUSE_MICROS = Micros.SECOND;

    private final Settings settings;
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final PlacementTable placements;
    private final FailureAttribution failureAttribution;
    private int slowMachinesFound;

    Evictions(ClusterState cluster, FailureAttribution failureAttribution) {
        this.settings = cluster.settings();
        this.fleet = cluster.fleet();
        this.ledgers = cluster.ledgers();
        this.placements = cluster.placements();
        this.failureAttribution = failureAttribution;
    }

    /** Returns how often a machine was found slow in this term. */
    int slowMachinesFound() {
        return slowMachinesFound;
    }

    /** Stops the tasks that can save a checkpoint on a machine that the cloud reclaims; the other tasks may still finish in time. */
    void spotNoticeReceived(Machine machine, long nowMicros) {
        for (Placement placement : List.copyOf(machine.placements)) {
            if (placement.isUnsent()) {
                placements.remove(placement);
            } else if (placement.job.spec.checkpointIntervalMicros() > 0) {
                placements.stopWithCheckpoint(placement, nowMicros);
            }
        }
    }

    /** Removes unsent placements from unresponsive machines, and all placements from machines whose worker leases have certainly expired. */
    void expireLeases(long nowMicros) {
        for (Machine machine : List.copyOf(fleet.machines())) {
            if (!machine.placements.isEmpty()) {
                expireLease(machine, nowMicros);
            }
        }
    }

    private void expireLease(Machine machine, long nowMicros) {
        if (machine.lastHeartbeatMicros >= 0 && !machine.isResponsive(nowMicros, settings)) {
            for (Placement placement : List.copyOf(machine.placements)) {
                if (placement.isUnsent()) {
                    placements.remove(placement);
                }
            }
        }
        if (machine.isReconciled && nowMicros - machine.lastHeartbeatMicros > settings.workerLeaseExpiryMicros()) {
            placements.removeAll(machine);
        }
    }

    /** Stops gangs that lost a task after their start, and gangs whose tasks stopped waiting for their peers and cannot be completed. */
    void stopBrokenGangs(long nowMicros) {
        for (Job job : ledgers.jobs()) {
            if (job.spec.kind() != JobKind.GANG
                    || job.liveAttempts.isEmpty()
                    || job.hasUnreconciledMachines()
                    || job.allFinished()) {
                continue;
            }
            boolean isIncomplete = job.gangStarted && job.liveAttempts.size() < job.spec.taskCount();
            if (isIncomplete || job.gangAttemptEnded) {
                stopGang(job, nowMicros);
            }
        }
    }

    private void stopGang(Job job, long nowMicros) {
        job.gangAttemptEnded = true;
        for (Placement placement : job.livePlacements()) {
            if (placement.isUnsent()) {
                placements.remove(placement);
            } else if (!placement.isStopping()) {
                placements.stop(placement, 0, nowMicros);
            }
        }
    }

    /** Evicts array tasks from machines that were just found slow, so that they start again on other machines. */
    void evictFromSlowMachines(long nowMicros) {
        for (Machine machine : failureAttribution.findSlowMachines(fleet.machines(), nowMicros)) {
            slowMachinesFound++;
            for (Placement placement : List.copyOf(machine.placements)) {
                if (placement.job.spec.kind() == JobKind.ARRAY) {
                    evictAsSlow(placement, nowMicros);
                }
            }
        }
    }

    private void evictAsSlow(Placement placement, long nowMicros) {
        if (placement.isUnsent()) {
            placements.remove(placement);
        } else if (!placement.job.tasksEvictedAsSlow.get(placement.taskIndex)) {
            // A task is evicted only once: if it is slow on another machine too, the task itself is long.
            // Long tasks of arrays with very different run times made each machine seem slow and were
            // restarted endlessly.
            placement.job.tasksEvictedAsSlow.set(placement.taskIndex);
            if (placement.job.spec.checkpointIntervalMicros() > 0) {
                placements.stopWithCheckpoint(placement, nowMicros);
            } else {
                placements.stop(placement, 0, nowMicros);
            }
        }
    }

    /** Removes placements that wait for a full ledger to name their machines; the tasks then wait for machines that the ledger names. */
    void removeFromFullLedgers(long nowMicros) {
        for (Job job : ledgers.jobs()) {
            if (job.ledgerFull) {
                removeUnrecorded(job, nowMicros);
            }
        }
    }

    private void removeUnrecorded(Job job, long nowMicros) {
        job.ledgerFull = false;
        job.ledgerFullUntilMicros = nowMicros + LEDGER_FULL_PAUSE_MICROS;
        for (Placement placement : job.livePlacements()) {
            if (placement.phase == Placement.Phase.AWAITING_LEDGER) {
                placements.remove(placement);
            }
        }
        job.machinesToRecord.clear();
    }
}
