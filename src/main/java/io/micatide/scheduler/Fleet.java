package io.micatide.scheduler;

import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All machines that are known of, and the machine types. */
final class Fleet {
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final FreeCapacityIndex freeCapacityIndex = new FreeCapacityIndex(machines.values());
    private Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    /** Machines whose deletion was answered: nothing can be on them, whatever a lagging list says. */
    private final Map<String, Long> deletedMachines = new HashMap<>();

    Collection<Machine> machines() {
        return machines.values();
    }

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

    /** Which of the machines have room for what. */
    FreeCapacityIndex freeCapacityIndex() {
        return freeCapacityIndex;
    }

    boolean isDeleted(String name) {
        return deletedMachines.containsKey(name);
    }

    /** Names whose deletion was answered in the last ten minutes. */
    Collection<String> deletedMachines() {
        return deletedMachines.keySet();
    }

    void markDeleted(String name, long nowMicros) {
        deletedMachines.put(name, nowMicros);
        Machine machine = machines.remove(name);
        if (machine != null) {
            machine.detachFromIndex();
        }
        deletedMachines.values().removeIf(since -> nowMicros - since > 600 * Micros.SECOND);
    }

    void setMachineTypes(List<MachineType> list) {
        Map<String, MachineType> byName = new LinkedHashMap<>();
        for (MachineType type : list) {
            byName.put(type.name(), type);
        }
        machineTypes = byName;
        for (Machine machine : machines.values()) {
            updateTypeAndZone(machine, machine.type, machine.zone, machine.spot);
        }
    }

    Map<String, MachineType> machineTypes() {
        return machineTypes;
    }

    /** The machine's type, null if the machine does not tell it or the cloud has not listed it yet. */
    MachineType typeOf(Machine machine) {
        return machine.type == null ? null : machineTypes.get(machine.type);
    }

    /** The machine has the image of the job in its cache, used now. */
    void recordImage(Machine machine, Job job) {
        MachineType type = typeOf(machine);
        machine.touchImage(job.spec.image(), job.spec.imageGb(), type == null ? 0 : type.cacheGb());
    }

    void updateTypeAndZone(Machine machine, String type, String zone, boolean spot) {
        machine.type = type;
        machine.zone = zone;
        machine.spot = spot;
        MachineType known = type == null ? null : machineTypes.get(type);
        machine.resize(known == null ? null : known.resources());
    }
}
