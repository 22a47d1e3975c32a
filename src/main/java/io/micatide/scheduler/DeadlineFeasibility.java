package io.micatide.scheduler;

import io.micatide.model.Priority;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Which jobs can be ready when they should, given how many processors work on them. Earliest first serves most
 * users only while everything fits; when it does not, the largest job of those considered so far is left for later
 * (Moore and Hodgson's rule), since one job too many would make all behind it late. Largest is meant by what a job counts
 * for: aims are shares of a class, so a job of a class with few jobs counts for more. Without that an overload was settled
 * at the cost of the large arrays alone.
 */
final class DeadlineFeasibility {
    /** A job with what is left of it. */
    static final class JobEstimate {
        final Job job;
        /** Work that is left, in thousandths of a processor times microseconds. */
        final double remainingWork;
        /** How long the slowest of its tasks is likely to take. */
        final long slowestTaskMicros;

        final long dueMicros;
        /** What one job of its class counts for in the aims. */
        final double weight;

        boolean isFeasible;

        JobEstimate(Job job, double work, long lengthMicros, long dueMicros, double weight) {
            this.job = job;
            this.remainingWork = work;
            this.weight = weight;
            this.slowestTaskMicros = lengthMicros;
            this.dueMicros = dueMicros;
        }

        /** Tasks are not divisible: one that takes long has to start long before its job is due. */
        long latestStartMicros() {
            return dueMicros - slowestTaskMicros;
        }
    }

    private DeadlineFeasibility() {}

    /** Marks what can be on time and returns the entries, the one first that has to start first. */
    static List<JobEstimate> markFeasible(List<JobEstimate> entries, double cpus, long nowMicros) {
        List<JobEstimate> sorted = new ArrayList<>(entries);
        sorted.sort(Comparator.comparingLong(JobEstimate::latestStartMicros).thenComparingLong(e -> e.job.readyMicros));
        PriorityQueue<JobEstimate> kept =
                new PriorityQueue<>(Comparator.comparingDouble((JobEstimate e) -> -e.remainingWork / e.weight));
        double total = 0;
        for (JobEstimate entry : sorted) {
            entry.isFeasible = entry.dueMicros - nowMicros >= entry.slowestTaskMicros;
            if (!entry.isFeasible) {
                continue;
            }
            kept.add(entry);
            total += entry.remainingWork;
            if (cpus <= 0 || total / cpus > entry.dueMicros - nowMicros) {
                JobEstimate largest = kept.poll();
                largest.isFeasible = false;
                total -= largest.remainingWork;
            }
        }
        return sorted;
    }

    /**
     * Processors, in thousandths, with which every job is ready when it should be, if the earliest due goes first. Tasks
     * run in whole rounds, so a job of short time and long tasks takes more than its share of the work.
     *
     * @param startMicros what a task takes before it runs: the fetch of its image
     * @param lateMicros in what time jobs are wanted that are late already
     */
    static double requiredCpus(List<JobEstimate> entries, long startMicros, long lateMicros, long nowMicros) {
        record Demand(long leftMicros, double work, double own) {}
        List<Demand> demands = new ArrayList<>();
        for (JobEstimate entry : entries) {
            // Work of the lowest priority may take all the time that it has; for what has no aim nothing is rented
            // dearly.
            long patience = entry.job.priority() == Priority.LOW ? Long.MAX_VALUE / 2 : lateMicros;
            long left =
                    Math.min(entry.dueMicros - nowMicros, Math.max(patience, entry.slowestTaskMicros)) - startMicros;
            long rounds = Math.max(1, left / entry.slowestTaskMicros);
            long parallel = (entry.job.unfinishedCount() + rounds - 1) / rounds;
            double own = (double) parallel * entry.job.spec.taskResources().cpus();
            demands.add(
                    new Demand(Math.max(left, entry.slowestTaskMicros), own * rounds * entry.slowestTaskMicros, own));
        }
        demands.sort(Comparator.comparingLong(Demand::leftMicros));
        double cpus = 0;
        double total = 0;
        double sum = 0;
        for (Demand demand : demands) {
            total += demand.work();
            sum += demand.own();
            cpus = Math.max(cpus, total / demand.leftMicros());
        }
        // Tasks already running cannot be divided or moved, so the truth lies between this and all jobs at once.
        return (cpus + 3 * sum) / 4;
    }
}
