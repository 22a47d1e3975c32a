package io.micatide.scheduler;

import io.micatide.model.MachineType;
import io.micatide.model.Resources;
import io.micatide.model.Settings;

/**
 * Determines the capacity that the fleet has or is about to have, for decisions to scale out or in. Invariant: expected capacity includes neither
 * machines on which tasks can be placed already nor machines that are to be deleted.
 */
final class FleetForecast {
    /** Free capacity that becomes available soon, separately for on-demand and spot machines. */
    record ExpectedCapacity(Resources onDemand, Resources spot) {
        Resources total() {
            return onDemand.plus(spot);
        }
    }

    private final Settings settings;
    private final Fleet fleet;
    private final ProvisioningRequests requests;

    FleetForecast(Settings settings, Fleet fleet, ProvisioningRequests requests) {
        this.settings = settings;
        this.fleet = fleet;
        this.requests = requests;
    }

    /** Returns the free capacity of machines that are requested, booting, or not reconciled yet. */
    ExpectedCapacity expectedCapacity(long nowMicros) {
        Resources onDemand = Resources.NONE;
        Resources spot = Resources.NONE;
        for (Machine machine : fleet.machines()) {
            if (isBooting(machine, nowMicros) || isUnreconciled(machine, nowMicros)) {
                if (machine.isSpot) {
                    spot = spot.plus(machine.freeCapacity());
                } else {
                    onDemand = onDemand.plus(machine.freeCapacity());
                }
            }
        }
        for (ProvisioningRequests.Request request : requests.requests.values()) {
            MachineType type = fleet.machineTypes().get(request.type);
            if (request.state != ProvisioningRequests.State.DONE && type != null) {
                Resources size = type.resources().times(request.count);
                if (request.spot) {
                    spot = spot.plus(size);
                } else {
                    onDemand = onDemand.plus(size);
                }
            }
        }
        return new ExpectedCapacity(onDemand, spot);
    }

    /** Returns whether the machine is booting, for less than twice the boot time of its type; after that it may never come up. */
    private boolean isBooting(Machine machine, long nowMicros) {
        if (machine.deletionRequested || machine.lastHeartbeatMicros >= 0 || machine.capacity() == null) {
            return false;
        }
        MachineType type = fleet.machineTypes().get(machine.type);
        return machine.bootStartedMicros >= 0 && nowMicros - machine.bootStartedMicros < 2 * type.bootMicros();
    }

    /** Returns whether the machine sends heartbeats, but none has confirmed this leader's fencing token yet. */
    private boolean isUnreconciled(Machine machine, long nowMicros) {
        return !machine.isReconciled
                && machine.lastHeartbeatMicros >= 0
                && machine.capacity() != null
                && !machine.deletionRequested
                && machine.isResponsive(nowMicros, settings);
    }

    /**
     * Returns whether jobs of this class could run on any machine if it had enough free capacity.
     *
     * @param failedMachines machines that do not count while they are excluded
     */
    boolean isAnyMachineUsable(EquivalenceClass equivalenceClass, FailedMachines failedMachines, long nowMicros) {
        for (Machine machine : fleet.machines()) {
            if (!failedMachines.isExcluded(machine.name, nowMicros) && isUsable(equivalenceClass, machine, nowMicros)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether jobs of this class could run on the machine if it had enough free capacity. */
    boolean isUsable(EquivalenceClass equivalenceClass, Machine machine, long nowMicros) {
        return machine.capacity() != null
                && !machine.deletionRequested
                && !machine.quarantined
                && isOrWillBeSchedulable(machine, nowMicros)
                && equivalenceClass.allowsMachine(machine)
                && equivalenceClass.taskResources().fitsIn(machine.capacity());
    }

    private boolean isOrWillBeSchedulable(Machine machine, long nowMicros) {
        return machine.isSchedulable(nowMicros, settings) || isBooting(machine, nowMicros) || !machine.isReconciled;
    }
}
