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

/** What {@link LeaderElection} constraints of the state service, and what becomes of it. Part of the leader's actor. */
final class LeaderLease {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long WATCH_RETRY_MICROS = 300 * Micros.MILLISECOND;
    private static final long RETRY_MICROS = 200 * Micros.MILLISECOND;
    private static final long WATCH_TIMEOUT_MICROS = 20 * Micros.SECOND;

    private final LeaderActor owner;
    private final String label;
    private final StoreClient store;
    private final LeaderElection election;
    private final RolloutParticipant rollout;
    private boolean isWatching;
    private long watchRevision;
    /** The lease that the row of this controller's former life is attached to, 0 once it is known to be none of that. */
    private long formerLeaseId;

    LeaderLease(
            LeaderActor owner, String label, StoreClient state, LeaderElection leadership, RolloutParticipant rollout) {
        this.owner = owner;
        this.label = label;
        this.store = state;
        this.election = leadership;
        this.rollout = rollout;
    }

    /** The watch may be opened again. */
    void watchDue() {
        isWatching = false;
    }

    /** For how long the row has been there to be claimed, or -1 if it is not. */
    long claimableForMicros(long now) {
        return election.claimableForMicros(now);
    }

    /**
     * Ends the lease of this controller's former life, so that its row goes and others who are warm see it at once. Its process is
     * gone, as for the claim of its own row; and what it had sent is fenced by the next claim either way.
     */
    void endFormerLease() {
        if (formerLeaseId != 0 && formerLeaseId != election.leaseId()) {
            LOG.info("ends the lease of its former life for others to lead");
            store.endLease(formerLeaseId, reply -> LOG.debug("lease of the former life: {}", reply.status()));
        }
        formerLeaseId = 0;
    }

    /** @param waitsMicros for how long a free row is left to others */
    void advance(long now, long waitsMicros) {
        if (!isWatching && election.leader() != null) {
            isWatching = true;
            store.watch(
                    StoreKeys.LEADER,
                    Math.max(election.recordVersion(), watchRevision),
                    WATCH_TIMEOUT_MICROS,
                    owner.answer(LeaderMessage.LeaderRecordObserved::new));
        }
        // Whoever does not know what is stored leads nobody, and while that is not read nobody knows.
        switch (election.nextAction(now, rollout.mayLead() ? waitsMicros : Long.MAX_VALUE)) {
            case READ_RECORD -> store.read(StoreKeys.LEADER, owner.answer(LeaderMessage.LeaderRecordRead::new));
            case GRANT_LEASE ->
                store.grant(election.leaseMicros(), owner.answer(r -> new LeaderMessage.LeaseGranted(r, now)));
            case RENEW_LEASE ->
                store.touch(election.leaseId(), owner.answer(r -> new LeaderMessage.LeaseRenewed(r, now)));
            case CLAIM -> {
                StoredRecord row = new StoredRecord.Leader(label);
                List<Transaction.Condition> conditions = new ArrayList<>(rollout.claimConditions());
                conditions.add(new Transaction.Condition(StoreKeys.LEADER, election.recordVersion()));
                store.transaction(
                        new Transaction(
                                conditions, List.of(new Transaction.Write(StoreKeys.LEADER, row, election.leaseId()))),
                        owner.answer(LeaderMessage.LeadershipClaimed::new));
            }
            case NOTHING -> {}
        }
    }

    /** Handles an answer of the store about the leader record or the lease. */
    void receive(LeaderMessage.LeaseMessage message) {
        long now = owner.now();
        try {
            if (message instanceof LeaderMessage.LeaderRecordRead m) {
                recordRead(m.reply(), now);
            } else if (message instanceof LeaderMessage.LeaseGranted m) {
                if (m.reply().ok()) {
                    election.leaseGranted(StoreCodec.granted(m.reply().body()), m.askedMicros());
                } else {
                    election.requestFailed(now, RETRY_MICROS);
                }
            } else if (message instanceof LeaderMessage.LeaseRenewed m) {
                leaseRenewed(m.reply(), m.askedMicros(), now);
            } else if (message instanceof LeaderMessage.LeadershipClaimed m) {
                leadershipClaimed(m.reply(), now);
            } else if (message instanceof LeaderMessage.LeaderRecordObserved m) {
                recordObserved(m.reply());
            }
        } catch (MalformedException e) {
            LOG.error("leader row: {}", e.getMessage());
            election.requestFailed(now, Micros.SECOND);
        }
    }

    private void recordRead(Reply reply, long now) throws MalformedException {
        if (reply.ok()) {
            StoreCodec.Item item = StoreCodec.item(reply.body());
            watchRevision = Math.max(watchRevision, item.version());
            String rowOwner = ((StoredRecord.Leader) item.row()).owner();
            formerLeaseId = label.equals(rowOwner) && !election.isLeader() ? StoreCodec.hold(reply.body()) : 0;
            election.recordRead(rowOwner, item.version());
        } else if (reply.status() == 404) {
            election.recordRead(null, 0);
        } else {
            election.requestFailed(now, RETRY_MICROS);
        }
    }

    private void leaseRenewed(Reply reply, long askedMicros, long now) {
        if (reply.ok()) {
            election.leaseRenewed(askedMicros);
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
            if (StoreCodec.failed(reply.body()).contains(StoreKeys.FEATURE_STAGES)) {
                rollout.newerVersionReported(rollout.featureFlags().version() + 1);
            }
            election.claimRejected();
        } else if (reply.status() == 400) {
            election.leaseExpired();
        } else if (reply.notExecuted()) {
            election.requestFailed(now, 100 * Micros.MILLISECOND);
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
                            item.row() instanceof StoredRecord.Leader row ? row.owner() : null,
                            item.row() == null ? 0 : item.version());
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
