package io.micatide.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the machines that ledgers name in advance of any placement, from the state at the beginning of a batch of
 * ledger writes.
 *
 * <p>Invariant: the usable machines are listed and sorted once per batch rather than once per job. Doing it per job
 * took 0.8 s for a batch of a dozen jobs at 2,800 machines on a quarter of a core.
 */
final class CandidateMachines {
    private static final Comparator<Machine> MOST_FREE_CAPACITY_FIRST = Comparator.comparingLong(
            (Machine machine) -> -machine.freeCapacity().cpus());

    private final Iterable<Machine> machines;
    private final Predicate<Machine> isUsable;
    /** Usable machines in the order in which they were added; null until the first call of {@link #machines}. */
    private List<Machine> usable;

    /**
     * Usable machines by most free capacity; null until more machines are suitable for a job than its ledger may name.
     */
    private List<Machine> byFreeCapacity;

    /**
     * Creates the selection; machines are listed on the first call of {@link #machines}.
     *
     * @param machines all machines, a live view
     * @param isUsable whether a machine may be used now
     */
    CandidateMachines(Iterable<Machine> machines, Predicate<Machine> isUsable) {
        this.machines = machines;
        this.isUsable = isUsable;
    }

    /**
     * Returns the names of machines for a job: all suitable machines, or those with the most free capacity if there are
     * more than {@code limit}.
     *
     * @param isSuitable whether a machine is suitable for the job
     * @param isInLedger whether the job's ledger already names a machine; these precede others of the same free
     *     capacity
     * @param limit maximum number of names returned
     */
    List<String> machines(Predicate<Machine> isSuitable, Predicate<Machine> isInLedger, int limit) {
        List<Machine> suitable = suitable(usable(), isSuitable, limit + 1);
        if (suitable.size() <= limit) {
            return names(suitable);
        }
        return withMostFreeCapacity(isSuitable, isInLedger, limit);
    }

    private List<Machine> usable() {
        if (usable == null) {
            usable = new ArrayList<>();
            for (Machine machine : machines) {
                if (isUsable.test(machine)) {
                    usable.add(machine);
                }
            }
        }
        return usable;
    }

    private static List<Machine> suitable(List<Machine> machines, Predicate<Machine> isSuitable, int limit) {
        List<Machine> result = new ArrayList<>();
        for (Machine machine : machines) {
            if (result.size() == limit) {
                break;
            }
            if (isSuitable.test(machine)) {
                result.add(machine);
            }
        }
        return result;
    }

    private List<String> withMostFreeCapacity(Predicate<Machine> isSuitable, Predicate<Machine> isInLedger, int limit) {
        if (byFreeCapacity == null) {
            byFreeCapacity = new ArrayList<>(usable());
            byFreeCapacity.sort(MOST_FREE_CAPACITY_FIRST);
        }
        List<Machine> chosen = new ArrayList<>();
        for (int from = 0; from < byFreeCapacity.size() && chosen.size() < limit; ) {
            int to = endOfEqualFreeCapacity(from);
            List<Machine> equal = suitable(byFreeCapacity.subList(from, to), isSuitable, to - from);
            addMatching(equal, isInLedger, chosen);
            addMatching(equal, isInLedger.negate(), chosen);
            from = to;
        }
        return names(chosen.subList(0, Math.min(limit, chosen.size())));
    }

    private static void addMatching(List<Machine> machines, Predicate<Machine> condition, List<Machine> to) {
        for (Machine machine : machines) {
            if (condition.test(machine)) {
                to.add(machine);
            }
        }
    }

    /**
     * Returns the exclusive end of the range of machines that have as much free capacity as the one at {@code from}.
     */
    private int endOfEqualFreeCapacity(int from) {
        long freeCpus = byFreeCapacity.get(from).freeCapacity().cpus();
        int to = from + 1;
        while (to < byFreeCapacity.size()
                && byFreeCapacity.get(to).freeCapacity().cpus() == freeCpus) {
            to++;
        }
        return to;
    }

    private static List<String> names(List<Machine> machines) {
        List<String> names = new ArrayList<>(machines.size());
        for (Machine machine : machines) {
            names.add(machine.name);
        }
        return names;
    }
}
