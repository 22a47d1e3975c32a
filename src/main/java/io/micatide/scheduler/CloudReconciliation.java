package io.micatide.scheduler;

import io.micatide.model.ListedMachine;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Brings the fleet in line with what the cloud answers. The cloud's list lags behind. Invariant: a machine whose deletion was
 * answered does not come back by an older list, and one that is missing in a list is taken for gone only if the list is
 * newer than what is known of it.
 */
final class CloudReconciliation {
    private final Settings settings;
    private final Fleet fleet;
    private final ProvisioningRequests requests;

    CloudReconciliation(Settings settings, Fleet fleet, ProvisioningRequests requests) {
        this.settings = settings;
        this.fleet = fleet;
        this.requests = requests;
    }

    /**
     * A request was answered with machines.
     *
     * @param name of the request; nothing is done for one that is not known
     * @param machines names of the machines, which may be fewer than requested
     */
    void machinesRented(String name, List<String> machines, long nowMicros) {
        ProvisioningRequests.Request request = requests.requests.get(name);
        if (request == null) {
            return;
        }
        requests.recordAnswer(request, machines.size(), nowMicros);
        for (String machineName : machines) {
            if (!fleet.isDeleted(machineName)) {
                Machine machine = fleet.getOrAdd(machineName, nowMicros);
                if (machine.type == null) {
                    fleet.updateTypeAndZone(machine, request.type, request.zone, request.spot);
                }
                machine.bootStartedMicros = nowMicros;
            }
        }
    }

    /**
     * A whole list of machines. Machines that nobody expected are used, or deleted when idle.
     *
     * @param requestedMicros when the list was asked for
     */
    void machinesListed(List<ListedMachine> machines, long requestedMicros, long nowMicros) {
        Set<String> names = new HashSet<>();
        for (ListedMachine listed : machines) {
            names.add(listed.name());
            if (!fleet.isDeleted(listed.name())) {
                machineListed(listed, nowMicros);
            }
        }
        for (Machine machine : fleet.machines()) {
            if (!names.contains(machine.name) && isCertainlyDeleted(machine, requestedMicros, nowMicros)) {
                machine.deletionRequested = true;
            }
        }
        requests.settleUnknownRequests(requestedMicros);
    }

    private void machineListed(ListedMachine listed, long nowMicros) {
        Machine machine = fleet.getOrAdd(listed.name(), nowMicros);
        machine.wasListedByCloud = true;
        if (machine.type == null) {
            fleet.updateTypeAndZone(machine, listed.type(), listed.zone(), listed.spot());
        }
        boolean hasKnownBootStart = machine.bootStartedMicros >= 0 || machine.lastHeartbeatMicros >= 0;
        if (!hasKnownBootStart && listed.state() == ListedMachine.State.BOOTING) {
            machine.bootStartedMicros = nowMicros - listed.ageMicros();
        }
        if (listed.state() == ListedMachine.State.FAILED) {
            machine.deletionRequested = true;
        }
    }

    /** Whether a machine that is not in the list is certainly gone. */
    private boolean isCertainlyDeleted(Machine machine, long requestedMicros, long nowMicros) {
        boolean isSilent = machine.lastHeartbeatMicros >= 0
                && nowMicros - machine.lastHeartbeatMicros > settings.workerLeaseExpiryMicros();
        return (machine.wasListedByCloud && isSilent) || wasNeverSeen(machine, requestedMicros);
    }

    /** A ledger names it, nobody has heard of it, and a list from well after the term began does not have it. */
    private boolean wasNeverSeen(Machine machine, long requestedMicros) {
        return machine.lastHeartbeatMicros < 0
                && machine.bootStartedMicros < 0
                && requestedMicros - machine.knownSinceMicros > 2 * settings.listLagMicros() + 5 * Micros.SECOND;
    }
}
