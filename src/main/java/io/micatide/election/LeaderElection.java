package io.micatide.election;

import io.micatide.model.Micros;

/**
 * Leader election by one record of the store that is attached to a lease: whoever writes it while there is none leads until the lease
 * expires or is ended, which removes the record. The revision of that write is the fencing token: every write of the leader is conditional
 * on it and every command carries it.
 *
 * <p>Invariant: {@link #fencingToken()} is 0 as soon as anything observed here says that another controller leads or that the lease is
 * gone. A state machine without input or output and without a clock; all times are microseconds on the process's steady clock. Not
 * thread-safe: used by the leader's actor only.
 */
public final class LeaderElection {
    /** What to ask of the store next. */
    public enum Action {
        /** Nothing is due, or an answer is outstanding. */
        NOTHING,
        /** Read the leader record. */
        READ_RECORD,
        /** Ask for a lease. */
        GRANT_LEASE,
        /** Write the leader record, attached to the lease, on condition of {@link #recordVersion()}. */
        CLAIM,
        /** Renew the lease. */
        RENEW_LEASE
    }

    private static final long OUTCOME_UNKNOWN_PAUSE_MICROS = 100 * Micros.MILLISECOND;
    /** The lease is renewed once a quarter of it has passed, so that three renewals may fail. */
    private static final int RENEWALS_PER_LEASE = 4;

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
    /** After it has resigned this controller leaves the record to others until then. */
    private long noClaimBeforeMicros = Long.MIN_VALUE;

    /**
     * A controller that knows of no leader and has no lease.
     *
     * @param label this controller's label, as the leader record names its owner
     * @param leaseMicros how long a lease lasts without renewal
     */
    public LeaderElection(String label, long leaseMicros) {
        this.label = label;
        this.leaseMicros = leaseMicros;
    }

    /**
     * How long a lease lasts without renewal.
     *
     * @return in microseconds
     */
    public long leaseMicros() {
        return leaseMicros;
    }

    /**
     * The store's identifier of this controller's lease.
     *
     * @return 0 while there is none
     */
    public long leaseId() {
        return leaseId;
    }

    /**
     * The fencing token of this controller.
     *
     * @return 0 while it does not lead
     */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Whether this controller leads, as far as it knows.
     *
     * @return true if it has a fencing token
     */
    public boolean isLeader() {
        return fencingToken != 0;
    }

    /**
     * The label of the leader with the highest fencing token that was observed.
     *
     * @return null if nobody is known to lead
     */
    public String leader() {
        return leader;
    }

    /**
     * The highest fencing token that was observed anywhere.
     *
     * @return 0 if none was
     */
    public long highestFencingToken() {
        return highestFencingToken;
    }

    /**
     * The version of the leader record as last observed, on which a claim is conditional.
     *
     * @return 0 if there is no record
     */
    public long recordVersion() {
        return recordVersion;
    }

    // ---- what to do

    /**
     * What to ask of the store now. Every action but {@link Action#NOTHING} has to be followed by its outcome; until then there is no
     * other.
     *
     * @param nowMicros the time
     * @param claimDelayMicros for how long a record that became claimable is left to controllers that would be better leaders; affects
     *     how fast, never how safely a leader is found
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
     * For how long the leader record has been claimable.
     *
     * @param nowMicros the time
     * @return in microseconds, -1 if it is not claimable
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

    /** There is no record, or it is of this controller before it was restarted: the process that wrote it is gone. */
    private boolean isClaimable() {
        return recordVersion == 0 || (label.equals(recordOwner) && recordVersion != fencingToken);
    }

    // ---- outcomes of requests

    /**
     * The pending request failed; whatever is due then is asked for again after a pause.
     *
     * @param nowMicros the time
     * @param pauseMicros for how long nothing is asked for
     */
    public void requestFailed(long nowMicros, long pauseMicros) {
        isRequestPending = false;
        retryAtMicros = nowMicros + pauseMicros;
    }

    /**
     * The store granted a lease.
     *
     * @param id the store's identifier of it
     * @param requestSentMicros when it was asked for: the lease runs from no earlier than that
     */
    public void leaseGranted(long id, long requestSentMicros) {
        isRequestPending = false;
        leaseId = id;
        leaseRenewedMicros = requestSentMicros;
    }

    /**
     * The store renewed the lease.
     *
     * @param requestSentMicros when the renewal was asked for: the lease runs from no earlier than that
     */
    public void leaseRenewed(long requestSentMicros) {
        isRequestPending = false;
        leaseRenewedMicros = requestSentMicros;
    }

    /** The lease has expired, and with it the leader record if it was ours. */
    public void leaseExpired() {
        isRequestPending = false;
        leaseId = 0;
        if (isLeader()) {
            stepDown();
        }
        isRecordKnown = false;
    }

    /**
     * The claim succeeded: this controller leads.
     *
     * @param revision of the write of the leader record, which is the fencing token
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

    /** The claim was refused: the leader record is not as it was observed. */
    public void claimRejected() {
        isRequestPending = false;
        isRecordKnown = false;
    }

    /**
     * The claim was not answered and may have been executed: the leader record has to be read.
     *
     * @param nowMicros the time
     */
    public void claimOutcomeUnknown(long nowMicros) {
        requestFailed(nowMicros, OUTCOME_UNKNOWN_PAUSE_MICROS);
        isRecordKnown = false;
    }

    /**
     * The answer to {@link Action#READ_RECORD}.
     *
     * @param owner the label in the record, null if there is no record
     * @param version of the record, 0 if there is none
     */
    public void recordRead(String owner, long version) {
        isRequestPending = false;
        recordObserved(owner, version);
    }

    // ---- observations

    /**
     * The leader record as read or as a watch shows it.
     *
     * @param owner the label in the record, null if there is no record
     * @param version of the record, 0 if there is none
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

    /** The leader record may have changed unseen, since a watch failed or a write was fenced: it is read again before a claim. */
    public void invalidateRecord() {
        isRecordKnown = false;
    }

    /**
     * A worker or a peer knows this fencing token. Whoever has the highest one leads.
     *
     * @param token the fencing token, 0 for none
     * @param owner the label of the controller that has it, null if that is not known
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

    // ---- giving leadership up

    /**
     * Gives leadership up to others that can serve better, and leaves the record to them for a while.
     *
     * @param nowMicros the time
     * @param pauseMicros for how long this controller does not claim
     * @return the lease to end, with which the leader record goes; 0 if there is none
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
     * Until when the lease runs for certain. A paused process may have lost it without knowing, and its requests to the cloud provider
     * are not fenced by the store.
     *
     * @return a time, {@link Long#MIN_VALUE} while this controller does not lead
     */
    public long leaseHeldUntilMicros() {
        return isLeader() ? leaseRenewedMicros + leaseMicros : Long.MIN_VALUE;
    }

    /** Ends the leadership of this controller, which was fenced; asks for nothing. */
    public void stepDown() {
        fencingToken = 0;
        if (label.equals(leader)) {
            leader = null;
        }
    }
}
