package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.model.Settings;

/**
 * How much a leader may write now: a token bucket that holds one second's worth of its share of the store's write rate, and the largest
 * transaction that the store takes.
 *
 * <p>Invariant: over any time the writes of a leader exceed its share of the rate by no more than one second's worth. The bucket may be overdrawn by
 * the batch that empties it, or by other writes of this leader; nothing is written then until it is filled again.
 */
final class WriteBudget {
    /** Submissions and cancellations of users need the rest of the write rate. */
    private static final double LEADER_SHARE = 0.6;
    /** What the archive leaves to the write batches of a second. With five writes in a transaction a second's are some ten. */
    private static final double RESERVED_SHARE = 0.8;
    /** With fewer writes a transaction could not end a job. */
    private static final int MIN_TRANSACTION_WRITES = 3;

    private final double writesPerSecond;
    private double availableWrites;
    private long refilledMicros;
    /** Less than in the settings once the store has refused a transaction. */
    private int maxTransactionWrites;

    /** A full bucket. */
    WriteBudget(Settings settings, long nowMicros) {
        this.writesPerSecond = settings.storeWritesPerSecond() * LEADER_SHARE;
        this.availableWrites = writesPerSecond;
        this.refilledMicros = nowMicros;
        this.maxTransactionWrites = settings.maxTransactionWrites();
    }

    /** Adds what the time since the last call allows; the limits below are as of this call. */
    void refill(long nowMicros) {
        double sinceLast = Micros.toSeconds(nowMicros - refilledMicros);
        availableWrites = Math.min(writesPerSecond, availableWrites + writesPerSecond * sinceLast);
        refilledMicros = nowMicros;
    }

    /** So many writes are sent. */
    void spend(int writes) {
        availableWrites -= writes;
    }

    /** How many writes the next transaction may have, below 1 for none. */
    int transactionLimit() {
        return (int) Math.min(availableWrites, maxTransactionWrites);
    }

    /**
     * How many of these may be of jobs that can wait. Half of a second's writes are kept for what starts or ends a job. Counted from the writes that a
     * transaction may hold, as before, it came to two where that is five, and finished tasks took what starts then waited for.
     */
    int deferrableLimit() {
        return (int) Math.max(0, Math.min(maxTransactionWrites, availableWrites - writesPerSecond / 2));
    }

    /** How many writes batches and users leave over: what is above four fifths of a second's worth. */
    int spareWrites() {
        return (int) Math.max(0, availableWrites - writesPerSecond * RESERVED_SHARE);
    }

    /** The store will never take a transaction with so many writes: the next ones are half as large. */
    void transactionRejected(int writes) {
        if (writes > MIN_TRANSACTION_WRITES) {
            maxTransactionWrites = Math.max(MIN_TRANSACTION_WRITES, writes / 2);
        }
    }
}
