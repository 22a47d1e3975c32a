package io.micatide.core;

import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks really run, learned per class as a factor on the owners' estimates: those are often wrong by half,
 * and on some days mostly in one direction.
 */
final class RunTimes {
    private static final double WEIGHT = 0.02;
    private final Map<String, Double> factors = new HashMap<>();

    void finished(JobSpec spec, long ranMicros) {
        if (spec.estimateMicros() <= 0) {
            return;
        }
        double factor = Math.max(0.1, Math.min(10, ranMicros / (double) spec.estimateMicros()));
        factors.merge(spec.jobClass(), factor, (old, seen) -> old + (seen - old) * WEIGHT);
    }

    long expected(JobSpec spec) {
        return Math.max(Micros.SECOND,
                Math.round(spec.estimateMicros() * factors.getOrDefault(spec.jobClass(), 1.0)));
    }
}
