package io.micatide.scheduler;

import io.micatide.model.ListedMachine;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reconciles the fleet with the responses of the cloud, whose list of machines lags behind its real state.
 *
 * <p>Invariant: a machine whose deletion is confirmed is not added again by an older list, and a machine that is missing in a list is regarded as
 * deleted only if the list is newer than the state of the machine that the leader knows.
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
     * Records the machines that the cloud returned for a provisioning request and adds them to the fleet.
     *
     * @param name name of the request; an unknown request is ignored
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
     * Applies a complete list of machines. Unexpected machines are used, or deleted when they become idle.
     *
     * @param requestSentMicros time at which the list was requested
     */
    void machinesListed(List<ListedMachine> machines, long requestSentMicros, long nowMicros) {
        Set<String> names = new HashSet<>();
        for (ListedMachine listed : machines) {
            names.add(listed.name());
            if (!fleet.isDeleted(listed.name())) {
                machineListed(listed, nowMicros);
            }
        }
        for (Machine machine : fleet.machines()) {
            if (!names.contains(machine.name) && isCertainlyDeleted(machine, requestSentMicros, nowMicros)) {
                machine.deletionRequested = true;
            }
        }
        requests.resolveUnknownRequests(requestSentMicros);
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

    /** Returns whether a machine that is missing in the list is certainly deleted. */
    private boolean isCertainlyDeleted(Machine machine, long requestSentMicros, long nowMicros) {
        boolean isSilent = machine.lastHeartbeatMicros >= 0
                && nowMicros - machine.lastHeartbeatMicros > settings.workerLeaseExpiryMicros();
        return (machine.wasListedByCloud && isSilent) || wasNeverSeen(machine, requestSentMicros);
    }

    /** Returns whether a machine that only a ledger names sent no heartbeat and is missing in a list requested well after it became known. */
    private boolean wasNeverSeen(Machine machine, long requestSentMicros) {
        return machine.lastHeartbeatMicros < 0
                && machine.bootStartedMicros < 0
                && requestSentMicros - machine.knownSinceMicros > 2 * settings.listLagMicros() + 5 * Micros.SECOND;
    }
}
