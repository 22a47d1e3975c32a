package io.micatide.scheduler;

import io.micatide.model.Priority;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Computes which jobs can finish on time with a given number of CPUs, and how many CPUs all of them need.
 *
 * <p>Earliest due first serves most users only while everything fits. Otherwise the largest job considered so far is
 * deferred (Moore and Hodgson's rule), since one job too many would make all later ones late. Size is work divided by
 * weight: objectives are shares of a class, so a job of a class with few jobs weighs more. Without the weight, only large
 * arrays would be deferred in an overload.
 */
final class DeadlineFeasibility {
    /** An unfinished job with estimates of its remaining work. */
    static final class JobEstimate {
        final Job job;
        /** Remaining work, in thousandths of a CPU times microseconds. */
        final double remainingWork;
        /** Estimated run time of the slowest task. */
        final long slowestTaskMicros;

        /** Time at which the job should be finished. */
        final long dueMicros;
        /** Weight of one job of this class in the objectives. */
        final double weight;

        /** Whether the job can finish on time; set by {@link #markFeasible}. */
        boolean isFeasible;

        JobEstimate(Job job, double remainingWork, long slowestTaskMicros, long dueMicros, double weight) {
            this.job = job;
            this.remainingWork = remainingWork;
            this.weight = weight;
            this.slowestTaskMicros = slowestTaskMicros;
            this.dueMicros = dueMicros;
        }

        /** The latest time at which the slowest task must start; tasks cannot be divided to finish earlier. */
        long latestStartMicros() {
            return dueMicros - slowestTaskMicros;
        }
    }

    private DeadlineFeasibility() {}

    /** Marks the jobs that can finish on time and returns all estimates, in the order of their latest start. */
    static List<JobEstimate> markFeasible(List<JobEstimate> estimates, double cpus, long nowMicros) {
        List<JobEstimate> sorted = new ArrayList<>(estimates);
        sorted.sort(Comparator.comparingLong(JobEstimate::latestStartMicros)
                .thenComparingLong(estimate -> estimate.job.readyMicros));
        PriorityQueue<JobEstimate> kept = new PriorityQueue<>(
                Comparator.comparingDouble((JobEstimate estimate) -> -estimate.remainingWork / estimate.weight));
        double totalWork = 0;
        for (JobEstimate estimate : sorted) {
            estimate.isFeasible = estimate.dueMicros - nowMicros >= estimate.slowestTaskMicros;
            if (!estimate.isFeasible) {
                continue;
            }
            kept.add(estimate);
            totalWork += estimate.remainingWork;
            if (cpus <= 0 || totalWork / cpus > estimate.dueMicros - nowMicros) {
                JobEstimate deferred = kept.poll();
                deferred.isFeasible = false;
                totalWork -= deferred.remainingWork;
            }
        }
        return sorted;
    }

    /**
     * Returns the CPUs, in thousandths, with which every job finishes on time if the earliest due is run first. Tasks run in
     * whole rounds, so a job with little time and long tasks needs more CPUs than its work divided by its time.
     *
     * @param estimates the unfinished jobs
     * @param startMicros time that a task needs before it runs, for the fetch of its image
     * @param lateMicros time within which a job that is already late should finish; also the most time that is planned for any
     *     job above the lowest priority, unless its slowest task takes longer
     * @param nowMicros current time
     * @return thousandths of a CPU
     */
    static double requiredCpus(List<JobEstimate> estimates, long startMicros, long lateMicros, long nowMicros) {
        record Demand(long leftMicros, double work, double own) {}
        List<Demand> demands = new ArrayList<>();
        for (JobEstimate estimate : estimates) {
            // Jobs of the lowest priority may take all the time until they are due, so that no expensive machines are
            // rented for work without an objective.
            long maxLeftMicros = estimate.job.priority() == Priority.LOW ? Long.MAX_VALUE / 2 : lateMicros;
            long leftMicros =
                    Math.min(estimate.dueMicros - nowMicros, Math.max(maxLeftMicros, estimate.slowestTaskMicros))
                            - startMicros;
            long rounds = Math.max(1, leftMicros / estimate.slowestTaskMicros);
            long parallel = (estimate.job.unfinishedCount() + rounds - 1) / rounds;
            double ownCpus =
                    (double) parallel * estimate.job.spec.taskResources().cpus();
            demands.add(new Demand(
                    Math.max(leftMicros, estimate.slowestTaskMicros),
                    ownCpus * rounds * estimate.slowestTaskMicros,
                    ownCpus));
        }
        demands.sort(Comparator.comparingLong(Demand::leftMicros));
        double cpus = 0;
        double totalWork = 0;
        double totalOwnCpus = 0;
        for (Demand demand : demands) {
            totalWork += demand.work();
            totalOwnCpus += demand.own();
            cpus = Math.max(cpus, totalWork / demand.leftMicros());
        }
        // Running tasks cannot be divided or moved, so the need is between the maximum and the sum over all jobs.
        return (cpus + 3 * totalOwnCpus) / 4;
    }
}
