package io.micatide.scheduler;

import io.micatide.model.MachineType;
import io.micatide.model.Tuning;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Decides which machines are no longer needed. Invariant: only machines without placements are marked for deletion; while jobs wait that more
 * machines would help, only machines that no waiting job may use.
 */
final class ScaleIn {
    /** A boot is late after this many times the type's boot time; boots usually take up to 1.5 times that. */
    private static final double LATE_BOOT_FACTOR = 1.6;

    private final Tuning tuning;
    private final Fleet fleet;
    private final PlacementPlanner planner;
    private final FleetForecast forecast;
    /** Time since which no job waits except quarantined ones, or {@link Long#MAX_VALUE} while some do. */
    private long nothingWaitsSinceMicros = Long.MAX_VALUE;

    ScaleIn(Tuning tuning, Fleet fleet, PlacementPlanner planner, FleetForecast forecast) {
        this.tuning = tuning;
        this.fleet = fleet;
        this.planner = planner;
        this.forecast = forecast;
    }

    /** Marks idle and late machines for deletion; for use while no job waits that more machines would help. */
    void deleteUnneeded(long nowMicros) {
        for (Machine machine : fleet.machines()) {
            if (isIdle(machine) && (machine.quarantined || hasBeenIdleLong(machine, nowMicros))) {
                machine.deletionRequested = true;
            }
        }
        deleteLateMachines(nowMicros);
    }

    /**
     * Marks idle machines for deletion that no waiting job can use; for use while jobs wait that more machines would help. Otherwise, while a gang
     * waits for on-demand machines, idle spot machines are kept, and if those are all that the cloud has, the gang waits forever.
     */
    void deleteUnusable(long nowMicros) {
        Set<EquivalenceClass> waiting = new LinkedHashSet<>();
        planner.order().forEach(queued -> waiting.add(EquivalenceClass.of(queued.job().spec)));
        for (Machine machine : fleet.machines()) {
            if (isIdle(machine) && hasBeenIdleLong(machine, nowMicros) && !isUsableByAny(waiting, machine, nowMicros)) {
                machine.deletionRequested = true;
            }
        }
    }

    private static boolean isIdle(Machine machine) {
        return machine.isReconciled
                && !machine.deletionRequested
                && machine.placements.isEmpty()
                && machine.idleSinceMicros >= 0;
    }

    private boolean hasBeenIdleLong(Machine machine, long nowMicros) {
        return nowMicros - machine.idleSinceMicros > tuning.idleMachineMicros();
    }

    private boolean isUsableByAny(Set<EquivalenceClass> classes, Machine machine, long nowMicros) {
        for (EquivalenceClass equivalenceClass : classes) {
            if (forecast.isUsable(equivalenceClass, machine, nowMicros)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Marks machines for deletion that boot late if no job has waited for a while, since the tasks that they were rented for ran elsewhere.
     * Otherwise machines come up after a burst of work, stand idle and are deleted without having run a task (inc-3431).
     */
    private void deleteLateMachines(long nowMicros) {
        if (!areAllWaitingJobsQuarantined()) {
            nothingWaitsSinceMicros = Long.MAX_VALUE;
            return;
        }
        nothingWaitsSinceMicros = Math.min(nothingWaitsSinceMicros, nowMicros);
        if (nowMicros - nothingWaitsSinceMicros < tuning.idleMachineMicros() / 4) {
            return;
        }
        for (Machine machine : fleet.machines()) {
            if (isLate(machine, nowMicros)) {
                machine.deletionRequested = true;
            }
        }
    }

    private boolean areAllWaitingJobsQuarantined() {
        for (JobQueue.QueuedJob queued : planner.order()) {
            if (!queued.job().quarantined) {
                return false;
            }
        }
        return true;
    }

    private boolean isLate(Machine machine, long nowMicros) {
        MachineType type = machine.type == null ? null : fleet.machineTypes().get(machine.type);
        return type != null
                && !machine.deletionRequested
                && machine.lastHeartbeatMicros < 0
                && machine.bootStartedMicros >= 0
                && !machine.isAwaitedAfterFailover
                && nowMicros - machine.bootStartedMicros > LATE_BOOT_FACTOR * type.bootMicros();
    }
}
