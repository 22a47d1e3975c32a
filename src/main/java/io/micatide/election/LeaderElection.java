package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Elects the leader by means of one store record that is attached to a lease. The controller that writes the record while it does not
 * exist leads until the lease expires or is revoked, which deletes the record. The revision of that write is the fencing token: every
 * write of the leader is conditional on it, and every command carries it.
 *
 * <p>Invariant: {@link #fencingToken()} is 0 as soon as any observation shows that another controller leads or that the lease has ended.
 *
 * <p>This is a state machine without I/O and without a clock; all times are microseconds on the process's steady clock. Not thread-safe:
 * used by the leader's actor only.
 */
public final class LeaderElection {
    /** The next request to the store. */
    public enum Action {
        /** No request is due, or one is in flight. */
        NOTHING,
        /** Read the leader record. */
        READ_RECORD,
        /** Request a lease. */
        GRANT_LEASE,
        /** Write the leader record, attached to the lease, conditional on {@link #recordVersion()}. */
        CLAIM,
        /** Renew the lease. */
        RENEW_LEASE
    }

    /** Pause after a claim of unknown outcome, before the leader record is read. */
    private static final long OUTCOME_UNKNOWN_PAUSE_MICROS = 100 * Micros.MILLISECOND;
    /** The lease is renewed each time a quarter of it has passed, so that three renewals in a row may fail. */
    private static final int RENEWALS_PER_LEASE = 4;

    private final String label;
    private final long leaseMicros;
    /** The store's identifier of the lease, 0 for none. */
    private long leaseId;
    /** Time at which the grant or the last successful renewal of the lease was requested. */
    private long leaseRenewedMicros;

    private boolean isRequestPending;
    private boolean isRecordKnown;
    private String recordOwner;
    private long recordVersion;
    /** Token of this controller while it leads, else 0. */
    private long fencingToken;

    private long highestFencingToken;
    private String leader;
    private long retryAtMicros;
    /** Time since which the leader record has been claimable, {@link Long#MAX_VALUE} while it is not. */
    private long claimableSinceMicros = Long.MAX_VALUE;
    /** Time until which this controller does not claim leadership after it has resigned. */
    private long noClaimBeforeMicros = Long.MIN_VALUE;

    /**
     * Creates the state of a controller that knows no leader and has no lease.
     *
     * @param label label of this controller, which the leader record names as its owner
     * @param leaseMicros duration of a lease without renewal
     */
    public LeaderElection(String label, long leaseMicros) {
        this.label = label;
        this.leaseMicros = leaseMicros;
    }

    /**
     * Returns the duration of a lease without renewal.
     *
     * @return the duration in microseconds
     */
    public long leaseMicros() {
        return leaseMicros;
    }

    /**
     * Returns the store's identifier of this controller's lease.
     *
     * @return the identifier, 0 while there is no lease
     */
    public long leaseId() {
        return leaseId;
    }

    /**
     * Returns the fencing token of this controller.
     *
     * @return the token, 0 while this controller does not lead
     */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Returns whether this controller leads, as far as it knows.
     *
     * @return true if this controller has a fencing token
     */
    public boolean isLeader() {
        return fencingToken != 0;
    }

    /**
     * Returns the label of the controller that has the highest observed fencing token.
     *
     * @return the label, null if no leader is known
     */
    public String leader() {
        return leader;
    }

    /**
     * Returns the highest fencing token observed from any source.
     *
     * @return the token, 0 if none was observed
     */
    public long highestFencingToken() {
        return highestFencingToken;
    }

    /**
     * Returns the last observed version of the leader record, on which a claim is conditional.
     *
     * @return the version, 0 if there is no record
     */
    public long recordVersion() {
        return recordVersion;
    }

    // ---- next action

    /**
     * Returns the request to send to the store now. The caller has to report the outcome of every action except
     * {@link Action#NOTHING}; until then no other action is returned.
     *
     * @param nowMicros current time
     * @param claimDelayMicros time for which a claimable record is left to controllers that would be better leaders; affects the duration
     *     of the election, never its safety
     * @return the action that is due
     */
    public Action nextAction(long nowMicros, long claimDelayMicros) {
        claimableForMicros(nowMicros);
        if (isRequestPending || nowMicros < retryAtMicros) {
            return Action.NOTHING;
        }
        Action action = chooseAction(nowMicros, claimDelayMicros);
        isRequestPending = action != Action.NOTHING;
        return action;
    }

    /**
     * Returns for how long the leader record has been claimable.
     *
     * @param nowMicros current time
     * @return the duration in microseconds, -1 if the record is not claimable
     */
    public long claimableForMicros(long nowMicros) {
        if (isLeader() || !isRecordKnown || !isClaimable()) {
            claimableSinceMicros = Long.MAX_VALUE;
            return -1;
        }
        claimableSinceMicros = Math.min(claimableSinceMicros, nowMicros);
        return nowMicros - claimableSinceMicros;
    }

    private Action chooseAction(long nowMicros, long claimDelayMicros) {
        if (isLeader()) {
            return renewalIfDue(nowMicros);
        }
        if (!isRecordKnown) {
            return Action.READ_RECORD;
        }
        if (leaseId == 0) {
            return Action.GRANT_LEASE;
        }
        if (isClaimable() && nowMicros >= noClaimBeforeMicros && claimableForMicros(nowMicros) >= claimDelayMicros) {
            return Action.CLAIM;
        }
        return renewalIfDue(nowMicros);
    }

    private Action renewalIfDue(long nowMicros) {
        boolean isDue = leaseId != 0 && nowMicros - leaseRenewedMicros >= leaseMicros / RENEWALS_PER_LEASE;
        return isDue ? Action.RENEW_LEASE : Action.NOTHING;
    }

    /** Returns whether there is no record, or an earlier process of this controller wrote it, which no longer runs. */
    private boolean isClaimable() {
        return recordVersion == 0 || (label.equals(recordOwner) && recordVersion != fencingToken);
    }

    // ---- outcomes of requests

    /**
     * Records that the request in flight failed. The next request is sent after a pause.
     *
     * @param nowMicros current time
     * @param pauseMicros duration of the pause
     */
    public void requestFailed(long nowMicros, long pauseMicros) {
        isRequestPending = false;
        retryAtMicros = nowMicros + pauseMicros;
    }

    /**
     * Records that the store granted a lease.
     *
     * @param id the store's identifier of the lease
     * @param requestSentMicros time at which the lease was requested; the lease begins no earlier
     */
    public void leaseGranted(long id, long requestSentMicros) {
        isRequestPending = false;
        leaseId = id;
        leaseRenewedMicros = requestSentMicros;
    }

    /**
     * Records that the store renewed the lease.
     *
     * @param requestSentMicros time at which the renewal was requested; the renewed lease begins no earlier
     */
    public void leaseRenewed(long requestSentMicros) {
        isRequestPending = false;
        leaseRenewedMicros = requestSentMicros;
    }

    /** Records that the lease has expired, which also deleted the leader record if this controller owned it. */
    public void leaseExpired() {
        isRequestPending = false;
        leaseId = 0;
        if (isLeader()) {
            stepDown();
        }
        isRecordKnown = false;
    }

    /**
     * Records that the claim succeeded: this controller leads.
     *
     * @param revision revision of the write of the leader record, which is the fencing token
     */
    public void leadershipAcquired(long revision) {
        isRequestPending = false;
        fencingToken = revision;
        recordOwner = label;
        recordVersion = revision;
        isRecordKnown = true;
        leader = label;
        highestFencingToken = Math.max(highestFencingToken, revision);
    }

    /** Records that the store rejected the claim: the leader record differs from the one observed. */
    public void claimRejected() {
        isRequestPending = false;
        isRecordKnown = false;
    }

    /**
     * Records that the claim was not answered. The store may have executed it, so the leader record is read next.
     *
     * @param nowMicros current time
     */
    public void claimOutcomeUnknown(long nowMicros) {
        requestFailed(nowMicros, OUTCOME_UNKNOWN_PAUSE_MICROS);
        isRecordKnown = false;
    }

    /**
     * Records the answer to {@link Action#READ_RECORD}.
     *
     * @param owner label in the record, null if there is no record
     * @param version version of the record, 0 if there is no record
     */
    public void recordRead(String owner, long version) {
        isRequestPending = false;
        recordObserved(owner, version);
    }

    // ---- observations

    /**
     * Records the leader record as read or as reported by a watch.
     *
     * @param owner label in the record, null if there is no record
     * @param version version of the record, 0 if there is no record
     */
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

    /** Marks the leader record as unknown after a watch failed or a write was fenced, so that it is read again before a claim. */
    public void invalidateRecord() {
        isRecordKnown = false;
    }

    /**
     * Records a fencing token that a worker or a peer knows. The controller with the highest token leads.
     *
     * @param token the fencing token, 0 for none
     * @param owner label of the controller that has the token, null if unknown
     * @return whether this ended the leadership of this controller
     */
    public boolean observeToken(long token, String owner) {
        if (token <= highestFencingToken && !(isLeader() && token > fencingToken)) {
            if (token == highestFencingToken && owner != null) {
                leader = owner;
            }
            return false;
        }
        highestFencingToken = token;
        if (owner != null) {
            leader = owner;
        }
        boolean wasLeader = isLeader();
        if (wasLeader) {
            stepDown();
            isRecordKnown = false;
        }
        return wasLeader;
    }

    // ---- end of leadership

    /**
     * Resigns in favor of controllers that can serve better, and does not claim leadership again during a pause.
     *
     * @param nowMicros current time
     * @param pauseMicros duration of the pause
     * @return identifier of the lease that the caller has to revoke, which deletes the leader record; 0 if there is none
     */
    public long resign(long nowMicros, long pauseMicros) {
        long endedLeaseId = leaseId;
        leaseId = 0;
        isRecordKnown = false;
        noClaimBeforeMicros = nowMicros + pauseMicros;
        stepDown();
        return endedLeaseId;
    }

    /**
     * Returns the time until which this controller certainly holds the lease. A process that was paused may have lost the lease
     * unnoticed, and the store does not fence its requests to the cloud provider, so those have to be checked against this time.
     *
     * @return the time, {@link Long#MIN_VALUE} while this controller does not lead
     */
    public long leaseHeldUntilMicros() {
        return isLeader() ? leaseRenewedMicros + leaseMicros : Long.MIN_VALUE;
    }

    /** Ends the leadership of this controller after it was fenced. Requests nothing from the store. */
    public void stepDown() {
        fencingToken = 0;
        if (label.equals(leader)) {
            leader = null;
        }
    }
}
