package io.micatide.scheduler;

/** How a term got back what the one before knew. Times in microseconds since the claim, -1 for what has not happened. */
public interface FailoverTimings {
    /** Until all rows were read. */
    long stateLoadedMicros();

    /**
     * Until so many of the machines that the ledgers name had settled.
     *
     * @param share 0: half of them, 1: nine tenths, 2: 99%
     */
    long machinesReconciledMicros(int share);

    /** Until the first task was started. */
    long firstStartMicros();
}
