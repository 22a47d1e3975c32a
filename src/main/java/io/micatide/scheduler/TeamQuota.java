package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import java.util.HashMap;
import java.util.Map;

/**
 * Enforces the limits of the teams, and that of all arrays together.
 *
 * <p>Invariant: a placement allowed by this class keeps its team within its limit, including all tasks that may still
 * run on machines that have not yet been reconciled by this leader.
 */
final class TeamQuota {
    private final PlacementActions scheduler;
    private final Settings settings;
    private final JobLedgers ledgers;
    private Map<String, Resources> unreconciledUsage = Map.of();

    TeamQuota(PlacementActions scheduler, Settings settings, JobLedgers ledgers) {
        this.scheduler = scheduler;
        this.settings = settings;
        this.ledgers = ledgers;
    }

    /** Recomputes the usage that may exist on machines not yet reconciled by this leader. Called once per plan. */
    void refreshUnreconciledUsage() {
        Map<String, Resources> usage = new HashMap<>();
        for (Job job : ledgers.jobs()) {
            if (job.hasUnreconciledMachines()) {
                int tasks = job.cancelled ? job.spec.taskCount() : job.pendingCount();
                usage.merge(job.spec.team(), job.spec.taskResources().times(tasks), Resources::plus);
            }
        }
        unreconciledUsage = usage;
    }

    /** Returns whether the limit of the job's team and that of arrays allow one more of its tasks. */
    boolean allowsTask(Job job) {
        return scheduler.hasMemoryForTask(job) && allows(job, job.spec.taskResources());
    }

    /** Returns whether the limit of the job's team allows the given number of additional tasks at once. */
    boolean allowsTasks(Job job, int tasks) {
        return allows(job, job.spec.taskResources().times(tasks));
    }

    private boolean allows(Job job, Resources request) {
        Team team = settings.teams().get(job.spec.team());
        return team == null || team.isWithinLimit(usage(team).plus(request));
    }

    private Resources usage(Team team) {
        return scheduler.teamUsage(team.name()).plus(unreconciledUsage.getOrDefault(team.name(), Resources.NONE));
    }

    /**
     * Returns how many tasks of a job the limit of its team allows.
     *
     * @param job the job that the tasks belong to
     * @param count the number of tasks requested
     * @param alsoPlanned resources planned for the team in addition to its current usage
     * @return at most {@code count}; for a gang either {@code count} or 0
     */
    int tasksWithinLimit(Job job, int count, Resources alsoPlanned) {
        Team team = settings.teams().get(job.spec.team());
        if (team == null) {
            return count;
        }
        Resources task = job.spec.taskResources();
        Resources used = usage(team).plus(alsoPlanned);
        long allowed = count;
        if (team.maxCpus() > 0 && task.cpus() > 0) {
            allowed = Math.min(allowed, Math.max(0, team.maxCpus() - used.cpus()) / task.cpus());
        }
        if (team.maxGpus() > 0 && task.gpus() > 0) {
            allowed = Math.min(allowed, Math.max(0, team.maxGpus() - used.gpus()) / task.gpus());
        }
        return job.spec.kind() == JobKind.GANG && allowed < count ? 0 : (int) allowed;
    }
}
