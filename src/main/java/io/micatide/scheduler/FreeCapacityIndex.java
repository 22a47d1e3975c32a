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
    private static final int MOST_DEMANDS = 128;

    private static final int FEWEST_SLOTS = 64;
    private static final long FORGOTTEN_MICROS = 60 * Micros.SECOND;

    private final Collection<Machine> all;
    private final Map<CapacityRequest, Tracked> demands = new HashMap<>();
    private final Set<Machine> machineChanged = new LinkedHashSet<>();
    /** Machines in the order in which they became known; null where one is gone. */
    private Machine[] slots = new Machine[FEWEST_SLOTS];

    private int next;
    private long machinesExamined;

    /** The slots of machines that fit a demand. */
    private static final class Tracked {
        final BitSet fitting = new BitSet();
        long askedMicros;
    }

    /** @param all the machines that are known, a live view */
    FreeCapacityIndex(Collection<Machine> all) {
        this.all = all;
    }

    /** A machine has become known, after all others that are. */
    void machineAdded(Machine machine) {
        if (next == slots.length) {
            makeRoom();
        }
        machine.indexSlot = next;
        slots[next++] = machine;
        machineChanged.add(machine);
    }

    /** Machines come and go all the time: slots that are free are closed up before there are more. */
    private void makeRoom() {
        Machine[] former = slots;
        int end = next;
        slots = new Machine[Math.max(FEWEST_SLOTS, 2 * all.size())];
        next = 0;
        for (int i = 0; i < end; i++) {
            if (former[i] != null) {
                former[i].indexSlot = next;
                slots[next++] = former[i];
            }
        }
        demands.clear();
    }

    /** Something on the machine that counts as room has changed: a placement, a stop, its size or a job's priority. */
    void machineChanged(Machine machine) {
        machineChanged.add(machine);
    }

    void machineRemoved(Machine machine) {
        machineChanged.remove(machine);
        slots[machine.indexSlot] = null;
        for (Tracked each : demands.values()) {
            each.fitting.clear(machine.indexSlot);
        }
    }

    /** Machines with room for one task, in the order in which they became known; a copy, so that placing may go on. */
    List<Machine> machinesWithCapacity(CapacityRequest demand, long nowMicros) {
        takeIn();
        Tracked tracked = demands.get(demand);
        if (tracked == null) {
            tracked = track(demand, nowMicros);
        }
        tracked.askedMicros = nowMicros;
        assert isExact(demand, tracked) : demand + " differs from a walk over all machines";
        return machinesWithCapacity(tracked);
    }

    private List<Machine> machinesWithCapacity(Tracked tracked) {
        List<Machine> machines = new ArrayList<>(tracked.fitting.cardinality());
        for (int slot = tracked.fitting.nextSetBit(0); slot >= 0; slot = tracked.fitting.nextSetBit(slot + 1)) {
            machines.add(slots[slot]);
        }
        return machines;
    }

    /** How many machines were looked at, to keep the index and in its answers. */
    long machinesExamined() {
        return machinesExamined;
    }

    private Tracked track(CapacityRequest demand, long nowMicros) {
        demands.values().removeIf(each -> nowMicros - each.askedMicros > FORGOTTEN_MICROS);
        if (demands.size() >= MOST_DEMANDS) {
            forgetOldest();
        }
        Tracked tracked = new Tracked();
        for (Machine machine : all) {
            machinesExamined++;
            if (fits(demand, machine)) {
                tracked.fitting.set(machine.indexSlot);
            }
        }
        demands.put(demand, tracked);
        return tracked;
    }

    private void forgetOldest() {
        CapacityRequest oldest = null;
        for (Map.Entry<CapacityRequest, Tracked> entry : demands.entrySet()) {
            if (oldest == null || entry.getValue().askedMicros < demands.get(oldest).askedMicros) {
                oldest = entry.getKey();
            }
        }
        demands.remove(oldest);
    }

    private void takeIn() {
        for (Iterator<Machine> machines = machineChanged.iterator(); machines.hasNext(); ) {
            takeIn(machines.next());
            machines.remove();
        }
    }

    private void takeIn(Machine machine) {
        machinesExamined++;
        Map<CapacityRequest.Source, Map<Priority, Resources>> rooms = new EnumMap<>(CapacityRequest.Source.class);
        demands.forEach((demand, tracked) -> {
            Resources room = rooms.computeIfAbsent(demand.source(), k -> new EnumMap<>(Priority.class))
                    .computeIfAbsent(demand.priority(), priority -> room(machine, demand.source(), priority));
            tracked.fitting.set(
                    machine.indexSlot,
                    machine.capacity() != null && demand.each().fitsIn(room));
        });
    }

    private static boolean fits(CapacityRequest demand, Machine machine) {
        return machine.capacity() != null && demand.each().fitsIn(room(machine, demand.source(), demand.priority()));
    }

    private static Resources room(Machine machine, CapacityRequest.Source source, Priority priority) {
        Resources room = machine.freeCapacity();
        if (source == CapacityRequest.Source.FREE) {
            return room;
        }
        for (Placement placement : machine.placements) {
            if (counts(placement, source, priority)) {
                room = room.plus(placement.job.spec.taskResources());
            }
        }
        return room;
    }

    private static boolean counts(Placement placement, CapacityRequest.Source source, Priority priority) {
        JobSpec spec = placement.job.spec;
        boolean lower = priority.isAbove(placement.job.priority());
        if (source == CapacityRequest.Source.SAVING) {
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

    private boolean isExact(CapacityRequest demand, Tracked tracked) {
        List<Machine> walked = new ArrayList<>();
        for (Machine machine : all) {
            if (fits(demand, machine)) {
                walked.add(machine);
            }
        }
        return walked.equals(machinesWithCapacity(tracked));
    }
}
