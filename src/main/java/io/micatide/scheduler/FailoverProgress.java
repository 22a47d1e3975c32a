package io.micatide.scheduler;

import io.micatide.model.Micros;
import java.util.Locale;

/**
 * How a term got back what the one before knew: when half, nine tenths and 99% of the machines that the ledgers name were confirmed, and
 * when the first task was started. One line for the log, once; operators see from it what a take-over cost them.
 */
final class FailoverProgress implements FailoverTimings {
    private static final double[] SHARES = {0.5, 0.9, 0.99};

    private final long beganMicros;
    private final long[] reached = {-1, -1, -1};
    private int expected;
    private int confirmed;
    private long rebuiltMicros = -1;
    private long firstStartMicros = -1;
    private boolean told;

    FailoverProgress(long beganMicros) {
        this.beganMicros = beganMicros;
    }

    /** All rows are read. {@code machines}: how many the ledgers name. */
    void stateLoaded(int machines, long nowMicros) {
        expected = machines;
        rebuiltMicros = nowMicros;
        count(nowMicros);
    }

    /** A machine that a ledger names has settled: it reported under this term, or is gone. */
    void machineReconciled(long nowMicros) {
        confirmed++;
        count(nowMicros);
    }

    void taskStarted(long nowMicros) {
        if (firstStartMicros < 0) {
            firstStartMicros = nowMicros;
        }
    }

    @Override
    public long stateLoadedMicros() {
        return since(rebuiltMicros);
    }

    @Override
    public long machinesReconciledMicros(int share) {
        return since(reached[share]);
    }

    @Override
    public long firstStartMicros() {
        return since(firstStartMicros);
    }

    private long since(long atMicros) {
        return atMicros < 0 ? -1 : atMicros - beganMicros;
    }

    private void count(long nowMicros) {
        for (int each = 0; each < SHARES.length; each++) {
            if (reached[each] < 0 && confirmed >= Math.ceil(expected * SHARES[each])) {
                reached[each] = nowMicros;
            }
        }
    }

    /** Null until 99% are confirmed and something was started, or with no machines; then the line, once. */
    String logLine() {
        if (told || expected == 0 || reached[SHARES.length - 1] < 0 || firstStartMicros < 0) {
            return null;
        }
        told = true;
        return String.format(
                Locale.ROOT,
                "recovery: rebuilt after %s; of %d machines 50%% confirmed after %s, 90%% %s, 99%% %s; first start"
                        + " after %s",
                seconds(rebuiltMicros),
                expected,
                seconds(reached[0]),
                seconds(reached[1]),
                seconds(reached[2]),
                seconds(firstStartMicros));
    }

    private String seconds(long atMicros) {
        return String.format(Locale.ROOT, "%.2f s", Micros.toSeconds(atMicros - beganMicros));
    }
}
