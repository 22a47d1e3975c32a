package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import java.math.RoundingMode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which machines to request, and for which jobs. Invariant: no machine is requested for tasks that their team's limit keeps from
 * running, nor for tasks that fit into machines that are requested or booting already.
 */
final class ScaleOut {
    /** Time that a task of an array takes before it runs, for the fetch of its image. */
    private static final long IMAGE_FETCH_MICROS = 5 * Micros.SECOND;
    /** Time from now in which jobs that are already late should be done. */
    private static final long LATE_JOB_TARGET_MICROS = 60 * Micros.SECOND;
    /** Time after which machines are requested for an array by itself if none of its tasks runs and no machine is usable for it. */
    private static final long STARVATION_MICROS = 20 * Micros.SECOND;
    /** Time after the latest attempt of a quarantined job after which machines are requested for it as for any other. */
    private static final long QUARANTINED_STARVATION_MICROS = 60 * Micros.SECOND;

    private static final FailedMachines NO_FAILURES = new FailedMachines();

    private final Settings settings;
    private final PlacementPlanner planner;
    private final FleetForecast forecast;
    private final OfferSelection offers;

    ScaleOut(Settings settings, PlacementPlanner planner, FleetForecast forecast, OfferSelection offers) {
        this.settings = settings;
        this.planner = planner;
        this.forecast = forecast;
        this.offers = offers;
    }

    /** Requests machines for waiting tasks; returns whether any job waits that more machines would help. */
    boolean requestMissingCapacity(long nowMicros) {
        FleetForecast.ExpectedCapacity expected = forecast.expectedCapacity(nowMicros);
        boolean isMissing = requestForServicesAndGangs(expected.onDemand(), nowMicros);
        isMissing |= requestForFiniteJobs(expected.total(), nowMicros);
        isMissing |= requestForStarvingJobs(nowMicros);
        return isMissing;
    }

    /** Requests machines for service replicas and gangs, which need exactly the capacity that they request, and now. */
    private boolean requestForServicesAndGangs(Resources expected, long nowMicros) {
        // Machines are requested together for jobs that can use the same ones.
        Map<EquivalenceClass, Integer> missing = new LinkedHashMap<>();
        Map<String, Resources> plannedByTeam = new HashMap<>();
        Resources remaining = expected;
        for (JobQueue.QueuedJob queued : planner.order()) {
            Job job = queued.job();
            JobSpec spec = job.spec;
            if (spec.kind() == JobKind.ARRAY
                    || job.hasUnreconciledMachines()
                    || (job.quarantined && !isStarving(job, nowMicros))) {
                continue;
            }
            // Tasks that the team's limit keeps from running need no machine. Otherwise a machine is rented for them,
            // and all idle machines are kept, for as long as they wait.
            Resources planned = plannedByTeam.getOrDefault(spec.team(), Resources.NONE);
            int tasks = planner.tasksWithinLimit(job, queued.pendingTasks(), planned);
            plannedByTeam.put(spec.team(), planned.plus(spec.taskResources().times(tasks)));
            int fitting = (int) Math.min(tasks, spec.taskResources().timesFittingIn(remaining));
            remaining = remaining.minus(spec.taskResources().times(fitting));
            if (tasks > fitting) {
                missing.merge(EquivalenceClass.of(spec), tasks - fitting, Integer::sum);
            }
        }
        missing.forEach((equivalenceClass, tasks) ->
                offers.requestMachines(equivalenceClass, tasks, RoundingMode.UP, nowMicros));
        return !missing.isEmpty();
    }

    /** Requests as many CPUs as the jobs other than services need to finish in time. */
    private boolean requestForFiniteJobs(Resources expected, long nowMicros) {
        List<DeadlineFeasibility.JobEstimate> jobs = planner.queue().finiteJobs(nowMicros);
        double available = planner.queue().cpusForFiniteJobs(nowMicros) + expected.cpus();
        double wanted = DeadlineFeasibility.requiredCpus(jobs, IMAGE_FETCH_MICROS, LATE_JOB_TARGET_MICROS, nowMicros);
        // CPUs beyond those that all tasks can use at once are of no use.
        double missing = Math.min(wanted, usableCpus(jobs)) - available;
        if (missing <= 0) {
            return false;
        }
        DeadlineFeasibility.JobEstimate largest = largestReconciled(jobs);
        if (largest == null) {
            return false;
        }
        JobSpec spec = largest.job.spec;
        int tasks = (int) Math.ceil(missing / Math.max(1, spec.taskResources().cpus()));
        requestMachinesFor(spec, tasks, nowMicros);
        return true;
    }

