package io.micatide.scheduler;

/** Times that a term took to rebuild the state of the previous term, in microseconds since the claim; -1 for steps that are not completed. */
public interface FailoverTimings {
    /**
     * Returns the time until all stored records were read.
     *
     * @return microseconds since the claim, or -1
     */
    long stateLoadedMicros();

    /**
     * Returns the time until a share of the machines that the ledgers name was reconciled.
     *
     * @param shareIndex 0 for 50%, 1 for 90%, 2 for 99% of the machines
     * @return microseconds since the claim, or -1
     */
    long machinesReconciledMicros(int shareIndex);

    /**
     * Returns the time until the first task was started.
     *
     * @return microseconds since the claim, or -1
     */
    long firstStartMicros();
}
