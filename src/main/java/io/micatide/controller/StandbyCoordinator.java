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
 * Who follows whom: a leader's heirs and what it tells them, a follower's place among them and its standby. Part of the leader's actor.
 * Without a standby it appoints nobody, says nothing of its readiness and waits as every version did.
 */
final class StandbyCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final byte[] NOT_A_STANDBY = Json.error(null, "follows nothing");

    private final LeaderActor owner;
    private final Settings settings;
    private final PeerClients peers;
    private final LeaderLease lease;
    /** Null where the operator wants none. */
    private final StandbyActor standby;

    private final ElectionDelay electionDelay;
    private final StandbySelector selector;
    /** Of the present term. */
    private HintSender hintSender;

    StandbyCoordinator(
            LeaderActor owner,
            Settings settings,
            PeerClients siblings,
            LeaderLease claims,
            StandbyActor standby,
            long now) {
        this.owner = owner;
        this.settings = settings;
        this.peers = siblings;
        this.lease = claims;
        this.standby = standby;
        this.electionDelay =
                new ElectionDelay(settings.label(), settings.siblings().size(), now);
        this.selector = new StandbySelector(settings);
    }

    /** Null where the operator wants none. */
    StandbyActor standby() {
        return standby;
    }

    /** @param fencingToken of this controller's term, 0 if it does not lead */
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

    // ---- a follower

    /** For how long a free row is left to others; asks them if this process is cold. */
    long claimDelayMicros(boolean reached, long now) {
        if (standby == null) {
            return ElectionDelay.delayWithoutStandbys(reached);
        }
        long claimable = lease.claimableForMicros(now);
        boolean cold = electionDelay.readiness(now) == StandbyReadiness.COLD;
        if (claimable >= 0 && (cold || !reached)) {
            peers.requestReadiness(now);
            if (cold && electionDelay.hasWarmerPeer(now)) {
                lease.endFormerLease();
            }
        }
        return electionDelay.delayMicros(Math.max(0, claimable), reached, now);
    }

    /** News of who leads by the highest token. */
    void leaderStatusReceived(PeerCodec.LeaderStatus news, long now) {
        electionDelay.standbysDesignated(news.designatedStandbys(), now);
        if (standby != null) {
            standby.tell(new StandbyActor.DesignationChanged(electionDelay.isDesignated()));
        }
    }

    /** Whether this controller is appointed to take over. */
    boolean isDesignated() {
        return electionDelay.isDesignated();
    }

    /** Whether the leader before has just handed over to this controller. */
    boolean wasHandedOver(long now) {
        return electionDelay.hasRecentHandover(now);
    }

    /** What it says of its readiness, null for nothing. */
    StandbyReadiness readiness(long now) {
        return standby == null ? null : electionDelay.readiness(now);
    }

    /** A sibling that answers, of whatever version, has been there for longer than this process. */
    private void readinessAnswered(Reply reply, int sibling, long now) {
        if (reply.status() == 404) {
            electionDelay.peerReadinessReported(sibling, StandbyReadiness.SEASONED, false, now);
        } else if (reply.status() == 0 && !reply.sent()) {
            // Refused: most likely it has ended. It may only be out of sockets, but this is courtesy.
            electionDelay.peerReadinessReported(sibling, StandbyReadiness.COLD, false, now);
        } else if (reply.ok()) {
            try {
                PeerCodec.PeerStatus answer = PeerCodec.peerStatus(reply.body());
                electionDelay.peerReadinessReported(
                        sibling,
                        answer.readiness() == null ? StandbyReadiness.COLD : answer.readiness(),
                        answer.strayAgentAgoMicros() >= 0,
                        now);
            } catch (MalformedException e) {
                LOG.error("sibling: {}", e.getMessage());
            }
        }
    }

    private void hintsReceived(Request request) {
        if (standby == null) {
            request.answer(404, NOT_A_STANDBY);
        } else {
            standby.tell(new StandbyActor.HintsReceived(request));
        }
    }

    /** A leader that ends wants this controller to catch up. */
    private void handoverRequested(Request request, boolean leads, long now) {
        try {
            long revision = PeerCodec.handoverRevision(request.body());
            if (standby == null || leads) {
                request.answer(409, NOT_A_STANDBY);
            } else {
                electionDelay.handoverReceived(now);
                standby.tell(new StandbyActor.HandoverRequested(request, revision));
            }
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    // ---- a leader

    /** A term of this controller begins. */
    void termStarted(long fencingToken, long now) {
        electionDelay.termEnded();
        selector.termStarted(now);
        hintSender = new HintSender(fencingToken, settings.siblings().size());
    }

    /** A sibling answered this term's news. */
    void peerStatusAnswered(int sibling, PeerCodec.PeerStatus answer, long now) {
        selector.peerAnswered(sibling, answer.readiness(), answer.storeReachable(), now);
    }

    /** Whom this term's news appoint, null for nobody yet or ever. */
    List<String> selectStandbys(long now) {
        return standby == null ? null : selector.selectStandbys(now);
    }

    /** Place among the siblings of the heir that could lead at once, or -1. */
    int firstWarmStandby(long now) {
        return selector.firstWarmStandby(now);
    }

    /** Tells the heirs what no row holds. */
    void sendHints(LeaderTerm term, long now) {
        if (!selector.selectedPeers().isEmpty()) {
            hintSender.updateSnapshot(term.hints(now));
            peers.sendHints(selector.selectedPeers(), hintSender, term.fencingToken());
        }
    }

    /** An heir's answer to a part of this term's hints. */
    private void hintsAcknowledged(int sibling, Reply reply) {
        long held = -1;
        try {
            held = reply.ok() ? HintCodec.acknowledgement(reply.body()) : -1;
        } catch (MalformedException e) {
            LOG.error("sibling: {}", e.getMessage());
        }
        hintSender.snapshotAcknowledged(sibling, held);
    }
}
