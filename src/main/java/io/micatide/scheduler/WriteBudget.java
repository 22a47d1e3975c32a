package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.model.Settings;

/**
 * Rate limit of a leader's writes: a token bucket that holds one second of the leader's share of the store's write rate, and the largest
 * transaction that the store accepts.
 *
 * <p>Invariant: over any period the writes of a leader exceed its share of the rate by at most the writes of one second. The batch that empties the
 * bucket, or other writes of this leader, may overdraw it; no batch is written then until it is positive again.
 */
final class WriteBudget {
    /** Leader's share of the write rate. The rest is needed for submissions and cancellations of users. */
    private static final double LEADER_SHARE = 0.6;
    /** Share of the bucket that the archive leaves to write batches. With five writes in a transaction a second has about ten writes. */
    private static final double RESERVED_SHARE = 0.8;
    /** Lower bound of the transaction limit; with fewer writes a transaction could not end a job. */
    private static final int MIN_TRANSACTION_WRITES = 3;

    private final double writesPerSecond;
    /** Content of the bucket; negative while overdrawn. */
    private double availableWrites;

    private long refilledMicros;
    /** Limit of one transaction; falls below that of the settings once the store has rejected a transaction. */
    private int maxTransactionWrites;

    /** Creates a full bucket. */
    WriteBudget(Settings settings, long nowMicros) {
        this.writesPerSecond = settings.storeWritesPerSecond() * LEADER_SHARE;
        this.availableWrites = writesPerSecond;
        this.refilledMicros = nowMicros;
        this.maxTransactionWrites = settings.maxTransactionWrites();
    }

    /** Adds the writes that the time since the last call allows. The limits below hold as of this call. */
    void refill(long nowMicros) {
        double secondsSinceRefill = Micros.toSeconds(nowMicros - refilledMicros);
        availableWrites = Math.min(writesPerSecond, availableWrites + writesPerSecond * secondsSinceRefill);
        refilledMicros = nowMicros;
    }

    /** Deducts writes that are sent. */
    void spend(int writes) {
        availableWrites -= writes;
    }

    /** Returns the number of writes that the next transaction may have; none if below 1. */
    int transactionLimit() {
        return (int) Math.min(availableWrites, maxTransactionWrites);
    }

    /**
     * Returns the number of writes of the next transaction that may be deferrable. Half of the writes of one second are reserved for starts and ends
     * of jobs. The reserve is not computed from the transaction limit: with a limit of five it would be two, so that finished tasks would use writes
     * for which starts wait.
     */
    int deferrableLimit() {
        return (int) Math.max(0, Math.min(maxTransactionWrites, availableWrites - writesPerSecond / 2));
    }

    /** Returns the number of writes that batches and users leave over: those above four fifths of one second, at least 0. */
    int spareWrites() {
        return (int) Math.max(0, availableWrites - writesPerSecond * RESERVED_SHARE);
    }

    /** Halves the transaction limit, because the store will never accept a transaction with this many writes. */
    void transactionRejected(int writes) {
        if (writes > MIN_TRANSACTION_WRITES) {
            maxTransactionWrites = Math.max(MIN_TRANSACTION_WRITES, writes / 2);
        }
    }
}
