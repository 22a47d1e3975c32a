package io.micatide.scheduler;

import io.micatide.model.CloudCall;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which calls to the cloud are due. Invariant: at most one call for the list of machines is in flight, a deletion is repeated only after
 * a pause, and a provisioning request is sent only after its record is confirmed.
 */
final class CloudCallScheduler {
    private static final long DELETION_RETRY_MICROS = 3 * Micros.SECOND;
    private static final long LIST_TYPES_INTERVAL_MICROS = 60 * Micros.SECOND;
    /** Shorter interval while no machine type is known, since nothing can be placed until then. */
    private static final long LIST_UNKNOWN_TYPES_INTERVAL_MICROS = 2 * Micros.SECOND;
    /** A time before every time that a leader can observe; subtracting it from such a time does not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final Fleet fleet;
    private final ProvisioningRequests requests;
    private final MachineDeletions deletions;
    private long machinesListedMicros = NEVER_MICROS;
    private boolean isListInFlight;
    private long typesListedMicros = NEVER_MICROS;

    CloudCallScheduler(Settings settings, Fleet fleet, ProvisioningRequests requests, MachineDeletions deletions) {
        this.settings = settings;
        this.fleet = fleet;
        this.requests = requests;
        this.deletions = deletions;
    }

    /** Returns the calls that are due, and marks them as sent. */
    List<CloudCall> nextCalls(long nowMicros) {
        List<CloudCall> calls = new ArrayList<>();
        for (ProvisioningRequests.Request request : requests.requestsToSubmit()) {
            request.stateChangedMicros = nowMicros;
            calls.add(new CloudCall.RequestMachines(
                    request.name, request.type, request.zone, request.spot, request.count));
        }
        List<String> machinesToDelete = nextDeletions(nowMicros);
        if (!machinesToDelete.isEmpty()) {
            calls.add(new CloudCall.DeleteMachines(machinesToDelete));
        }
        if (!isListInFlight && nowMicros - machinesListedMicros > settings.listLagMicros() / 2) {
            machinesListedMicros = nowMicros;
            isListInFlight = true;
            calls.add(new CloudCall.ListMachines());
        }
        if (nowMicros - typesListedMicros > listTypesIntervalMicros()) {
            typesListedMicros = nowMicros;
            calls.add(new CloudCall.ListTypes());
        }
        return calls;
    }

    private List<String> nextDeletions(long nowMicros) {
        List<String> names = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.deletionRequested
                    && names.size() < MachineDeletions.MAX_MACHINES_PER_CALL
                    && deletions.mayRequest(machine)
                    && isDeletionDue(machine, nowMicros)) {
                machine.deletionRequestedMicros = nowMicros;
                names.add(machine.name);
            }
        }
        return names;
    }

    private static boolean isDeletionDue(Machine machine, long nowMicros) {
        return machine.deletionRequestedMicros < 0
                || nowMicros - machine.deletionRequestedMicros > DELETION_RETRY_MICROS;
    }

    private long listTypesIntervalMicros() {
        return fleet.machineTypes().isEmpty() ? LIST_UNKNOWN_TYPES_INTERVAL_MICROS : LIST_TYPES_INTERVAL_MICROS;
    }

    /** Marks the call for the list of machines as ended, by an answer or a failure. */
    void listEnded() {
        isListInFlight = false;
    }
}
