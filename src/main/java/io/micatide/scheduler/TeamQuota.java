package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import java.util.HashMap;
import java.util.Map;

/**
 * The teams' limits. Invariant: a placement that this class allows keeps its team within its limit, also counting every
 * task that may still run on a machine which has not reported to this leader.
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

    /** Counts anew what may run on machines that have not reported to this leader. Done once a plan. */
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

    /** Whether the limit of the job's team allows one more of its tasks. */
    boolean allowsTask(Job job) {
        return allows(job, job.spec.taskResources());
    }

    /** Whether the limit of the job's team allows so many more of its tasks at once. */
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
     * How many of a job's tasks its team's limit allows.
     *
     * @param job whose tasks they are
     * @param count tasks that are asked for
     * @param alsoPlanned what the team is to get besides what it uses
     * @return at most {@code count}; of a gang all or none
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
