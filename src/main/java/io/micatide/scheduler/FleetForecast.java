package io.micatide.scheduler;

import io.micatide.model.MachineType;
import io.micatide.model.Resources;
import io.micatide.model.Settings;

/**
 * The machines that the fleet has or is about to have, for decisions to scale out or in. Invariant: what is expected counts
 * nothing that tasks can be placed on already, and no machine that is about to be deleted.
 */
final class FleetForecast {
    /** Free capacity that is on its way, by the kind of machine. */
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

    /** Free capacity of machines that are requested, booting, or have not confirmed the leader yet. */
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

    /** Whether the machine boots and is not so late that it may never come up. */
    private boolean isBooting(Machine machine, long nowMicros) {
        if (machine.deletionRequested || machine.lastHeartbeatMicros >= 0 || machine.capacity() == null) {
            return false;
        }
        MachineType type = fleet.machineTypes().get(machine.type);
        return machine.bootStartedMicros >= 0 && nowMicros - machine.bootStartedMicros < 2 * type.bootMicros();
    }

    /** Whether the machine sends heartbeats and has not confirmed this leader's fencing token yet. */
    private boolean isUnreconciled(Machine machine, long nowMicros) {
        return !machine.isReconciled
                && machine.lastHeartbeatMicros >= 0
                && machine.capacity() != null
                && !machine.deletionRequested
                && machine.isResponsive(nowMicros, settings);
    }

    /** Whether jobs of this class could ever run on some machine, full as it may be now. */
    boolean isAnyUsable(EquivalenceClass equivalenceClass, long nowMicros) {
        for (Machine machine : fleet.machines()) {
            if (isUsable(equivalenceClass, machine, nowMicros)) {
                return true;
            }
        }
        return false;
    }

    /** Whether jobs of this class could ever run on the machine, full as it may be now. */
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
