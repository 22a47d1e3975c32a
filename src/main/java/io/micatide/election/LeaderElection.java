package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Who leads, decided by one row of the state service that is attached to a short lease. The revision of the put that
 * made us leader is the fencing token of all our writes and the token of all our commands.
 */
public final class LeaderElection {
    /** What the node should do next. */
    public enum Action {
        NOTHING,
        READ_RECORD,
        GRANT_LEASE,
        CLAIM,
        RENEW_LEASE
    }

    private final String label;
    private final long leaseMicros;
    private long leaseId;
    private long leaseRenewedMicros;
    private boolean isRequestPending;
    private boolean isRecordKnown;
    private String recordOwner;
    private long recordVersion;
    /** Ours while we lead, else 0. */
    private long fencingToken;

    private long highestFencingToken;
    private String leader;
    private long retryAtMicros;
    private long claimableSinceMicros = Long.MAX_VALUE;
    /** Having given the lead up, this controller leaves it to others until then. */
    private long noClaimBeforeMicros = Long.MIN_VALUE;

    public LeaderElection(String label, long ttlMicros) {
        this.label = label;
        this.leaseMicros = ttlMicros;
    }

    public long leaseMicros() {
        return leaseMicros;
    }

    public long leaseId() {
        return leaseId;
    }

    public long fencingToken() {
        return fencingToken;
    }

    public boolean isLeader() {
        return fencingToken != 0;
    }

    /** The label of the leader as far as it is known, or null. */
    public String leader() {
        return leader;
    }

    public long highestFencingToken() {
        return highestFencingToken;
    }

    public long recordVersion() {
        return recordVersion;
    }

    /**
     * What to ask of the state service now; every wish but NOTHING must be followed by its outcome.
     *
     * @param waitsMicros for how long a row that became claimable is left to others that would lead better; nothing but courtesy
     */
    public Action nextAction(long nowMicros, long waitsMicros) {
        claimableForMicros(nowMicros);
        if (isRequestPending || nowMicros < retryAtMicros) {
            return Action.NOTHING;
        }
        Action wish = chooseAction(nowMicros, waitsMicros);
        isRequestPending = wish != Action.NOTHING;
        return wish;
    }

    /** For how long the row has been there to be claimed, or -1 if it is not. */
    public long claimableForMicros(long nowMicros) {
        if (isLeader() || !isRecordKnown || !isClaimable()) {
            claimableSinceMicros = Long.MAX_VALUE;
            return -1;
        }
        claimableSinceMicros = Math.min(claimableSinceMicros, nowMicros);
        return nowMicros - claimableSinceMicros;
    }

    private Action chooseAction(long nowMicros, long waitsMicros) {
        boolean touchDue = leaseId != 0 && nowMicros - leaseRenewedMicros >= leaseMicros / 4;
        if (isLeader()) {
            return touchDue ? Action.RENEW_LEASE : Action.NOTHING;
        }
        if (!isRecordKnown) {
            return Action.READ_RECORD;
        }
        if (leaseId == 0) {
            return Action.GRANT_LEASE;
        }
        if (isClaimable() && nowMicros >= noClaimBeforeMicros && claimableForMicros(nowMicros) >= waitsMicros) {
            return Action.CLAIM;
        }
        return touchDue ? Action.RENEW_LEASE : Action.NOTHING;
    }

    /** Free, or left by this controller before it was restarted: the process that owned it is gone. */
    private boolean isClaimable() {
        return recordVersion == 0 || (label.equals(recordOwner) && recordVersion != fencingToken);
    }

    public void requestFailed(long nowMicros, long pauseMicros) {
        isRequestPending = false;
        retryAtMicros = nowMicros + pauseMicros;
    }

    public void leaseGranted(long id, long nowMicros) {
        isRequestPending = false;
        leaseId = id;
        leaseRenewedMicros = nowMicros;
    }

    /** @param askedMicros when the renewal was asked for: the lease runs from no earlier than that */
    public void leaseRenewed(long askedMicros) {
        isRequestPending = false;
        leaseRenewedMicros = askedMicros;
    }

    /** The lease ended, and with it the row if it was ours. */
    public void leaseExpired() {
        isRequestPending = false;
        leaseId = 0;
        if (isLeader()) {
            stepDown();
        }
        isRecordKnown = false;
    }

    public void leadershipAcquired(long revision) {
        isRequestPending = false;
        fencingToken = revision;
        recordOwner = label;
        recordVersion = revision;
        isRecordKnown = true;
        leader = label;
        highestFencingToken = Math.max(highestFencingToken, revision);
    }

    public void claimRejected() {
        isRequestPending = false;
        isRecordKnown = false;
    }

    /** The answer to READ_ROW. */
    public void recordRead(String owner, long version) {
        isRequestPending = false;
        recordObserved(owner, version);
    }

    /** The row as read or as watched; version 0 if there is none. */
    public void recordObserved(String owner, long version) {
        isRecordKnown = true;
        recordOwner = owner;
        recordVersion = version;
        if (isLeader() && version != fencingToken) {
            stepDown();
        }
        if (version > 0 && version >= highestFencingToken) {
            highestFencingToken = version;
            leader = owner;
        }
    }

    /** The watch missed changes, or a claim may have been applied without an answer. */
    public void forgetRecord() {
        isRecordKnown = false;
    }

    /** A claim without an answer may have been applied: the row tells. */
    public void claimOutcomeUnknown(long nowMicros) {
        requestFailed(nowMicros, 100 * Micros.MILLISECOND);
        isRecordKnown = false;
    }

    /** A higher token was seen with a worker or told by a sibling: whoever has it leads, not we. */
    public boolean observeToken(long seen, String owner) {
        if (seen <= highestFencingToken && !(isLeader() && seen > fencingToken)) {
            if (seen == highestFencingToken && owner != null) {
                leader = owner;
            }
            return false;
        }
        highestFencingToken = seen;
        if (owner != null) {
            leader = owner;
        }
        boolean was = isLeader();
        if (was) {
            stepDown();
            isRecordKnown = false;
        }
        return was;
    }

    /**
     * Gives the lead up for others who can serve better, and does not claim again at once.
     *
     * @return the lease to end, with which the row goes
     */
    public long resign(long nowMicros, long pauseMicros) {
        long ended = leaseId;
        leaseId = 0;
        isRecordKnown = false;
        noClaimBeforeMicros = nowMicros + pauseMicros;
        stepDown();
        return ended;
    }

    /**
     * Until when the lease runs for certain. A process that stood still may have lost it, and what it asks of the cloud is
     * not fenced.
     */
    public long leaseHeldUntilMicros() {
        return isLeader() ? leaseRenewedMicros + leaseMicros : Long.MIN_VALUE;
    }

    /** Fenced: stops quietly. */
    public void stepDown() {
        fencingToken = 0;
        if (label.equals(leader)) {
            leader = null;
        }
    }
}
