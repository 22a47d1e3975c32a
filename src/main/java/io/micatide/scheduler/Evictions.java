package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.List;

/**
 * Takes tasks away from where they cannot stay: from machines that the cloud reclaims, that are silent or slow, from broken gangs, and from ledgers that are
 * full.
 *
 * <p>Invariants: a gang that lost a task after it started is stopped whole, since it cannot go on. A task is evicted once at most because its machine seems
 * slow. What was sent to a machine is given up only when the lease of its worker has certainly run out.
 */
final class Evictions {
    /** For how long a full ledger is named no further machines. */
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

    /** How many machines were found slow in this term. */
    int slowMachinesFound() {
        return slowMachinesFound;
    }

    /** The cloud reclaims the machine: what can save a checkpoint is told to, the rest may still finish in time. */
    void spotNoticeReceived(Machine machine, long nowMicros) {
        for (Placement placement : List.copyOf(machine.placements)) {
            if (placement.isUnsent()) {
                placements.remove(placement);
            } else if (placement.job.spec.checkpointIntervalMicros() > 0) {
                placements.stopWithCheckpoint(placement, nowMicros);
            }
        }
    }

    /** Removes what was not sent to machines that are silent, and everything from those whose workers' leases have run out. */
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

    /** Stops gangs that lost a task after they started, and gangs that gave up waiting and cannot be completed. */
    void stopBrokenGangs(long nowMicros) {
        for (Job job : ledgers.jobs()) {
            if (job.spec.kind() != JobKind.GANG
                    || job.liveAttempts.isEmpty()
                    || job.hasUnreconciledMachines()
                    || job.allFinished()) {
                continue;
            }
            boolean isIncomplete = job.gangStarted && job.liveAttempts.size() < job.spec.taskCount();
            if (isIncomplete || job.gangBroken) {
                stopGang(job, nowMicros);
            }
        }
    }

    private void stopGang(Job job, long nowMicros) {
        job.gangBroken = true;
        for (Placement placement : job.livePlacements()) {
            if (placement.isUnsent()) {
                placements.remove(placement);
            } else if (!placement.isStopping()) {
                placements.stop(placement, 0, nowMicros);
            }
        }
    }

    /** Starts over elsewhere what would take longer on machines that were found slow just now. */
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
        } else if (!placement.job.evictedAsSlow.get(placement.taskIndex)) {
            // One that was long elsewhere too is long itself: of an array whose tasks take very different times the
            // long ones
            // made each machine seem slow, and were started over without end.
            placement.job.evictedAsSlow.set(placement.taskIndex);
            if (placement.job.spec.checkpointIntervalMicros() > 0) {
                placements.stopWithCheckpoint(placement, nowMicros);
            } else {
                placements.stop(placement, 0, nowMicros);
            }
        }
    }

    /** What waits for a machine that a full ledger cannot name is removed, to wait for others of the job's machines. */
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
