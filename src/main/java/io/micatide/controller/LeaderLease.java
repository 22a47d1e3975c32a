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
    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;
    private static final long PAUSE_MICROS = 200 * Micros.MILLISECOND;
    private static final long WATCH_MICROS = 20 * Micros.SECOND;

    private final LeaderActor owner;
    private final String label;
    private final StoreClient state;
    private final LeaderElection leadership;
    private final RolloutParticipant rollout;
    private boolean watching;
    private long watchFrom;
    /** The lease that the row of this controller's former life is attached to, 0 once it is known to be none of that. */
    private long formerLease;

    LeaderLease(
            LeaderActor owner, String label, StoreClient state, LeaderElection leadership, RolloutParticipant rollout) {
        this.owner = owner;
        this.label = label;
        this.state = state;
        this.leadership = leadership;
        this.rollout = rollout;
    }

    /** The watch may be opened again. */
    void watchDue() {
        watching = false;
    }

    /** For how long the row has been there to be claimed, or -1 if it is not. */
    long claimableFor(long now) {
        return leadership.claimableForMicros(now);
    }

    /**
     * Ends the lease of this controller's former life, so that its row goes and others who are warm see it at once. Its process is
     * gone, as for the claim of its own row; and what it had sent is fenced by the next claim either way.
     */
    void leaveFormerRow() {
        if (formerLease != 0 && formerLease != leadership.leaseId()) {
            LOG.info("ends the lease of its former life for others to lead");
            state.endLease(formerLease, reply -> LOG.debug("lease of the former life: {}", reply.status()));
        }
        formerLease = 0;
    }

    /** @param waitsMicros for how long a free row is left to others */
    void advance(long now, long waitsMicros) {
        if (!watching && leadership.leader() != null) {
            watching = true;
            state.watch(
                    StoreKeys.LEADER,
                    Math.max(leadership.rowVersion(), watchFrom),
                    WATCH_MICROS,
                    owner.answer(LeaderActor.Watched::new));
        }
        // Whoever does not know what is stored leads nobody, and while that is not read nobody knows.
        switch (leadership.nextAction(now, rollout.mayLead() ? waitsMicros : Long.MAX_VALUE)) {
            case READ_ROW -> state.read(StoreKeys.LEADER, owner.answer(LeaderActor.RowRead::new));
            case GRANT_LEASE ->
                state.grant(leadership.leaseMicros(), owner.answer(r -> new LeaderActor.Granted(r, now)));
            case RENEW_LEASE -> state.touch(leadership.leaseId(), owner.answer(r -> new LeaderActor.Touched(r, now)));
            case CLAIM -> {
                StoredRecord row = new StoredRecord.Leader(label);
                List<Transaction.Condition> conditions = new ArrayList<>(rollout.claimConditions());
                conditions.add(new Transaction.Condition(StoreKeys.LEADER, leadership.rowVersion()));
                state.transaction(
                        new Transaction(
                                conditions,
                                List.of(new Transaction.Write(StoreKeys.LEADER, row, leadership.leaseId()))),
                        owner.answer(LeaderActor.Claimed::new));
            }
            case NOTHING -> {}
        }
    }

    /** An answer to one of the above. */
    void answered(LeaderActor.Message message) {
        long now = owner.now();
        try {
            if (message instanceof LeaderActor.RowRead m) {
                rowRead(m.reply(), now);
            } else if (message instanceof LeaderActor.Granted m) {
                if (m.reply().ok()) {
                    leadership.leaseGranted(StoreCodec.grantedLeaseId(m.reply().body()), m.askedMicros());
                } else {
                    leadership.requestFailed(now, PAUSE_MICROS);
                }
            } else if (message instanceof LeaderActor.Touched m) {
                touched(m.reply(), m.askedMicros(), now);
            } else if (message instanceof LeaderActor.Claimed m) {
                claimed(m.reply(), now);
            } else if (message instanceof LeaderActor.Watched m) {
                watched(m.reply());
            }
        } catch (MalformedException e) {
            LOG.error("leader row: {}", e.getMessage());
            leadership.requestFailed(now, Micros.SECOND);
        }
    }

    private void rowRead(Reply reply, long now) throws MalformedException {
        if (reply.ok()) {
            StoreCodec.Item item = StoreCodec.item(reply.body());
            watchFrom = Math.max(watchFrom, item.version());
            String rowOwner = ((StoredRecord.Leader) item.record()).owner();
            formerLease =
                    label.equals(rowOwner) && !leadership.isLeader() ? StoreCodec.attachedLeaseId(reply.body()) : 0;
            leadership.rowRead(rowOwner, item.version());
        } else if (reply.status() == 404) {
            leadership.rowRead(null, 0);
        } else {
            leadership.requestFailed(now, PAUSE_MICROS);
        }
    }

    private void touched(Reply reply, long askedMicros, long now) {
        if (reply.ok()) {
            leadership.leaseRenewed(askedMicros);
            owner.leaseRenewed();
        } else if (reply.status() == 404) {
            leadership.leaseExpired();
        } else {
            leadership.requestFailed(now, PAUSE_MICROS);
        }
    }

    private void claimed(Reply reply, long now) throws MalformedException {
        if (reply.ok()) {
            long fencingToken = StoreCodec.revision(reply.body());
            watchFrom = Math.max(watchFrom, fencingToken);
            leadership.leadershipAcquired(fencingToken);
            owner.begin(fencingToken, now);
        } else if (reply.status() == 409) {
            if (StoreCodec.failedKeys(reply.body()).contains(StoreKeys.FEATURE_STAGES)) {
                rollout.newerThere(rollout.switches().version() + 1);
            }
            leadership.claimRejected();
        } else if (reply.status() == 400) {
            leadership.leaseExpired();
        } else if (reply.notExecuted()) {
            leadership.requestFailed(now, 100 * Micros.MILLISECOND);
        } else {
            leadership.claimOutcomeUnknown(now);
        }
    }

    private void watched(Reply reply) throws MalformedException {
        watching = false;
        if (reply.ok()) {
            StoreCodec.Items changes = StoreCodec.changes(reply.body());
            for (StoreCodec.Item item : changes.items()) {
                if (item.version() >= leadership.rowVersion()) {
                    leadership.rowObserved(
                            item.record() instanceof StoredRecord.Leader row ? row.owner() : null,
                            item.record() == null ? 0 : item.version());
                }
            }
            watchFrom = Math.max(watchFrom, changes.revision());
        } else {
            watching = true;
            if (reply.status() == 410) {
                watchFrom = 0;
            }
            leadership.forgetRow();
            owner.tellLater(new LeaderActor.WatchDue(), RETRY_MICROS);
        }
    }
}
