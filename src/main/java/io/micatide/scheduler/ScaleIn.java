package io.micatide.scheduler;

import io.micatide.model.MachineType;
import io.micatide.model.Tuning;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Which machines are no longer needed. Invariant: only machines on which nothing is placed are marked for deletion, and
 * while something waits that more machines would help, only those that nothing of it may use.
 */
final class ScaleIn {
    /** Boots usually take up to one and a half times the type's time; beyond this a machine is late. */
    private static final double LATE_BOOT_FACTOR = 1.6;

    private final Tuning tuning;
    private final Fleet fleet;
    private final PlacementPlanner planner;
    private final FleetForecast forecast;
    private long nothingWaitsSinceMicros = Long.MAX_VALUE;

    ScaleIn(Tuning tuning, Fleet fleet, PlacementPlanner planner, FleetForecast forecast) {
        this.tuning = tuning;
        this.fleet = fleet;
        this.planner = planner;
        this.forecast = forecast;
    }

    /** Marks machines for deletion while nothing waits that more machines would help. */
    void deleteUnneeded(long nowMicros) {
        for (Machine machine : fleet.machines()) {
            if (isIdle(machine) && (machine.quarantined || hasBeenIdleLong(machine, nowMicros))) {
                machine.deletionRequested = true;
            }
        }
        deleteLateMachines(nowMicros);
    }

    /**
     * Marks machines for deletion while something waits that more machines would help: as long as a gang waited for
     * on-demand machines, spot machines stood idle, and where they had taken all that the cloud has, the gang waited for
     * ever.
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
     * Nothing has waited for a while, and a machine that should be up by now is not: what it was rented for has been done
     * elsewhere. Such machines came up after the burst, stood idle and went back without ever having worked (inc-3431).
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
