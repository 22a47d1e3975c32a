package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import io.micatide.model.Resources;
import java.util.List;

/**
 * What decides which machines a job can use: jobs of one equivalence class are examined once where the answer does not
 * depend on the job itself.
 *
 *
 * @param taskResources what one of its tasks requests
 * @param machineTypes allowed machine types, empty for any
 *
 * @param zone the only allowed zone, or null
 * @param spotAllowed whether spot machines are allowed
 */
record EquivalenceClass(Resources taskResources, List<String> machineTypes, String zone, boolean spotAllowed) {
    /** The class of a job. */
    static EquivalenceClass of(JobSpec spec) {
        return new EquivalenceClass(spec.taskResources(), spec.machineTypes(), spec.zone(), spec.spotAllowed());
    }

    /** Whether jobs of this class may use the machine, whatever its size. */
    boolean allowsMachine(Machine machine) {
        return allowsMachine(machine.type, machine.zone, machine.isSpot);
    }

    /** Whether jobs of this class may use machines of this type in this zone, whatever their size. */
    boolean allowsMachine(String type, String inZone, boolean onSpot) {
        return (machineTypes.isEmpty() || machineTypes.contains(type))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !onSpot);
    }
}
