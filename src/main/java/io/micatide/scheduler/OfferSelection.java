package io.micatide.scheduler;

import io.micatide.model.MachineType;
import java.math.RoundingMode;
import java.util.HashMap;
import java.util.Map;

/**
 * Chooses among the cloud's offers and requests machines. Invariant: at most one request is in flight for an offer, and no offer is requested
 * that the cloud has recently refused.
 */
final class OfferSelection {
    /** The cloud's own limit. With calls for ten machines, renting a fleet of hundreds took 20 s, which delayed the boots by as much. */
    private static final int MAX_MACHINES_PER_CALL = 50;
    /** Share that each machine in a zone adds to the prices compared for that zone, so that the fleet spreads over zones. */
    private static final double PRICE_SHARE_PER_MACHINE_IN_ZONE = 0.001;

    private final Fleet fleet;
    private final ProvisioningRequests requests;

    /** An offer with its price per task and the number of tasks that fit into one machine. */
    private record PricedOffer(ProvisioningRequests.Offer offer, double pricePerTask, long tasksPerMachine) {}

    OfferSelection(Fleet fleet, ProvisioningRequests requests) {
        this.fleet = fleet;
        this.requests = requests;
    }

    /**
     * Requests machines of the cheapest suitable offer, or nothing if no offer is suitable.
     *
     * @param equivalenceClass of the tasks that the machines are for
     * @param tasks number of tasks
     * @param rounding {@link RoundingMode#UP} if the machines have to hold all of the tasks, {@link RoundingMode#DOWN} if the last machine should
     *     not be partly empty; at least one machine is requested in either case
     */
    void requestMachines(EquivalenceClass equivalenceClass, int tasks, RoundingMode rounding, long nowMicros) {
        PricedOffer cheapest = cheapestOffer(equivalenceClass, tasks, nowMicros);
        if (cheapest != null) {
            long perMachine = cheapest.tasksPerMachine();
            long machines = rounding == RoundingMode.DOWN ? tasks / perMachine : (tasks + perMachine - 1) / perMachine;
            int count = (int) Math.max(1, Math.min(MAX_MACHINES_PER_CALL, machines));
            requests.create(cheapest.offer(), count, nowMicros);
        }
    }

    private PricedOffer cheapestOffer(EquivalenceClass equivalenceClass, int tasks, long nowMicros) {
        Map<String, Integer> machinesPerZone = machinesPerZone();
        PricedOffer cheapest = null;
        for (MachineType type : fleet.machineTypes().values()) {
            long tasksPerMachine = Math.min(
                    equivalenceClass.taskResources().timesFittingIn(type.resources()),
                    HeartbeatSpace.usualTasksPerMachine());
            if (tasksPerMachine == 0) {
                continue;
            }
            for (String zone : type.zones()) {
                double zoneFactor = 1 + PRICE_SHARE_PER_MACHINE_IN_ZONE * machinesPerZone.getOrDefault(zone, 0);
                for (boolean spot : new boolean[] {true, false}) {
                    ProvisioningRequests.Offer offer = new ProvisioningRequests.Offer(type.name(), zone, spot);
                    double price = type.priceOf(spot) / Math.min(tasksPerMachine, tasks) * zoneFactor;
                    if (isCheaper(price, cheapest) && isAvailable(offer, equivalenceClass, nowMicros)) {
                        cheapest = new PricedOffer(offer, price, tasksPerMachine);
                    }
                }
            }
        }
        return cheapest;
    }

    private static boolean isCheaper(double price, PricedOffer cheapest) {
        return price < (cheapest == null ? Double.MAX_VALUE : cheapest.pricePerTask());
    }

    private boolean isAvailable(ProvisioningRequests.Offer offer, EquivalenceClass equivalenceClass, long nowMicros) {
        return equivalenceClass.allowsMachine(offer.type(), offer.zone(), offer.spot())
                && !requests.isBackedOff(offer, nowMicros)
                && requests.expectedMachines(offer) == 0;
    }

    private Map<String, Integer> machinesPerZone() {
        Map<String, Integer> machinesPerZone = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            machinesPerZone.merge(String.valueOf(machine.zone()), 1, Integer::sum);
        }
        return machinesPerZone;
    }
}
