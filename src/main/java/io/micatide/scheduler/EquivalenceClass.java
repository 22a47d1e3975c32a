package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import io.micatide.model.Resources;
import java.util.List;

/**
 * What decides which machines a job can use: jobs of one shape are looked at once where the answer does not depend on the job itself.
 *
 * @param taskResources what one of its tasks takes
 * @param machineTypes allowed machine types, empty for any
 * @param zone the only allowed zone, or null
 * @param spotAllowed whether spot machines are allowed
 */
record EquivalenceClass(Resources taskResources, List<String> machineTypes, String zone, boolean spotAllowed) {
    static EquivalenceClass of(JobSpec spec) {
        return new EquivalenceClass(spec.taskResources(), spec.machineTypes(), spec.zone(), spec.spotAllowed());
    }

    boolean allowsMachine(Machine machine) {
        return (machineTypes.isEmpty() || machineTypes.contains(machine.type))
                && (zone == null || zone.equals(machine.zone))
                && (spotAllowed || !machine.spot);
    }
}
