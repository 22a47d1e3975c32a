package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Index of the machines that have capacity for a task. It is updated by the events that change capacity, which avoids a
 * scan over all machines for each request.
 *
 * <p>Invariant: after {@link #machinesWithCapacity} has applied the pending changes, its result holds exactly the
 * machines whose free capacity, plus the capacity that the source of the request adds, fits one task. The index does
 * not know whether a machine may be used now or is feasible for the job; the caller checks the returned machines.
 * Preemptible capacity is an upper bound: a caller that preempts work still selects victims one by one.
 *
 * <p>A request is tracked from the first time it is made, at the cost of one scan, and dropped when it has not been
 * made for {@link #UNUSED_REQUEST_EXPIRY_MICROS}.
 */
final class FreeCapacityIndex {
    /** Above this number the least recently made request is dropped; making it again costs another scan. */
    private static final int MAX_TRACKED_REQUESTS = 128;

    private static final int MIN_SLOTS = 64;
    private static final long UNUSED_REQUEST_EXPIRY_MICROS = 60 * Micros.SECOND;

    private final Collection<Machine> machines;
    private final Map<CapacityRequest, MatchingMachines> trackedRequests = new HashMap<>();
    private final Set<Machine> changedMachines = new LinkedHashSet<>();
    /** Machines in the order in which they were added; null where a machine was removed. */
    private Machine[] slots = new Machine[MIN_SLOTS];

    private int nextSlot;
    private long machinesExamined;

    /** The slots of the machines that have capacity for a request. */
    private static final class MatchingMachines {
        final BitSet slots = new BitSet();
        long lastRequestedMicros;
    }

    /** @param machines the known machines, a live view */
    FreeCapacityIndex(Collection<Machine> machines) {
        this.machines = machines;
    }

    /** Adds a machine, after all known machines. */
    void machineAdded(Machine machine) {
        if (nextSlot == slots.length) {
            compactSlots();
        }
        machine.indexSlot = nextSlot;
        slots[nextSlot++] = machine;
        changedMachines.add(machine);
    }

    /**
     * Closes the gaps left by removed machines before the array grows, since machines are added and removed
     * continuously. Slots change, so all tracked requests are dropped.
     */
    private void compactSlots() {
        Machine[] previousSlots = slots;
        int end = nextSlot;
        slots = new Machine[Math.max(MIN_SLOTS, 2 * machines.size())];
        nextSlot = 0;
        for (int i = 0; i < end; i++) {
            if (previousSlots[i] != null) {
                previousSlots[i].indexSlot = nextSlot;
                slots[nextSlot++] = previousSlots[i];
            }
        }
        trackedRequests.clear();
    }

    /**
     * Marks a machine for re-examination after a change that affects its capacity: a placement, a stop, its size or the
     * priority of a job.
     */
    void machineChanged(Machine machine) {
        changedMachines.add(machine);
    }

    /** Removes a machine. */
    void machineRemoved(Machine machine) {
        changedMachines.remove(machine);
        slots[machine.indexSlot] = null;
        for (MatchingMachines matching : trackedRequests.values()) {
            matching.slots.clear(machine.indexSlot);
        }
    }

    /**
     * Returns the machines with capacity for one task.
     *
     * @param request the requested capacity
     * @param nowMicros current time on the steady clock
     * @return machines in the order in which they were added; a copy, so that the caller may place tasks while
     *     iterating
     */
    List<Machine> machinesWithCapacity(CapacityRequest request, long nowMicros) {
        refresh();

        MatchingMachines matching = trackedRequests.get(request);
        if (matching == null) {
            matching = startTracking(request, nowMicros);
        }
        matching.lastRequestedMicros = nowMicros;
        assert isExact(request, matching) : request + " differs from a scan over all machines";
        return machinesOf(matching);
    }

    private List<Machine> machinesOf(MatchingMachines matching) {
        List<Machine> result = new ArrayList<>(matching.slots.cardinality());
        for (int slot = matching.slots.nextSetBit(0); slot >= 0; slot = matching.slots.nextSetBit(slot + 1)) {
            result.add(slots[slot]);
        }
        return result;
    }

    /** Returns the number of machines examined in this term to maintain the index. */
    long machinesExamined() {
        return machinesExamined;
    }

    private MatchingMachines startTracking(CapacityRequest request, long nowMicros) {
        trackedRequests
                .values()
                .removeIf(matching -> nowMicros - matching.lastRequestedMicros > UNUSED_REQUEST_EXPIRY_MICROS);
        if (trackedRequests.size() >= MAX_TRACKED_REQUESTS) {
            evictLeastRecentlyRequested();
        }

        MatchingMachines matching = new MatchingMachines();
        for (Machine machine : machines) {
            machinesExamined++;
            if (fits(request, machine)) {
                matching.slots.set(machine.indexSlot);
            }
        }
        trackedRequests.put(request, matching);
        return matching;
    }

    private void evictLeastRecentlyRequested() {
        CapacityRequest oldest = null;
        long oldestMicros = Long.MAX_VALUE;
        for (Map.Entry<CapacityRequest, MatchingMachines> entry : trackedRequests.entrySet()) {
            if (entry.getValue().lastRequestedMicros < oldestMicros) {
                oldest = entry.getKey();
                oldestMicros = entry.getValue().lastRequestedMicros;
            }
        }
        trackedRequests.remove(oldest);
    }

    /** Applies the changes of machines since the last call. */
    private void refresh() {
        for (Iterator<Machine> changed = changedMachines.iterator(); changed.hasNext(); ) {
            refresh(changed.next());
            changed.remove();
        }
    }

    private void refresh(Machine machine) {
        machinesExamined++;
        Map<CapacityRequest.Source, Map<Priority, Resources>> availableBySource =
                new EnumMap<>(CapacityRequest.Source.class);
        trackedRequests.forEach((request, matching) -> {
            Resources capacity = availableBySource
                    .computeIfAbsent(request.source(), key -> new EnumMap<>(Priority.class))
                    .computeIfAbsent(
                            request.priority(), priority -> availableCapacity(machine, request.source(), priority));
            matching.slots.set(
                    machine.indexSlot,
                    machine.capacity() != null && request.taskResources().fitsIn(capacity));
        });
    }

    private static boolean fits(CapacityRequest request, Machine machine) {
        return machine.capacity() != null
                && request.taskResources().fitsIn(availableCapacity(machine, request.source(), request.priority()));
    }

    private static Resources availableCapacity(Machine machine, CapacityRequest.Source source, Priority priority) {
        Resources available = machine.freeCapacity();
        if (source == CapacityRequest.Source.FREE) {
            return available;
        }
        for (Placement placement : machine.placements) {
            if (countsAsAvailable(placement, source, priority)) {
                available = available.plus(placement.job.spec.taskResources());
            }
        }
        return available;
    }

    private static boolean countsAsAvailable(Placement placement, CapacityRequest.Source source, Priority priority) {
        JobSpec spec = placement.job.spec;
        boolean isLower = priority.isAbove(placement.job.priority());
        if (source == CapacityRequest.Source.CHECKPOINTABLE) {
            return isLower && !placement.isStopping() && spec.kind() != JobKind.SERVICE;
        }
        if (placement.isStopping()) {
            return placement.stopGraceMicros == 0;
        }
        if (spec.kind() == JobKind.GANG || spec.checkpointIntervalMicros() > 0) {
            return false;
        }
        return isLower
                || (source == CapacityRequest.Source.SAME_PRIORITY
                        && spec.kind() == JobKind.ARRAY
                        && placement.job.priority() == priority);
    }

    private boolean isExact(CapacityRequest request, MatchingMachines matching) {
        List<Machine> expected = new ArrayList<>();
        for (Machine machine : machines) {
            if (fits(request, machine)) {
                expected.add(machine);
            }
        }
        return expected.equals(machinesOf(matching));
    }
}
