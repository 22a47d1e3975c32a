package io.micatide.rollout;

import io.micatide.model.Micros;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.List;

/**
 * That this controller is there, what it can do and by which switches it acts: a row that is attached to its lease, put again whenever it
 * has a new lease or newer switches. The put has the switches and the row's own version as conditions, so one of a former life that
 * arrives late is refused. Times in microseconds.
 */
public final class ControllerRegistration {
    /** What to do next; every wish but NOTHING must be followed by its outcome. */
    public enum Wish {
        NOTHING,
        READ,
        PUT
    }

    private static final long PAUSE_MICROS = 300 * Micros.MILLISECOND;

    private final String key;
    private final String build;
    private final Capabilities abilities;
    private final long sinceWall;
    private boolean waiting;
    private long againMicros = Long.MIN_VALUE / 2;
    /** Of the own row; -1 before it was read. */
    private long rowVersion = -1;

    private long askedLease;
    private long askedActs;
    private long lease;
    private long acts = -1;

    /**
     * @param build the version of this program, for operators
     * @param sinceWall time of day at which this process began
     */
    public ControllerRegistration(String label, String build, Capabilities abilities, long sinceWall) {
        this.abilities = abilities;
        this.key = StoreKeys.controller(label);
        this.build = build;
        this.sinceWall = sinceWall;
    }

    /** The controller's own row. */
    public String key() {
        return key;
    }

    /**
     * @param leaseNow the lease of this controller, 0 if it has none
     * @param actsNow version of the switches by which it acts, -1 while they are not known
     */
    public Wish next(long leaseNow, long actsNow, long nowMicros) {
        if (!abilities.registers()
                || waiting
                || nowMicros < againMicros
                || leaseNow == 0
                || actsNow < 0
                || (leaseNow == lease && actsNow == acts)) {
            return Wish.NOTHING;
        }
        waiting = true;
        askedLease = leaseNow;
        askedActs = actsNow;
        return rowVersion < 0 ? Wish.READ : Wish.PUT;
    }

    /** What to write after {@link Action#PUT}. */
    public Transaction put() {
        return new Transaction(
                List.of(
                        new Transaction.Condition(StoreKeys.FEATURE_STAGES, askedActs),
                        new Transaction.Condition(key, rowVersion)),
                List.of(new Transaction.Write(
                        key,
                        new StoredRecord.RegisteredController(build, abilities.names(), askedActs, sinceWall),
                        askedLease)));
    }

    /** The own row as read, version 0 if there is none. */
    public void read(long version) {
        waiting = false;
        rowVersion = version;
    }

    public void registered(long revision) {
        waiting = false;
        rowVersion = revision;
        lease = askedLease;
        acts = askedActs;
    }

    /** Refused or of unknown outcome: the row is read before the next try. */
    public void unclear(long nowMicros) {
        waiting = false;
        rowVersion = -1;
        againMicros = nowMicros + PAUSE_MICROS;
    }

    /** Certainly not executed. */
    public void failed(long nowMicros) {
        waiting = false;
        againMicros = nowMicros + PAUSE_MICROS;
    }
}
