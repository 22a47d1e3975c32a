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
 * Sends what {@link LeaderElection} asks of the store, keeps a watch on the leader record, and tells the election what came of it. Part of
 * the leader's actor.
 */
final class LeaderLease {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long WATCH_RETRY_MICROS = 300 * Micros.MILLISECOND;
    private static final long RETRY_MICROS = 200 * Micros.MILLISECOND;
    /** A claim that was not executed is repeated sooner than other requests: nobody leads meanwhile. */
    private static final long CLAIM_RETRY_MICROS = 100 * Micros.MILLISECOND;

    private static final long MALFORMED_RETRY_MICROS = Micros.SECOND;
    private static final long WATCH_TIMEOUT_MICROS = 20 * Micros.SECOND;
    private static final long NEVER_CLAIM_MICROS = Long.MAX_VALUE;

    private final LeaderActor owner;
    private final String label;
    private final StoreClient store;
    private final LeaderElection election;
    private final RolloutParticipant rollout;
    private boolean isWatching;
    /** Changes of the leader record up to this revision have been observed. */
    private long watchRevision;
    /** The lease of the leader record that an earlier process of this controller wrote, 0 if there is none as far as is known. */
    private long previousLeaseId;

    /** @param label of this controller, which a claim writes into the leader record */
    LeaderLease(
            LeaderActor owner, String label, StoreClient store, LeaderElection election, RolloutParticipant rollout) {
        this.owner = owner;
        this.label = label;
        this.store = store;
        this.election = election;
        this.rollout = rollout;
    }

    /** The watch may be opened again. */
    void watchDue() {
        isWatching = false;
    }

    /** For how long the leader record has been claimable, or -1 if it is not. */
    long claimableForMicros(long now) {
        return election.claimableForMicros(now);
    }

    /**
     * Ends the lease of this controller's earlier process, so that its leader record goes and warm standbys see it at once. That process is
     * gone, as for a claim in place of its own record; and what it had sent is fenced by the next claim either way.
     */
    void endPreviousLease() {
        if (previousLeaseId != 0 && previousLeaseId != election.leaseId()) {
            LOG.info("ends the lease of its earlier process, a peer is the better leader");
            store.endLease(previousLeaseId, reply -> LOG.debug("lease of the earlier process: {}", reply.status()));
        }
        previousLeaseId = 0;
    }

    /**
     * Sends what is due.
     *
     * @param claimDelayMicros for how long a claimable record is left to peers
     */
    void advance(long now, long claimDelayMicros) {
        if (!isWatching && election.leader() != null) {
            watch();
        }
        // A controller that does not know which formats the store holds must not lead, and none knows that before it
        // has read it.
        long delayMicros = rollout.mayLead() ? claimDelayMicros : NEVER_CLAIM_MICROS;
        switch (election.nextAction(now, delayMicros)) {
            case READ_RECORD -> store.read(StoreKeys.LEADER, owner.onReply(LeaderMessage.LeaderRecordRead::new));
            case GRANT_LEASE ->
                store.grant(election.leaseMicros(), owner.onReply(r -> new LeaderMessage.LeaseGranted(r, now)));
            case RENEW_LEASE ->
                store.touch(election.leaseId(), owner.onReply(r -> new LeaderMessage.LeaseRenewed(r, now)));
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

    /** Handles an answer of the store about the leader record or the lease. */
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
            LOG.error("malformed answer about the leader record: {}", e.getMessage());
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
            election.forgetRecord();
            owner.tellLater(new LeaderMessage.LeaderWatchDue(), WATCH_RETRY_MICROS);
        }
    }
}
