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
 * How many machines are wanted, and for what. Invariant: nothing is requested for tasks that their team's limit keeps from
 * running, nor for those for which machines are on their way.
 */
final class ScaleOut {
    /** What a task of an array takes before it runs: the fetch of its image. */
    private static final long FETCH_MICROS = 5 * Micros.SECOND;
    /** In what time jobs are wanted that are late already. */
    private static final long LATE_JOB_WITHIN_MICROS = 60 * Micros.SECOND;
    /** After so long an array of which nothing runs and that no machine suits gets machines by itself. */
    private static final long STARVATION_MICROS = 20 * Micros.SECOND;

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

    /** Requests what is missing; returns whether anything waits that more machines would help. */
    boolean requestMissing(long nowMicros) {
        FleetForecast.ExpectedCapacity expected = forecast.expectedCapacity(nowMicros);
        boolean isMissing = requestForServicesAndGangs(expected.onDemand(), nowMicros);
        isMissing |= requestForFiniteJobs(expected.total(), nowMicros);
        isMissing |= requestForStarvingArrays(nowMicros);
        return isMissing;
    }

    /** Replicas and gangs want their capacity now; it is what they request and nothing more. */
    private boolean requestForServicesAndGangs(Resources expected, long nowMicros) {
        // Jobs that can use the same machines get them together.
        Map<EquivalenceClass, Integer> missing = new LinkedHashMap<>();
        Map<String, Resources> plannedByTeam = new HashMap<>();
        Resources remaining = expected;
        for (JobQueue.QueuedJob queued : planner.order()) {
            Job job = queued.job();
            JobSpec spec = job.spec;
            if (spec.kind() == JobKind.ARRAY || job.hasUnreconciledMachines() || job.quarantined) {
                continue;
            }
            // What its team's limit keeps from running needs no machine: one was rented, and all idle ones kept, for as
            // long as it waited.
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

    /** Work that ends wants as many processors as have it ready in time. */
    private boolean requestForFiniteJobs(Resources expected, long nowMicros) {
        List<DeadlineFeasibility.JobEstimate> jobs = planner.queue().finiteJobs(nowMicros);
        double available = planner.queue().cpusForFiniteJobs(nowMicros) + expected.cpus();
        double wanted = DeadlineFeasibility.requiredCpus(jobs, FETCH_MICROS, LATE_JOB_WITHIN_MICROS, nowMicros);
        // More processors than tasks that may run at once are of no use.
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
        requestFor(spec, tasks, nowMicros);
        return true;
    }

    /** Processors, in thousandths, that the jobs' tasks could use at once under the teams' limits. */
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

    /** The job with the most work left among those of which all machines are known, or null. */
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
     * Arrays get machines together, by their processors and for the largest of them. One that is bound to a zone, to a type
     * or to on-demand machines may find none among those that it can use, and waited for as long as there was larger work,
     * or machines that stood idle elsewhere; so did one whose last machine in its zone was lost.
     */
    private boolean requestForStarvingArrays(long nowMicros) {
        boolean isMissing = false;
        Map<EquivalenceClass, Boolean> isServed = new HashMap<>();
        for (JobQueue.QueuedJob queued : planner.order()) {
            JobSpec spec = queued.job().spec;
            if (isStarving(queued.job(), nowMicros)
                    && !isServed.computeIfAbsent(
                            EquivalenceClass.of(spec), key -> forecast.isAnyUsable(key, nowMicros))) {
                int tasks = planner.tasksWithinLimit(queued.job(), queued.pendingTasks(), Resources.NONE);
                if (tasks > 0) {
                    isMissing = true;
                    requestFor(spec, tasks, nowMicros);
                }
            }
        }
        return isMissing;
    }

    private boolean isStarving(Job job, long nowMicros) {
        return job.spec.kind() == JobKind.ARRAY
                && job.liveAttempts.isEmpty()
                && !job.quarantined
                && planner.isStartable(job, nowMicros)
                && nowMicros - Math.max(job.readyMicros, job.lastStartMicros) > STARVATION_MICROS;
    }

    /** Arrays can wait for a machine that would be partly empty; a gang needs all of its machines. */
    private void requestFor(JobSpec spec, int tasks, long nowMicros) {
        RoundingMode rounding = spec.kind() == JobKind.ARRAY ? RoundingMode.DOWN : RoundingMode.UP;
        offers.requestMachines(EquivalenceClass.of(spec), tasks, rounding, nowMicros);
    }
}
