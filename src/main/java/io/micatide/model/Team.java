package io.micatide.model;

/** A team's guarantee and limit in thousandths; a limit of 0 means that there is none. */
public record Team(String name, long guaranteedCpus, long guaranteedGpus, long maxCpus, long maxGpus) {
    public boolean isWithinLimit(Resources used) {
        return (maxCpus == 0 || used.cpus() <= maxCpus) && (maxGpus == 0 || used.gpus() <= maxGpus);
    }

    public boolean isWithinGuarantee(Resources used) {
        return used.cpus() <= guaranteedCpus && used.gpus() <= guaranteedGpus;
    }
}
