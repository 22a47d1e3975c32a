package io.micatide.scheduler;

import io.micatide.model.Micros;
import java.util.Locale;

/**
 * Records how fast a term rebuilt the state of the previous term: when 50%, 90% and 99% of the machines that the ledgers name were reconciled, and
 * when the first task was started. The result is logged once as one line, which shows operators how long a failover took.
 */
final class FailoverProgress implements FailoverTimings {
    private static final double[] RECONCILED_SHARES = {0.5, 0.9, 0.99};

    private final long termStartMicros;
    private final long[] reconciledAtMicros = {-1, -1, -1};
    private int expectedMachines;
    private int reconciledMachines;
    private long stateLoadedAtMicros = -1;
    private long firstStartMicros = -1;
    private boolean wasLogged;

    FailoverProgress(long claimedMicros) {
        this.termStartMicros = claimedMicros;
    }

    /**
     * Records that all records are read.
     *
     * @param machines number of machines that the ledgers name
     */
    void stateLoaded(int machines, long nowMicros) {
        expectedMachines = machines;
        stateLoadedAtMicros = nowMicros;
        recordSharesReached(nowMicros);
    }

    /** Counts a machine that a ledger names as reconciled: it sent a heartbeat under this term or was deleted. */
    void machineReconciled(long nowMicros) {
        reconciledMachines++;
        recordSharesReached(nowMicros);
    }

    /** Records the start of a task; only the first one counts. */
    void taskStarted(long nowMicros) {
        if (firstStartMicros < 0) {
            firstStartMicros = nowMicros;
        }
    }

    @Override
    public long stateLoadedMicros() {
        return sinceTermStart(stateLoadedAtMicros);
    }

    @Override
    public long machinesReconciledMicros(int shareIndex) {
        return sinceTermStart(reconciledAtMicros[shareIndex]);
    }

    @Override
    public long firstStartMicros() {
        return sinceTermStart(firstStartMicros);
    }

    private long sinceTermStart(long atMicros) {
        return atMicros < 0 ? -1 : atMicros - termStartMicros;
    }

    private void recordSharesReached(long nowMicros) {
        for (int share = 0; share < RECONCILED_SHARES.length; share++) {
            if (reconciledAtMicros[share] < 0
                    && reconciledMachines >= Math.ceil(expectedMachines * RECONCILED_SHARES[share])) {
                reconciledAtMicros[share] = nowMicros;
            }
        }
    }

    /**
     * Returns the log line once 99% of the machines are reconciled and a task was started; null before, after the first time, or if no ledger names a
     * machine.
     */
    String logLine() {
        if (wasLogged
                || expectedMachines == 0
                || reconciledAtMicros[RECONCILED_SHARES.length - 1] < 0
                || firstStartMicros < 0) {
            return null;
        }
        wasLogged = true;
        return String.format(
                Locale.ROOT,
                "recovery: rebuilt after %s; of %d machines 50%% confirmed after %s, 90%% %s, 99%% %s; first start"
                        + " after %s",
                seconds(stateLoadedAtMicros),
                expectedMachines,
                seconds(reconciledAtMicros[0]),
                seconds(reconciledAtMicros[1]),
                seconds(reconciledAtMicros[2]),
                seconds(firstStartMicros));
    }

    private String seconds(long atMicros) {
        return String.format(Locale.ROOT, "%.2f s", Micros.toSeconds(atMicros - termStartMicros));
    }
}