    /** Returns the CPUs, in thousandths, that the jobs' tasks could use at once within the teams' limits. */
    private double usableCpus(List<DeadlineFeasibility.JobEstimate> jobs) {
        Map<String, Resources> requestedByTeam = new HashMap<>();
        for (DeadlineFeasibility.JobEstimate entry : jobs) {
            JobSpec spec = entry.job.spec;
            requestedByTeam.merge(
                    spec.team(), spec.taskResources().times(entry.job.unfinishedCount()), Resources::plus);
        }
        double usable = 0;
        for (Map.Entry<String, Resources> requested : requestedByTeam.entrySet()) {
            Team team = settings.teams().get(requested.getKey());
            long limit = team == null || team.maxCpus() == 0 ? Long.MAX_VALUE : team.maxCpus();
            usable += Math.min(limit, requested.getValue().cpus());
        }
        return usable;
    }

    /** Returns the entry with the most remaining work among jobs without unreconciled machines, or null. */
    private static DeadlineFeasibility.JobEstimate largestReconciled(List<DeadlineFeasibility.JobEstimate> jobs) {
        DeadlineFeasibility.JobEstimate largest = null;
        for (DeadlineFeasibility.JobEstimate entry : jobs) {
            if (!entry.job.hasUnreconciledMachines()
                    && (largest == null || entry.remainingWork > largest.remainingWork)) {
                largest = entry;
            }
        }
        return largest;
    }

    /**
     * Requests machines for jobs that no machine is usable for, which are arrays and quarantined jobs; returns whether there are any.
     *
     * <p>For arrays in general, machines are requested by the CPUs of all of them and to suit the largest. An array that is restricted to a zone, a
     * type or on-demand machines may be able to use none of these machines. Without this method it waits as long as there is a larger job or
     * idle machines elsewhere, also when the last machine in its zone was lost.
     */
    private boolean requestForStarvingJobs(long nowMicros) {
        boolean isMissing = false;
        Map<EquivalenceClass, Boolean> hasUsableMachine = new HashMap<>();
        for (JobQueue.QueuedJob queued : planner.order()) {
            JobSpec spec = queued.job().spec;
            if (isStarving(queued.job(), nowMicros) && !hasUsableMachine(queued.job(), hasUsableMachine, nowMicros)) {
                int tasks = planner.tasksWithinLimit(queued.job(), queued.pendingTasks(), Resources.NONE);
                if (tasks > 0) {
                    isMissing = true;
                    requestMachinesFor(spec, tasks, nowMicros);
                }
            }
        }
        return isMissing;
    }

    /**
     * Returns whether any machine is usable for the job. Machines from which the job is excluded after a failure are not, so that it is tried
     * elsewhere before it is tried there again. Those of a quarantined job are, since it most likely fails wherever it runs.
     *
     * @param hasUsableMachine results for the classes of jobs without an exclusion, added to
     */
    private boolean hasUsableMachine(Job job, Map<EquivalenceClass, Boolean> hasUsableMachine, long nowMicros) {
        EquivalenceClass equivalenceClass = EquivalenceClass.of(job.spec);
        if (!job.quarantined && job.failedMachines.excludesAny(nowMicros)) {
            return forecast.isAnyMachineUsable(equivalenceClass, job.failedMachines, nowMicros);
        }
        return hasUsableMachine.computeIfAbsent(
                equivalenceClass, key -> forecast.isAnyMachineUsable(key, NO_FAILURES, nowMicros));
    }

    /** Returns whether none of the tasks of an array, or of a quarantined job, has been running for a while although they could start. */
    private boolean isStarving(Job job, long nowMicros) {
        long starvationMicros = job.quarantined ? QUARANTINED_STARVATION_MICROS : STARVATION_MICROS;
        return (job.spec.kind() == JobKind.ARRAY || job.quarantined)
                && job.liveAttempts.isEmpty()
                && planner.isStartable(job, nowMicros)
                && nowMicros - Math.max(job.readyMicros, job.lastStartMicros) > starvationMicros;
    }

    /** Requests machines for tasks: for arrays rounded down, since the rest can wait; for gangs rounded up, since they need all at once. */
    private void requestMachinesFor(JobSpec spec, int tasks, long nowMicros) {
        RoundingMode rounding = spec.kind() == JobKind.ARRAY ? RoundingMode.DOWN : RoundingMode.UP;
        offers.requestMachines(EquivalenceClass.of(spec), tasks, rounding, nowMicros);
    }
}
