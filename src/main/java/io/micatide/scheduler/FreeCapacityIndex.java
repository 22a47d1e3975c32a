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
 * Which machines have room for a task, kept by the events that change it instead of by a walk over all machines.
 *
 * <p>Invariant: after {@link #machinesWithCapacity} has taken in what changed, the answer holds exactly the machines whose free room, with what the demand
 * counts beside it, takes one such task. Whether a machine may be used now and suits the job is not known here; the caller asks the few
 * that are left. What could be freed is an upper bound: a caller that displaces work still chooses victims one by one.
 *
 * <p>A demand is tracked from its first question on, with one walk, and forgotten when nobody has asked for it for a while.
 */
final class FreeCapacityIndex {
    /** Demands that are tracked at most; with more kinds of tasks the one that was asked for longest ago is walked for anew. */
    private static final int MAX_TRACKED_REQUESTS = 128;

    private static final int MIN_SLOTS = 64;
    private static final long UNUSED_REQUEST_EXPIRY_MICROS = 60 * Micros.SECOND;

    private final Collection<Machine> machines;
    private final Map<CapacityRequest, MatchingMachines> trackedRequests = new HashMap<>();
    private final Set<Machine> machineChanged = new LinkedHashSet<>();
    /** Machines in the order in which they became known; null where one is gone. */
    private Machine[] slots = new Machine[MIN_SLOTS];

    private int nextSlot;
    private long machinesExamined;

    /** The slots of machines that fit a demand. */
    private static final class MatchingMachines {
        final BitSet slotsOfMatches = new BitSet();
        long lastRequestedMicros;
    }

    /** @param all the machines that are known, a live view */
    FreeCapacityIndex(Collection<Machine> all) {
        this.machines = all;
    }

    /** A machine has become known, after all others that are. */
    void machineAdded(Machine machine) {
        if (nextSlot == slots.length) {
            compactSlots();
        }
        machine.indexSlot = nextSlot;
        slots[nextSlot++] = machine;
        machineChanged.add(machine);
    }

    /** Machines come and go all the time: slots that are free are closed up before there are more. */
    private void compactSlots() {
        Machine[] former = slots;
        int end = nextSlot;
        slots = new Machine[Math.max(MIN_SLOTS, 2 * machines.size())];
        nextSlot = 0;
        for (int i = 0; i < end; i++) {
            if (former[i] != null) {
                former[i].indexSlot = nextSlot;
                slots[nextSlot++] = former[i];
            }
        }
        trackedRequests.clear();
    }

    /** Something on the machine that counts as room has changed: a placement, a stop, its size or a job's priority. */
    void machineChanged(Machine machine) {
        machineChanged.add(machine);
    }

    void machineRemoved(Machine machine) {
        machineChanged.remove(machine);
        slots[machine.indexSlot] = null;
        for (MatchingMachines each : trackedRequests.values()) {
            each.slotsOfMatches.clear(machine.indexSlot);
        }
    }

    /** Machines with room for one task, in the order in which they became known; a copy, so that placing may go on. */
    List<Machine> machinesWithCapacity(CapacityRequest demand, long nowMicros) {
        refresh();
        MatchingMachines tracked = trackedRequests.get(demand);
        if (tracked == null) {
            tracked = startTracking(demand, nowMicros);
        }
        tracked.lastRequestedMicros = nowMicros;
        assert isExact(demand, tracked) : demand + " differs from a walk over all machines";
        return machinesWithCapacity(tracked);
    }

    private List<Machine> machinesWithCapacity(MatchingMachines tracked) {
        List<Machine> machines = new ArrayList<>(tracked.slotsOfMatches.cardinality());
        for (int slot = tracked.slotsOfMatches.nextSetBit(0);
                slot >= 0;
                slot = tracked.slotsOfMatches.nextSetBit(slot + 1)) {
            machines.add(slots[slot]);
        }
        return machines;
    }

    /** How many machines were looked at, to keep the index and in its answers. */
    long machinesExamined() {
        return machinesExamined;
    }

    private MatchingMachines startTracking(CapacityRequest demand, long nowMicros) {
        trackedRequests.values().removeIf(each -> nowMicros - each.lastRequestedMicros > UNUSED_REQUEST_EXPIRY_MICROS);
        if (trackedRequests.size() >= MAX_TRACKED_REQUESTS) {
            forgetOldest();
        }
        MatchingMachines tracked = new MatchingMachines();
        for (Machine machine : machines) {
            machinesExamined++;
            if (fits(demand, machine)) {
                tracked.slotsOfMatches.set(machine.indexSlot);
            }
        }
        trackedRequests.put(demand, tracked);
        return tracked;
    }

    private void forgetOldest() {
        CapacityRequest oldest = null;
        for (Map.Entry<CapacityRequest, MatchingMachines> entry : trackedRequests.entrySet()) {
            if (oldest == null
                    || entry.getValue().lastRequestedMicros < trackedRequests.get(oldest).lastRequestedMicros) {
                oldest = entry.getKey();
            }
        }
        trackedRequests.remove(oldest);
    }

    private void refresh() {
        for (Iterator<Machine> machines = machineChanged.iterator(); machines.hasNext(); ) {
            refresh(machines.next());
            machines.remove();
        }
    }

    private void refresh(Machine machine) {
        machinesExamined++;
        Map<CapacityRequest.Source, Map<Priority, Resources>> rooms = new EnumMap<>(CapacityRequest.Source.class);
        trackedRequests.forEach((demand, tracked) -> {
            Resources room = rooms.computeIfAbsent(demand.source(), k -> new EnumMap<>(Priority.class))
                    .computeIfAbsent(
                            demand.priority(), priority -> availableCapacity(machine, demand.source(), priority));
            tracked.slotsOfMatches.set(
                    machine.indexSlot,
                    machine.capacity() != null && demand.taskResources().fitsIn(room));
        });
    }

    private static boolean fits(CapacityRequest demand, Machine machine) {
        return machine.capacity() != null
                && demand.taskResources().fitsIn(availableCapacity(machine, demand.source(), demand.priority()));
    }

    private static Resources availableCapacity(Machine machine, CapacityRequest.Source source, Priority priority) {
        Resources room = machine.freeCapacity();
        if (source == CapacityRequest.Source.FREE) {
            return room;
        }
        for (Placement placement : machine.placements) {
            if (countsAsAvailable(placement, source, priority)) {
                room = room.plus(placement.job.spec.taskResources());
            }
        }
        return room;
    }

    private static boolean countsAsAvailable(Placement placement, CapacityRequest.Source source, Priority priority) {
        JobSpec spec = placement.job.spec;
        boolean lower = priority.isAbove(placement.job.priority());
        if (source == CapacityRequest.Source.CHECKPOINTABLE) {
            return lower && !placement.isStopping() && spec.kind() != JobKind.SERVICE;
        }
        if (placement.isStopping()) {
            return placement.stopGraceMicros == 0;
        }
        if (spec.kind() == JobKind.GANG || spec.checkpointIntervalMicros() > 0) {
            return false;
        }
        return lower
                || (source == CapacityRequest.Source.SAME_PRIORITY
                        && spec.kind() == JobKind.ARRAY
                        && placement.job.priority() == priority);
    }

    private boolean isExact(CapacityRequest demand, MatchingMachines tracked) {
        List<Machine> walked = new ArrayList<>();
        for (Machine machine : machines) {
            if (fits(demand, machine)) {
                walked.add(machine);
            }
        }
        return walked.equals(machinesWithCapacity(tracked));
    }
}
