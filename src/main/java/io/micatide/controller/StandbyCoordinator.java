package io.micatide.controller;

import io.micatide.model.Settings;
import io.micatide.model.StandbyReadiness;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.protocol.HintCodec;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.PeerCodec;
import io.micatide.standby.ElectionDelay;
import io.micatide.standby.HintSender;
import io.micatide.standby.StandbySelector;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Coordinates designated standbys. On a leader it selects the standbys and sends them hints; on a follower it keeps whether the follower is
 * designated, how ready it is to lead and how long it leaves a claimable leader record to peers. Where standbys are switched off (see
 * {@link #standbyActor()}), this controller selects none, does not report its readiness, and delays its claim as versions without standbys do.
 * Part of the leader's actor.
 */
final class StandbyCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final byte[] NOT_A_STANDBY = Json.error(null, "follows nothing");
    /** Passed to {@link HintSender#snapshotAcknowledged} if the standby did not answer or its answer was malformed. */
    private static final long NONE_HELD = -1;

    private final LeaderActor owner;
    private final Settings settings;
    private final PeerClients peers;
    private final LeaderLease lease;
    /** Null where the operator has switched standbys off. */
    private final StandbyActor standbyActor;

    private final ElectionDelay electionDelay;
    private final StandbySelector selector;
    /** Sends the hints of the current term; null before this controller's first term. */
    private HintSender hintSender;

    /** @param standbyActor null where the operator has switched standbys off */
    StandbyCoordinator(
            LeaderActor owner, Settings settings, PeerClients peers, LeaderLease lease, StandbyActor standbyActor) {
        this.owner = owner;
        this.settings = settings;
        this.peers = peers;
        this.lease = lease;
        this.standbyActor = standbyActor;
        this.electionDelay =
                new ElectionDelay(settings.label(), settings.peers().size(), owner.now());
        this.selector = new StandbySelector(settings);
    }

    /** Returns the actor that replicates the leader's records, null where the operator has switched standbys off. */
    StandbyActor standbyActor() {
        return standbyActor;
    }

    /**
     * Handles one message.
     *
     * @param message the message
     * @param fencingToken of this controller's term, 0 if it does not lead
     */
    void receive(StandbyMessage message, long fencingToken) {
        long now = owner.now();
        if (message instanceof StandbyMessage.ReplicaStateChanged m) {
            electionDelay.setReplicaComplete(m.isComplete());
        } else if (message instanceof StandbyMessage.ReadinessAnswered m) {
            readinessAnswered(m.reply(), m.peer(), now);
        } else if (message instanceof StandbyMessage.HandoverRequested m) {
            handoverRequested(m.request(), fencingToken != 0, now);
        } else if (message instanceof StandbyMessage.HintsReceived m) {
            hintsReceived(m.request());
        } else if (message instanceof StandbyMessage.HintsAcknowledged m && m.fencingToken() == fencingToken) {
            hintsAcknowledged(m.peer(), m.reply());
        }
    }

    // ---- a follower's side

    /**
     * Returns for how long this controller leaves a claimable leader record to peers, in microseconds. If peers may be better leaders, requests
     * their readiness; a cold controller ends the lease of its own earlier process once a warmer peer has answered.
     *
     * @param hasWorkers whether workers reach this controller
     */
    long claimDelayMicros(boolean hasWorkers, long now) {
        if (standbyActor == null) {
            return ElectionDelay.delayWithoutStandbys(hasWorkers);
        }
        long claimableForMicros = lease.claimableForMicros(now);
        boolean isCold = electionDelay.readiness(now) == StandbyReadiness.COLD;
        if (claimableForMicros >= 0 && (isCold || !hasWorkers)) {
            peers.requestReadiness(now);
            if (isCold && electionDelay.hasWarmerPeer(now)) {
                lease.endPreviousLease();
            }
        }
        return electionDelay.delayMicros(Math.max(0, claimableForMicros), hasWorkers, now);
    }

    /** Applies the designation in a status of the controller with the highest fencing token. */
    void leaderStatusReceived(PeerCodec.LeaderStatus status, long now) {
        electionDelay.standbysDesignated(status.designatedStandbys(), now);
        if (standbyActor != null) {
            standbyActor.tell(new StandbyActor.DesignationChanged(electionDelay.isDesignated()));
        }
    }

    /** Returns whether the leader has designated this controller as a standby. */
    boolean isDesignated() {
        return electionDelay.isDesignated();
    }

    /** Returns whether the previous leader has just handed over to this controller. */
    boolean wasHandedOver(long now) {
        return electionDelay.hasRecentHandover(now);
    }

    /** Returns how ready this controller is to lead, null where the operator has switched standbys off. */
    StandbyReadiness readiness(long now) {
        return standbyActor == null ? null : electionDelay.readiness(now);
    }

    /**
     * Records the readiness of a peer. A peer that answers 404 is of a previous version, which does not report readiness. It counts as
     * {@code SEASONED}, since it has been running for longer than this process.
     */
    private void readinessAnswered(Reply reply, int peer, long now) {
        if (reply.status() == 404) {
            electionDelay.peerReadinessReported(peer, StandbyReadiness.SEASONED, false, now);
        } else if (reply.status() == 0 && !reply.sent()) {
            // The connection was refused, most likely because the peer's process has ended. The peer may merely be out
            // of sockets, but safety does not depend on the delay.
            electionDelay.peerReadinessReported(peer, StandbyReadiness.COLD, false, now);
        } else if (reply.ok()) {
            try {
                PeerCodec.PeerStatus answer = PeerCodec.peerStatus(reply.body());
                electionDelay.peerReadinessReported(
                        peer,
                        answer.readiness() == null ? StandbyReadiness.COLD : answer.readiness(),
                        answer.workerLostLeaderAgoMicros() >= 0,
                        now);
            } catch (MalformedException e) {
                LOG.error("peer {}: malformed readiness: {}", peer, e.getMessage());
            }
        }
    }

    private void hintsReceived(Request request) {
        if (standbyActor == null) {
            request.answer(404, NOT_A_STANDBY);
        } else {
            standbyActor.tell(new StandbyActor.HintsReceived(request));
        }
    }

    /** Passes a leader's request for a handover to the standby, which answers it once it has caught up. */
    private void handoverRequested(Request request, boolean isLeader, long now) {
        try {
            long revision = PeerCodec.handoverRevision(request.body());
            if (standbyActor == null || isLeader) {
                request.answer(409, NOT_A_STANDBY);
            } else {
                electionDelay.handoverReceived(now);
                standbyActor.tell(new StandbyActor.HandoverRequested(request, revision));
            }
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    // ---- the leader's side

    /** Prepares for a new term of this controller. */
    void termStarted(long fencingToken, long now) {
        electionDelay.termEnded();
        selector.termStarted(now);
        hintSender = new HintSender(fencingToken, settings.peers().size());
    }

    /** Records a peer's answer to this term's status. */
    void peerStatusAnswered(int peer, PeerCodec.PeerStatus answer, long now) {
        selector.peerAnswered(peer, answer.readiness(), answer.storeReachable(), now);
    }

    /**
     * Returns the labels of the standbys that this term's status designates, the first one to take over first; null if none are selected yet or
     * standbys are switched off.
     */
    List<String> selectStandbys(long now) {
        return standbyActor == null ? null : selector.selectStandbys(now);
    }

    /** Returns the index among the peers of the first designated standby that could lead at once, or -1. */
    int firstWarmStandby(long now) {
        return selector.firstWarmStandby(now);
    }

    /** Sends the designated standbys the leader's hints: state that no record of the store holds. */
    void sendHints(LeaderTerm term, long now) {
        if (!selector.selectedPeers().isEmpty()) {
            hintSender.updateSnapshot(term.hints(now));
            peers.sendHints(selector.selectedPeers(), hintSender, term.fencingToken());
        }
    }

    /** Records the answer of a standby to a batch of this term's hints: the number of the last complete set that it holds. */
    private void hintsAcknowledged(int peer, Reply reply) {
        long heldNumber = NONE_HELD;
        try {
            heldNumber = reply.ok() ? HintCodec.acknowledgement(reply.body()) : NONE_HELD;
        } catch (MalformedException e) {
            LOG.error("peer {}: malformed answer to hints: {}", peer, e.getMessage());
        }
        hintSender.snapshotAcknowledged(peer, heldNumber);
    }
}
