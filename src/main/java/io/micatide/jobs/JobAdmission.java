package io.micatide.jobs;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Team;
import java.util.Collection;
import java.util.Map;

/** Checks whether a job can ever run in the deployment. */
public final class JobAdmission {
    private JobAdmission() {}

    /**
     * Returns why a job can never run.
     *
     * @param spec description of the job
     * @param teams teams of the deployment by name
     * @param zones zones of the deployment
     * @param types machine types that the cloud offers
     * @return a message to the user, or null if the job can run
     */
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
        int minTasksAtOnce = spec.kind() == JobKind.ARRAY ? 1 : spec.taskCount();
        if (!team.isWithinLimit(spec.taskResources().times(minTasksAtOnce))) {
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
