package io.micatide.scheduler;

import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All machines that the leader knows, and the machine types that the cloud offers. */
final class Fleet {
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final FreeCapacityIndex freeCapacityIndex = new FreeCapacityIndex(machines.values());
    private Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    /** Times at which deletions of machines were confirmed. No task can be on these machines, even if a lagging list still names them. */
    private final Map<String, Long> deletedMachines = new HashMap<>();

    Collection<Machine> machines() {
        return machines.values();
    }

    /** Returns the machine of this name, or null. */
    Machine get(String name) {
        return machines.get(name);
    }

    Machine getOrAdd(String name, long nowMicros) {
        Machine known = machines.get(name);
        if (known != null) {
            return known;
        }
        Machine machine = new Machine(name, nowMicros, freeCapacityIndex);
        machines.put(name, machine);
        freeCapacityIndex.machineAdded(machine);
        return machine;
    }

    /** Returns the index of the machines by free capacity. */
    FreeCapacityIndex freeCapacityIndex() {
        return freeCapacityIndex;
    }

    boolean isDeleted(String name) {
        return deletedMachines.containsKey(name);
    }

    /** Returns the names of machines whose deletion was confirmed in the last ten minutes. */
    Collection<String> deletedMachines() {
        return deletedMachines.keySet();
    }

    /** Removes the machine, and keeps its name for ten minutes so that lagging lists and late heartbeats don't add it again. */
    void markDeleted(String name, long nowMicros) {
        deletedMachines.put(name, nowMicros);
        Machine machine = machines.remove(name);
        if (machine != null) {
            machine.detachFromIndex();
        }
        deletedMachines.values().removeIf(since -> nowMicros - since > 600 * Micros.SECOND);
    }

    /** Replaces the machine types and updates the capacities of all machines accordingly. */
    void setMachineTypes(List<MachineType> list) {
        Map<String, MachineType> byName = new LinkedHashMap<>();
        for (MachineType type : list) {
            byName.put(type.name(), type);
        }
        machineTypes = byName;
        for (Machine machine : machines.values()) {
            updateTypeAndZone(machine, machine.type, machine.zone(), machine.isSpot);
        }
    }

    Map<String, MachineType> machineTypes() {
        return machineTypes;
    }

    /** Returns the type of the machine, or null if the machine did not report it or the cloud has not listed it yet. */
    MachineType typeOf(Machine machine) {
        return machine.type == null ? null : machineTypes.get(machine.type);
    }

    /** Records that the machine has the image of the job in its cache and uses it now. */
    void recordImage(Machine machine, Job job) {
        MachineType type = typeOf(machine);
        machine.touchImage(job.spec.image(), job.spec.imageGb(), type == null ? 0 : type.cacheGb());
    }

    /** Sets type, zone and pricing of the machine, and its capacity: null if {@code type} is null or not listed by the cloud. */
    void updateTypeAndZone(Machine machine, String type, String zone, boolean spot) {
        machine.type = type;
        machine.setZone(zone);
        machine.isSpot = spot;
        MachineType known = type == null ? null : machineTypes.get(type);
        machine.resize(known == null ? null : known.resources());
    }
}
