package io.micatide.scheduler;

import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import java.util.List;

/**
 * Scales the fleet out and in: plans every half second which machines to request and to delete, and tells the calls to the
 * cloud that are due. Invariant: a new leader decides nothing about capacity before it can have heard from the workers.
 */
final class Autoscaler {
    private static final long PLAN_INTERVAL_MICROS = 500 * Micros.MILLISECOND;
    /** Before any time that a leader can see, and far enough from the end of the range to be subtracted. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final Fleet fleet;
    private final ProvisioningRequests requests;
    private final DeadMachineDetector deadMachines;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;
    private final CloudCallPacer calls;
    private final CloudReconciliation reconciliation;
    private long plannedMicros = NEVER_MICROS;
    private boolean isFirstTerm;

    Autoscaler(
            Settings settings,
            Tuning tuning,
            Fleet fleet,
            ProvisioningRequests requests,
            PlacementPlanner planner,
            MachineDeletions deletions) {
        this.settings = settings;
        this.fleet = fleet;
        this.requests = requests;
        FleetForecast forecast = new FleetForecast(settings, fleet, requests);
        this.deadMachines = new DeadMachineDetector(settings, fleet);
        this.scaleOut = new ScaleOut(settings, planner, forecast, new OfferSelection(fleet, requests));
        this.scaleIn = new ScaleIn(tuning, fleet, planner, forecast);
        this.calls = new CloudCallPacer(settings, fleet, requests, deletions);
        this.reconciliation = new CloudReconciliation(settings, fleet, requests);
    }

    /** No leader before this one has placed anything. */
    void noteFirstTerm() {
        isFirstTerm = true;
    }

    /** Decides which machines are dead, missing or no longer needed, if the last time was long enough ago. */
    void plan(long nowMicros, long termStartMicros) {
        if (nowMicros - plannedMicros < PLAN_INTERVAL_MICROS
                || fleet.machineTypes().isEmpty()) {
            return;
        }
        plannedMicros = nowMicros;
        deadMachines.markDeadMachines(nowMicros, termStartMicros);
        if (nowMicros - termStartMicros <= firstHeartbeatsMicros()) {
            return;
        }
        if (scaleOut.requestMissing(nowMicros)) {
            scaleIn.deleteUnusable(nowMicros);
        } else {
            scaleIn.deleteUnneeded(nowMicros);
        }
    }

    /**
     * Within what time of a term all workers have been heard from: what waits may be running until then. Where no ledger was
     * found nothing does.
     */
    private long firstHeartbeatsMicros() {
        return isFirstTerm
                ? 5 * settings.heartbeatIntervalMicros() / 4
                : 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
    }

    /** The calls that are due; they count as made. */
    List<CloudCall> nextCalls(long nowMicros) {
        return calls.nextCalls(nowMicros);
    }

    /** A request was answered with machines, which may be fewer than requested. */
    void machinesRented(String name, List<String> machines, long nowMicros) {
        reconciliation.machinesRented(name, machines, nowMicros);
    }

    /** A request was answered: the cloud has no such machines now. */
    void noCapacity(String name, long nowMicros) {
        ProvisioningRequests.Request request = requests.requests.get(name);
        if (request != null) {
            requests.recordNoCapacity(request, nowMicros);
        }
    }

    /** A request was not answered: it may have been executed or not. */
    void requestUnanswered(String name, long nowMicros) {
        ProvisioningRequests.Request request = requests.requests.get(name);
        if (request != null) {
            requests.outcomeUnknown(request, nowMicros);
        }
    }

    /** A request was certainly not executed and may be sent again under its name. */
    void requestNotExecuted(String name) {
        ProvisioningRequests.Request request = requests.requests.get(name);
        if (request != null) {
            request.state = ProvisioningRequests.State.CLAIMED;
        }
    }

    /**
     * The call for the list of machines has ended.
     *
     * @param machines the whole list, or null after a failed call
     * @param askedMicros when the list was asked for
     */
    void machinesListed(List<ListedMachine> machines, long askedMicros, long nowMicros) {
        calls.listEnded();
        if (machines != null) {
            reconciliation.machinesListed(machines, askedMicros, nowMicros);
        }
    }
}
