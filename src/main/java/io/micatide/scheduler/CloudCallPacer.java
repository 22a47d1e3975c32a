package io.micatide.scheduler;

import io.micatide.model.CloudCall;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Which calls to the cloud are due. Invariant: at most one list of machines is under way, a deletion is asked for again only
 * after a pause, and a request goes out only after its row is confirmed.
 */
final class CloudCallPacer {
    private static final long DELETION_RETRY_MICROS = 3 * Micros.SECOND;
    private static final long LIST_TYPES_INTERVAL_MICROS = 60 * Micros.SECOND;
    /** As long as no machine type is known, nothing can be placed. */
    private static final long LIST_UNKNOWN_TYPES_INTERVAL_MICROS = 2 * Micros.SECOND;
    /** Before any time that a leader can see, and far enough from the end of the range to be subtracted. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final Fleet fleet;
    private final ProvisioningRequests requests;
    private final MachineDeletions deletions;
    private long machinesListedMicros = NEVER_MICROS;
    private boolean isListUnderWay;
    private long typesListedMicros = NEVER_MICROS;

    CloudCallPacer(Settings settings, Fleet fleet, ProvisioningRequests requests, MachineDeletions deletions) {
        this.settings = settings;
        this.fleet = fleet;
        this.requests = requests;
        this.deletions = deletions;
    }

    /** The calls that are due; they count as made. */
    List<CloudCall> nextCalls(long nowMicros) {
        List<CloudCall> calls = new ArrayList<>();
        for (ProvisioningRequests.Request request : requests.requestsToSubmit()) {
            request.sinceMicros = nowMicros;
            calls.add(new CloudCall.RequestMachines(
                    request.name, request.type, request.zone, request.spot, request.count));
        }
        List<String> machinesToDelete = nextDeletions(nowMicros);
        if (!machinesToDelete.isEmpty()) {
            calls.add(new CloudCall.DeleteMachines(machinesToDelete));
        }
        if (!isListUnderWay && nowMicros - machinesListedMicros > settings.listLagMicros() / 2) {
            machinesListedMicros = nowMicros;
            isListUnderWay = true;
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

    /** The list of machines was answered, or has failed. */
    void listEnded() {
        isListUnderWay = false;
    }
}
