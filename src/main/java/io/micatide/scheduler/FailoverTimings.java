package io.micatide.scheduler;

/** How a term got back what the one before knew. Times in microseconds since the claim, -1 for what has not happened. */
public interface FailoverTimings {
    /**
     * Until all stored records were read.
     *
     * @return microseconds since the claim, or -1
     */
    long stateLoadedMicros();

    /**
     * Until so many of the machines that the ledgers name were reconciled.
     *
     * @param shareIndex 0: half of them, 1: nine tenths, 2: 99%
     * @return microseconds since the claim, or -1
     */
    long machinesReconciledMicros(int shareIndex);

    /**
     * Until the first task was started.
     *
     * @return microseconds since the claim, or -1
     */
    long firstStartMicros();
}
