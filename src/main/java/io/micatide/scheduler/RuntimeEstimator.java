package io.micatide.scheduler;

import io.micatide.model.Hint;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How long tasks really run, learned per class as a factor on the owners' estimates: those are often wrong by half,
 * and on some days mostly in one direction.
 */
final class RuntimeEstimator {
    private static final double SAMPLE_WEIGHT = 0.02;
    /** As many own tasks as it takes for them to count as much as the owner's estimate. */
    private static final double ESTIMATE_WEIGHT = 2;

    private static final double DEFAULT_SPREAD = 0.2;

    /** Mean of run time by estimate, and how far a single task is usually from it. */
    private record Factor(double mean, double spread) {}

    private static final Factor DEFAULT_FACTOR = new Factor(1, DEFAULT_SPREAD);

    private final Map<String, Factor> factors = new HashMap<>();

    /** What is known of classes of which something has completed. */
    List<Hint> hints() {
        List<Hint> result = new ArrayList<>();
        factors.forEach((name, factor) -> result.add(
                new Hint.JobClassHint(name, Hints.roundToStep(factor.mean()), Hints.roundToStep(factor.spread()))));
        return result;
    }

    /** As an earlier leader saw it; what this one has seen counts more. */
    void hintReceived(Hint.JobClassHint hint) {
        factors.putIfAbsent(
                hint.name(),
                new Factor(Math.max(0.1, Math.min(10, hint.factor())), Math.max(0, Math.min(10, hint.spread()))));
    }

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

    /** How long a task takes on average: its owner's estimate, until the job's own tasks tell better. */
    long expectedMicros(Job job) {
        JobSpec spec = job.spec;
        double estimate = spec.estimatedRuntimeMicros()
                * factors.getOrDefault(spec.jobClass(), DEFAULT_FACTOR).mean();
        return Math.max(
                Micros.SECOND,
                Math.round((ESTIMATE_WEIGHT * estimate + job.completedRuntimeMicros)
                        / (ESTIMATE_WEIGHT + job.completedTasks)));
    }

    /** How long the slowest of a job's tasks is likely to take: the job is not done before that one is. */
    long slowestMicros(Job job) {
        return slowestMicros(job.spec.jobClass(), expectedMicros(job));
    }

    /** The same of a job that has not begun. */
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
