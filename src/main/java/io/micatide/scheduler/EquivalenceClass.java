package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import io.micatide.model.Resources;
import java.util.List;

/**
 * The properties of a job that determine which machines it can use. Jobs of one equivalence class are examined only
 * once where the result does not depend on the individual job.
 *
 * @param taskResources resources that one task requests
 * @param machineTypes allowed machine types, empty for any
 * @param zone the only allowed zone, or null for any
 * @param spotAllowed whether spot machines are allowed
 */
record EquivalenceClass(Resources taskResources, List<String> machineTypes, String zone, boolean spotAllowed) {
    /** Returns the class of a job. */
    static EquivalenceClass of(JobSpec spec) {
        return new EquivalenceClass(spec.taskResources(), spec.machineTypes(), spec.zone(), spec.spotAllowed());
    }

    /** Returns whether jobs of this class may use the machine, regardless of its capacity. */
    boolean allowsMachine(Machine machine) {
        return allowsMachine(machine.type, machine.zone(), machine.isSpot);
    }

    /**
     * Returns whether jobs of this class may use machines of the given type in the given zone, regardless of their
     * capacity.
     */
    boolean allowsMachine(String type, String inZone, boolean onSpot) {
        return (machineTypes.isEmpty() || machineTypes.contains(type))
                && (zone == null || zone.equals(inZone))
                && (spotAllowed || !onSpot);
    }
}
