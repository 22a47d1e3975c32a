package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Who leads, decided by one row of the state service that is attached to a short lease. The revision of the put that
 * made us leader is the fencing token of all our writes and the token of all our commands.
 */
public final class LeaderElection {
    /** What the node should do next. */
    public enum Wish {
        NOTHING,
        READ_ROW,
        GRANT_LEASE,
        CLAIM,
        TOUCH
    }

    private final String label;
    private final long ttlMicros;
    private long lease;
    private long leaseTouchedMicros;
    private boolean waiting;
    private boolean rowKnown;
    private String rowOwner;
    private long rowVersion;
    /** Ours while we lead, else 0. */
    private long fencingToken;

    private long highestToken;
    private String leader;
    private long retryAtMicros;
    private long claimableSinceMicros = Long.MAX_VALUE;
    /** Having given the lead up, this controller leaves it to others until then. */
    private long claimsAfterMicros = Long.MIN_VALUE;

    public LeaderElection(String label, long ttlMicros) {
        this.label = label;
        this.ttlMicros = ttlMicros;
    }

    public long ttlMicros() {
        return ttlMicros;
    }

    public long lease() {
        return lease;
    }

    public long fencingToken() {
        return fencingToken;
    }

    public boolean leads() {
        return fencingToken != 0;
    }

    /** The label of the leader as far as it is known, or null. */
    public String leader() {
        return leader;
    }

    public long highestToken() {
        return highestToken;
    }

    public long rowVersion() {
        return rowVersion;
    }

    /**
     * What to ask of the state service now; every wish but NOTHING must be followed by its outcome.
     *
     * @param waitsMicros for how long a row that became claimable is left to others that would lead better; nothing but courtesy
     */
    public Wish next(long nowMicros, long waitsMicros) {
        claimableForMicros(nowMicros);
        if (waiting || nowMicros < retryAtMicros) {
            return Wish.NOTHING;
        }
        Wish wish = choose(nowMicros, waitsMicros);
        waiting = wish != Wish.NOTHING;
        return wish;
    }

    /** For how long the row has been there to be claimed, or -1 if it is not. */
    public long claimableForMicros(long nowMicros) {
        if (leads() || !rowKnown || !claimable()) {
            claimableSinceMicros = Long.MAX_VALUE;
            return -1;
        }
        claimableSinceMicros = Math.min(claimableSinceMicros, nowMicros);
        return nowMicros - claimableSinceMicros;
    }

    private Wish choose(long nowMicros, long waitsMicros) {
        boolean touchDue = lease != 0 && nowMicros - leaseTouchedMicros >= ttlMicros / 4;
        if (leads()) {
            return touchDue ? Wish.TOUCH : Wish.NOTHING;
        }
        if (!rowKnown) {
            return Wish.READ_ROW;
        }
        if (lease == 0) {
            return Wish.GRANT_LEASE;
        }
        if (claimable() && nowMicros >= claimsAfterMicros && claimableForMicros(nowMicros) >= waitsMicros) {
            return Wish.CLAIM;
        }
        return touchDue ? Wish.TOUCH : Wish.NOTHING;
    }

    /** Free, or left by this controller before it was restarted: the process that owned it is gone. */
    private boolean claimable() {
        return rowVersion == 0 || (label.equals(rowOwner) && rowVersion != fencingToken);
    }

    public void failed(long nowMicros, long pauseMicros) {
        waiting = false;
        retryAtMicros = nowMicros + pauseMicros;
    }

    public void granted(long id, long nowMicros) {
        waiting = false;
        lease = id;
        leaseTouchedMicros = nowMicros;
    }

    /** @param askedMicros when the renewal was asked for: the lease runs from no earlier than that */
    public void touched(long askedMicros) {
        waiting = false;
        leaseTouchedMicros = askedMicros;
    }

    /** The lease ended, and with it the row if it was ours. */
    public void leaseGone() {
        waiting = false;
        lease = 0;
        if (leads()) {
            depose();
        }
        rowKnown = false;
    }

    public void claimed(long revision) {
        waiting = false;
        fencingToken = revision;
        rowOwner = label;
        rowVersion = revision;
        rowKnown = true;
        leader = label;
        highestToken = Math.max(highestToken, revision);
    }

    public void claimRefused() {
        waiting = false;
        rowKnown = false;
    }

    /** The answer to READ_ROW. */
    public void rowRead(String owner, long version) {
        waiting = false;
        row(owner, version);
    }

    /** The row as read or as watched; version 0 if there is none. */
    public void row(String owner, long version) {
        rowKnown = true;
        rowOwner = owner;
        rowVersion = version;
        if (leads() && version != fencingToken) {
            depose();
        }
        if (version > 0 && version >= highestToken) {
            highestToken = version;
            leader = owner;
        }
    }

    /** The watch missed changes, or a claim may have been applied without an answer. */
    public void forgetRow() {
        rowKnown = false;
    }

    /** A claim without an answer may have been applied: the row tells. */
    public void claimUnknown(long nowMicros) {
        failed(nowMicros, 100 * Micros.MILLISECOND);
        rowKnown = false;
    }

    /** A higher token was seen with a worker or told by a sibling: whoever has it leads, not we. */
    public boolean higherToken(long seen, String owner) {
        if (seen <= highestToken && !(leads() && seen > fencingToken)) {
            if (seen == highestToken && owner != null) {
                leader = owner;
            }
            return false;
        }
        highestToken = seen;
        if (owner != null) {
            leader = owner;
        }
        boolean was = leads();
        if (was) {
            depose();
            rowKnown = false;
        }
        return was;
    }

    /**
     * Gives the lead up for others who can serve better, and does not claim again at once.
     *
     * @return the lease to end, with which the row goes
     */
    public long resign(long nowMicros, long pauseMicros) {
        long ended = lease;
        lease = 0;
        rowKnown = false;
        claimsAfterMicros = nowMicros + pauseMicros;
        depose();
        return ended;
    }

    /**
     * Until when the lease runs for certain. A process that stood still may have lost it, and what it asks of the cloud is
     * not fenced.
     */
    public long holdsUntilMicros() {
        return leads() ? leaseTouchedMicros + ttlMicros : Long.MIN_VALUE;
    }

    /** Fenced: stops quietly. */
    public void depose() {
        fencingToken = 0;
        if (label.equals(leader)) {
            leader = null;
        }
    }
}
