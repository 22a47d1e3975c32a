package io.micatide.scheduler;

import io.micatide.model.Hint;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Estimates how long tasks run. Learns per job class a factor on the owners' estimates, since these are often wrong by half, and on some days
 * mostly in the same direction.
 */
final class RuntimeEstimator {
    /** Weight of a completed task in the factor of its job class. */
    private static final double SAMPLE_WEIGHT = 0.02;
    /** Number of completed tasks of a job that count as much as the owner's estimate. */
    private static final double ESTIMATE_WEIGHT = 2;

    private static final double DEFAULT_SPREAD = 0.2;

    /** Mean ratio of run time to estimate, and mean deviation of a single task from it as a share of it. */
    private record Factor(double mean, double spread) {}

    private static final Factor DEFAULT_FACTOR = new Factor(1, DEFAULT_SPREAD);

    /** Factors by job class. */
    private final RecentJobClasses<Factor> factors = new RecentJobClasses<>();

    /** Returns hints about the job classes for which a factor is known, in the order of their names. */
    List<Hint> hints() {
        List<Hint> result = new ArrayList<>();
        factors.forEach((name, factor) -> result.add(
                new Hint.JobClassHint(name, Hints.roundToStep(factor.mean()), Hints.roundToStep(factor.spread()))));
        result.sort(Comparator.comparing(Hint::name));
        return result;
    }

    /** Applies the hint of a previous leader about a job class, unless a factor is known for the class already. */
    void hintReceived(Hint.JobClassHint hint) {
        if (!factors.contains(hint.name())) {
            factors.put(
                    hint.name(),
                    new Factor(Math.max(0.1, Math.min(10, hint.factor())), Math.max(0, Math.min(10, hint.spread()))));
        }
    }

    /** Adds the run time of a completed task to its job and to the factor of its job class. */
    void taskFinished(Job job, long ranMicros) {
        JobSpec spec = job.spec;
        job.completedRuntimeMicros += ranMicros;
        job.completedTasks++;
        if (spec.estimatedRuntimeMicros() <= 0) {
            return;
        }
        double seen = Math.max(0.1, Math.min(10, ranMicros / (double) spec.estimatedRuntimeMicros()));
        Factor old = factors.getOrDefault(spec.jobClass(), DEFAULT_FACTOR);
        double mean = old.mean() + (seen - old.mean()) * SAMPLE_WEIGHT;
        double spread = old.spread() + (Math.abs(seen - mean) / mean - old.spread()) * SAMPLE_WEIGHT;
        factors.put(spec.jobClass(), new Factor(mean, spread));
    }

    /** Returns the expected mean run time of a job's tasks: the corrected estimate, weighted with the run times of its completed tasks. */
    long expectedMicros(Job job) {
        JobSpec spec = job.spec;
        double estimate = spec.estimatedRuntimeMicros()
                * factors.getOrDefault(spec.jobClass(), DEFAULT_FACTOR).mean();
        return Math.max(
                Micros.SECOND,
                Math.round((ESTIMATE_WEIGHT * estimate + job.completedRuntimeMicros)
                        / (ESTIMATE_WEIGHT + job.completedTasks)));
    }

    /** Returns the likely run time of the slowest of a job's tasks, which determines when the job is done. */
    long slowestMicros(Job job) {
        return slowestMicros(job.spec.jobClass(), expectedMicros(job));
    }

    /** Returns the likely run time of the slowest task of a job that has not started. */
    long slowestMicros(JobSpec spec) {
        double mean = factors.getOrDefault(spec.jobClass(), DEFAULT_FACTOR).mean();
        return slowestMicros(
                spec.jobClass(), Math.max(Micros.SECOND, Math.round(spec.estimatedRuntimeMicros() * mean)));
    }

    private long slowestMicros(String jobClass, long expectedMicros) {
        double spread = factors.getOrDefault(jobClass, DEFAULT_FACTOR).spread();
        return Math.round(expectedMicros * (1 + Math.min(1, 2 * spread)));
    }
}
