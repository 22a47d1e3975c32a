package io.micatide.model;

/**
 * A team's guaranteed resources and limits.
 *
 * @param name of the team
 * @param guaranteedCpus guaranteed CPUs in thousandths
 * @param guaranteedGpus guaranteed GPUs in thousandths
 * @param maxCpus limit of CPUs in thousandths, 0 for no limit
 * @param maxGpus limit of GPUs in thousandths, 0 for no limit
 */
public record Team(String name, long guaranteedCpus, long guaranteedGpus, long maxCpus, long maxGpus) {
    /** Returns whether the given usage does not exceed the limits. */
    public boolean isWithinLimit(Resources used) {
        return (maxCpus == 0 || used.cpus() <= maxCpus) && (maxGpus == 0 || used.gpus() <= maxGpus);
    }

    /** Returns whether the given usage does not exceed the guaranteed resources. */
    public boolean isWithinGuarantee(Resources used) {
        return used.cpus() <= guaranteedCpus && used.gpus() <= guaranteedGpus;
    }
}
