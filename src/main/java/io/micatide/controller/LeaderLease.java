package io.micatide.controller;

import io.micatide.election.LeaderElection;
import io.micatide.model.Micros;
import io.micatide.net.Reply;
import io.micatide.net.StoreClient;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects {@link LeaderElection} with the store: sends the requests that the election needs, watches the leader record, and passes the
 * replies to the election. Part of the leader's actor.
 */
final class LeaderLease {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long WATCH_RETRY_MICROS = 300 * Micros.MILLISECOND;
    private static final long RETRY_MICROS = 200 * Micros.MILLISECOND;
    /** Delay before a claim that was not executed is retried. Shorter than for other requests, since there is no leader until then. */
    private static final long CLAIM_RETRY_MICROS = 100 * Micros.MILLISECOND;

    private static final long MALFORMED_RETRY_MICROS = Micros.SECOND;
    private static final long WATCH_TIMEOUT_MICROS = 20 * Micros.SECOND;
    /** A claim delay that never passes. */
    private static final long NEVER_CLAIM_MICROS = Long.MAX_VALUE;

    private final LeaderActor owner;
    private final String label;
    private final StoreClient store;
    private final LeaderElection election;
    private final RolloutParticipant rollout;
    /** Whether a watch of the leader record is open, or the delay before it is opened again after an error has not passed. */
    private boolean isWatching;
    /** The revision of the store up to which changes of the leader record have been observed. */
    private long watchRevision;
    /** Id of the lease of a leader record that a previous process of this controller wrote; 0 if none is known. */
    private long previousLeaseId;

    /** @param label the label of this controller, which a claim writes into the leader record */
    LeaderLease(
            LeaderActor owner, String label, StoreClient store, LeaderElection election, RolloutParticipant rollout) {
        this.owner = owner;
        this.label = label;
        this.store = store;
        this.election = election;
        this.rollout = rollout;
    }

    /** Allows the watch of the leader record to be opened again, since the delay after an error has passed. */
    void watchDue() {
        isWatching = false;
    }

    /** Returns for how long the leader record has been claimable, in microseconds; -1 if it is not. */
    long claimableForMicros(long now) {
        return election.claimableForMicros(now);
    }

    /**
     * Ends the lease of this controller's previous process, if there is one. That removes the process's leader record, so that warm standbys
     * can claim leadership at once. The previous process no longer runs, which a claim that replaces the controller's own record presumes as
     * well; and the next claim, by any controller, fences the requests that the process had sent.
     */
    void endPreviousLease() {
        if (previousLeaseId != 0 && previousLeaseId != election.leaseId()) {
            LOG.info("ends the lease of its earlier process, a peer is the better leader");
            store.endLease(
                    previousLeaseId,
                    reply -> LOG.debug("lease of the previous process ended: status {}", reply.status()));
        }
        previousLeaseId = 0;
    }

    /**
     * Sends the request that the election needs next, and opens the watch of the leader record if it is not open and the leader is known.
     *
     * @param claimDelayMicros for how long a claimable leader record is left to peers
     */
    void advance(long now, long claimDelayMicros) {
        if (!isWatching && election.leader() != null) {
            watch();
        }
        // A controller must not lead before it has read the stages of features and supports all of them, since it could
        // not read the formats that the store holds.
        long delayMicros = rollout.mayLead() ? claimDelayMicros : NEVER_CLAIM_MICROS;
        switch (election.nextAction(now, delayMicros)) {
            case READ_RECORD -> store.read(StoreKeys.LEADER, owner.onReply(LeaderMessage.LeaderRecordRead::new));
            case GRANT_LEASE ->
                store.grantLease(election.leaseMicros(), owner.onReply(r -> new LeaderMessage.LeaseGranted(r, now)));
            case RENEW_LEASE ->
                store.renewLease(election.leaseId(), owner.onReply(r -> new LeaderMessage.LeaseRenewed(r, now)));
            case CLAIM -> claim();
            case NOTHING -> {}
        }
    }

    private void watch() {
        isWatching = true;
        store.watch(
                StoreKeys.LEADER,
                Math.max(election.recordVersion(), watchRevision),
                WATCH_TIMEOUT_MICROS,
                owner.onReply(LeaderMessage.LeaderRecordObserved::new));
    }

