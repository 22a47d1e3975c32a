package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import io.micatide.model.Resources;
import java.util.List;

/**
 * What decides which machines a job can use: jobs of one shape are looked at once where the answer does not depend on the job itself.
 *
 * @param each what one of its tasks takes
 * @param types allowed machine types, empty for any
 * @param zone the only allowed zone, or null
 * @param spot whether spot machines are allowed
 */
record EquivalenceClass(Resources each, List<String> types, String zone, boolean spot) {
    static EquivalenceClass of(JobSpec spec) {
        return new EquivalenceClass(spec.taskResources(), spec.machineTypes(), spec.zone(), spec.spotAllowed());
    }

    boolean allowsMachine(Machine machine) {
        return (types.isEmpty() || types.contains(machine.type))
                && (zone == null || zone.equals(machine.zone))
                && (spot || !machine.spot);
    }
}
