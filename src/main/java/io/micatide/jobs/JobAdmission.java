package io.micatide.jobs;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Team;
import java.util.Collection;
import java.util.Map;

/** Whether a job can ever run. */
public final class JobAdmission {
    private JobAdmission() {}

    /** The reason why it never can, or null. */
    public static String refusalReason(
            JobSpec spec, Map<String, Team> teams, Collection<String> zones, Collection<MachineType> types) {
        Team team = teams.get(spec.team());
        if (team == null) {
            return "unknown team " + spec.team();
        }
        if (spec.zone() != null && !zones.contains(spec.zone())) {
            return "unknown zone " + spec.zone();
        }
        boolean fits = false;
        for (MachineType type : types) {
            fits |= spec.taskResources().fitsIn(type.resources())
                    && (spec.machineTypes().isEmpty() || spec.machineTypes().contains(type.name()))
                    && (spec.zone() == null || type.zones().contains(spec.zone()));
        }
        if (!fits) {
            return "a task fits no allowed machine type";
        }
        int together = spec.kind() == JobKind.ARRAY ? 1 : spec.taskCount();
        if (!team.isWithinLimit(spec.taskResources().times(together))) {
            return "needs more than the limit of team " + spec.team();
        }
        if (spec.kind() != JobKind.ARRAY
                && spec.taskCount() > 1
                && spec.spreadOverZones()
                && (spec.singleZone() || spec.zone() != null)) {
            return "cannot be both spread and in one zone";
        }
        return null;
    }
}