    private void claim() {
        StoredRecord leader = new StoredRecord.Leader(label);
        List<Transaction.Condition> conditions = new ArrayList<>(rollout.claimConditions());
        conditions.add(new Transaction.Condition(StoreKeys.LEADER, election.recordVersion()));
        store.transaction(
                new Transaction(
                        conditions, List.of(new Transaction.Write(StoreKeys.LEADER, leader, election.leaseId()))),
                owner.onReply(LeaderMessage.LeadershipClaimed::new));
    }

    /** Handles a reply of the store about the leader record or the lease. */
    void receive(LeaderMessage.LeaseMessage message) {
        long now = owner.now();
        try {
            if (message instanceof LeaderMessage.LeaderRecordRead m) {
                recordRead(m.reply(), now);
            } else if (message instanceof LeaderMessage.LeaseGranted m) {
                leaseGranted(m.reply(), m.requestSentMicros(), now);
            } else if (message instanceof LeaderMessage.LeaseRenewed m) {
                leaseRenewed(m.reply(), m.requestSentMicros(), now);
            } else if (message instanceof LeaderMessage.LeadershipClaimed m) {
                leadershipClaimed(m.reply(), now);
            } else if (message instanceof LeaderMessage.LeaderRecordObserved m) {
                recordObserved(m.reply());
            }
        } catch (MalformedException e) {
            LOG.error("malformed reply about the leader record: {}", e.getMessage());
            election.requestFailed(now, MALFORMED_RETRY_MICROS);
        }
    }

    private void leaseGranted(Reply reply, long requestSentMicros, long now) throws MalformedException {
        if (reply.ok()) {
            election.leaseGranted(StoreCodec.grantedLeaseId(reply.body()), requestSentMicros);
        } else {
            election.requestFailed(now, RETRY_MICROS);
        }
    }

    private void recordRead(Reply reply, long now) throws MalformedException {
        if (reply.ok()) {
            StoreCodec.Item item = StoreCodec.item(reply.body());
            watchRevision = Math.max(watchRevision, item.version());
            String recordOwner = ((StoredRecord.Leader) item.record()).owner();
            previousLeaseId =
                    label.equals(recordOwner) && !election.isLeader() ? StoreCodec.attachedLeaseId(reply.body()) : 0;
            election.recordRead(recordOwner, item.version());
        } else if (reply.status() == 404) {
            election.recordRead(null, 0);
        } else {
            election.requestFailed(now, RETRY_MICROS);
        }
    }

    private void leaseRenewed(Reply reply, long requestSentMicros, long now) {
        if (reply.ok()) {
            election.leaseRenewed(requestSentMicros);
            owner.leaseRenewed();
        } else if (reply.status() == 404) {
            election.leaseExpired();
        } else {
            election.requestFailed(now, RETRY_MICROS);
        }
    }

    private void leadershipClaimed(Reply reply, long now) throws MalformedException {
        if (reply.ok()) {
            long fencingToken = StoreCodec.revision(reply.body());
            watchRevision = Math.max(watchRevision, fencingToken);
            election.leadershipAcquired(fencingToken);
            owner.startTerm(fencingToken, now);
        } else if (reply.status() == 409) {
            if (StoreCodec.failedKeys(reply.body()).contains(StoreKeys.FEATURE_STAGES)) {
                rollout.newerVersionReported(rollout.featureFlags().version() + 1);
            }
            election.claimRejected();
        } else if (reply.status() == 400) {
            election.leaseExpired();
        } else if (reply.notExecuted()) {
            election.requestFailed(now, CLAIM_RETRY_MICROS);
        } else {
            election.claimOutcomeUnknown(now);
        }
    }

    private void recordObserved(Reply reply) throws MalformedException {
        isWatching = false;
        if (reply.ok()) {
            StoreCodec.Items changes = StoreCodec.changes(reply.body());
            for (StoreCodec.Item item : changes.items()) {
                if (item.version() >= election.recordVersion()) {
                    election.recordObserved(
                            item.record() instanceof StoredRecord.Leader leaderRecord ? leaderRecord.owner() : null,
                            item.record() == null ? 0 : item.version());
                }
            }
            watchRevision = Math.max(watchRevision, changes.revision());
        } else {
            isWatching = true;
            if (reply.status() == 410) {
                watchRevision = 0;
            }
            election.invalidateRecord();
            owner.tellLater(new LeaderMessage.LeaderWatchDue(), WATCH_RETRY_MICROS);
        }
    }
}
