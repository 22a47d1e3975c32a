package io.micatide.scheduler;

import io.micatide.model.CloudCall;
import io.micatide.model.ListedMachine;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import java.util.List;

/**
 * Scales the fleet out and in: plans every half second which machines to request and to delete, and returns the calls to the cloud that are due.
 *
 * <p>Invariant: a new leader neither scales out nor in before the workers had time to send their first heartbeats of the term.
 */
final class Autoscaler {
    private static final long PLAN_INTERVAL_MICROS = 500 * Micros.MILLISECOND;
    /** A time before every time that a leader can observe; subtracting it from such a time does not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final Fleet fleet;
    private final ProvisioningRequests requests;
    private final DeadMachineDetector deadMachines;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;
    private final CloudCallScheduler cloudCalls;
    private final CloudReconciliation reconciliation;
    private long lastPlanMicros = NEVER_MICROS;
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
        this.cloudCalls = new CloudCallScheduler(settings, fleet, requests, deletions);
        this.reconciliation = new CloudReconciliation(settings, fleet, requests);
    }

    /** Marks the term as the first one: no previous leader has placed anything. */
    void markFirstTerm() {
        isFirstTerm = true;
    }

    /** Decides which machines are dead, missing or no longer needed, if the plan interval has passed since the last time. */
    void plan(long nowMicros, long termStartMicros) {
        if (nowMicros - lastPlanMicros < PLAN_INTERVAL_MICROS
                || fleet.machineTypes().isEmpty()) {
            return;
        }
        lastPlanMicros = nowMicros;
        deadMachines.markDeadMachines(nowMicros, termStartMicros);
        if (nowMicros - termStartMicros <= firstHeartbeatWindowMicros()) {
            return;
        }
        if (scaleOut.requestMissingCapacity(nowMicros)) {
            scaleIn.deleteUnusable(nowMicros);
        } else {
            scaleIn.deleteUnneeded(nowMicros);
        }
    }

    /**
     * Returns the time from the start of the term within which all workers send a heartbeat. Until then, tasks that seem to wait may be running.
     * The time is shorter in the first term, since no task is running if no ledger was found.
     */
    private long firstHeartbeatWindowMicros() {
        return isFirstTerm
                ? 5 * settings.heartbeatIntervalMicros() / 4
                : 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
    }

    /** Returns the calls that are due, and marks them as sent. */
    List<CloudCall> nextCalls(long nowMicros) {
        return cloudCalls.nextCalls(nowMicros);
    }

    /** Applies the answer to a request: machines, which may be fewer than requested. */
    void machinesRented(String name, List<String> machines, long nowMicros) {
        reconciliation.machinesRented(name, machines, nowMicros);
    }

    /** Applies the answer to a request that the cloud has no machines of its offer now. */
    void noCapacity(String name, long nowMicros) {
        ProvisioningRequests.Request request = requests.requests.get(name);
        if (request != null) {
            requests.recordNoCapacity(request, nowMicros);
        }
    }

    /** Marks a request that was not answered: it may or may not have been executed. */
    void requestUnanswered(String name, long nowMicros) {
        ProvisioningRequests.Request request = requests.requests.get(name);
        if (request != null) {
            requests.markOutcomeUnknown(request, nowMicros);
        }
    }

    /** Marks a request that was certainly not executed, so that it is sent again under the same name. */
    void requestNotExecuted(String name) {
        ProvisioningRequests.Request request = requests.requests.get(name);
        if (request != null) {
            request.state = ProvisioningRequests.State.CLAIMED;
        }
    }

    /**
     * Applies the end of the call for the list of machines.
     *
     * @param machines the whole list, or null after a failed call
     * @param requestSentMicros time at which the list was requested
     */
    void machinesListed(List<ListedMachine> machines, long requestSentMicros, long nowMicros) {
        cloudCalls.listEnded();
        if (machines != null) {
            reconciliation.machinesListed(machines, requestSentMicros, nowMicros);
        }
    }
}
