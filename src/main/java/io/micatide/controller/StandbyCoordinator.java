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
    private static final byte[] FOLLOWS_NOTHING = Json.error(null, "follows nothing");

    private final LeaderActor owner;
    private final Settings settings;
    private final PeerChannel siblings;
    private final LeaderLease claims;
    /** Null where the operator wants none. */
    private final StandbyActor standby;

    private final ElectionDelay succession;
    private final StandbySelector heirs;
    /** Of the present term. */
    private HintSender hints;

    StandbyCoordinator(
            LeaderActor owner,
            Settings settings,
            PeerChannel siblings,
            LeaderLease claims,
            StandbyActor standby,
            long now) {
        this.owner = owner;
        this.settings = settings;
        this.siblings = siblings;
        this.claims = claims;
        this.standby = standby;
        this.succession =
                new ElectionDelay(settings.label(), settings.siblings().size(), now);
        this.heirs = new StandbySelector(settings);
    }

    /** Null where the operator wants none. */
    StandbyActor standby() {
        return standby;
    }

    /** @param fencingToken of this controller's term, 0 if it does not lead */
    void receive(StandbyMessage message, long fencingToken) {
        long now = owner.now();
        if (message instanceof StandbyMessage.CopyIs m) {
            succession.setReplicaComplete(m.whole());
        } else if (message instanceof StandbyMessage.WarmthTold m) {
            warmthTold(m.reply(), m.sibling(), now);
        } else if (message instanceof StandbyMessage.TakeHandOver m) {
            takeHandOver(m.request(), fencingToken != 0, now);
        } else if (message instanceof StandbyMessage.TakeHints m) {
            takeHints(m.request());
        } else if (message instanceof StandbyMessage.HintsAnswered m && m.fencingToken() == fencingToken) {
            hintsAnswered(m.sibling(), m.reply());
        }
    }

    // ---- a follower

    /** For how long a free row is left to others; asks them if this process is cold. */
    long waits(boolean reached, long now) {
        if (standby == null) {
            return ElectionDelay.delayWithoutStandbys(reached);
        }
        long claimable = claims.claimableFor(now);
        boolean cold = succession.readiness(now) == StandbyReadiness.COLD;
        if (claimable >= 0 && (cold || !reached)) {
            siblings.askWarmth(now);
            if (cold && succession.hasWarmerPeer(now)) {
                claims.leaveFormerRow();
            }
        }
        return succession.delayMicros(Math.max(0, claimable), reached, now);
    }

    /** News of who leads by the highest token. */
    void told(PeerCodec.LeaderStatus news, long now) {
        succession.standbysDesignated(news.designatedStandbys(), now);
        if (standby != null) {
            standby.tell(new StandbyActor.DesignationChanged(succession.isDesignated()));
        }
    }

    /** Whether this controller is appointed to take over. */
    boolean appointed() {
        return succession.isDesignated();
    }

    /** Whether the leader before has just handed over to this controller. */
    boolean handedOver(long now) {
        return succession.hasRecentHandover(now);
    }

    /** What it says of its readiness, null for nothing. */
    StandbyReadiness readiness(long now) {
        return standby == null ? null : succession.readiness(now);
    }

    /** A sibling that answers, of whatever version, has been there for longer than this process. */
    private void warmthTold(Reply reply, int sibling, long now) {
        if (reply.status() == 404) {
            succession.peerReadinessReported(sibling, StandbyReadiness.SEASONED, false, now);
        } else if (reply.status() == 0 && !reply.sent()) {
            // Refused: most likely it has ended. It may only be out of sockets, but this is courtesy.
            succession.peerReadinessReported(sibling, StandbyReadiness.COLD, false, now);
        } else if (reply.ok()) {
            try {
                PeerCodec.PeerStatus answer = PeerCodec.peerStatus(reply.body());
                succession.peerReadinessReported(
                        sibling,
                        answer.readiness() == null ? StandbyReadiness.COLD : answer.readiness(),
                        answer.strayAgentAgoMicros() >= 0,
                        now);
            } catch (MalformedException e) {
                LOG.error("sibling: {}", e.getMessage());
            }
        }
    }

    private void takeHints(Request request) {
        if (standby == null) {
            request.answer(404, FOLLOWS_NOTHING);
        } else {
            standby.tell(new StandbyActor.HintsReceived(request));
        }
    }

    /** A leader that ends wants this controller to catch up. */
    private void takeHandOver(Request request, boolean leads, long now) {
        try {
            long revision = PeerCodec.handoverRevision(request.body());
            if (standby == null || leads) {
                request.answer(409, FOLLOWS_NOTHING);
            } else {
                succession.handoverReceived(now);
                standby.tell(new StandbyActor.HandoverRequested(request, revision));
            }
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    // ---- a leader

    /** A term of this controller begins. */
    void begin(long fencingToken, long now) {
        succession.termEnded();
        heirs.termStarted(now);
        hints = new HintSender(fencingToken, settings.siblings().size());
    }

    /** A sibling answered this term's news. */
    void heard(int sibling, PeerCodec.PeerStatus answer, long now) {
        heirs.peerAnswered(sibling, answer.readiness(), answer.storeReachable(), now);
    }

    /** Whom this term's news appoint, null for nobody yet or ever. */
    List<String> appoint(long now) {
        return standby == null ? null : heirs.selectStandbys(now);
    }

    /** Place among the siblings of the heir that could lead at once, or -1. */
    int firstHeir(long now) {
        return heirs.firstWarmStandby(now);
    }

    /** Tells the heirs what no row holds. */
    void tellHints(LeaderTerm term, long now) {
        if (!heirs.selectedPeers().isEmpty()) {
            hints.updateSnapshot(term.hints(now));
            siblings.hints(heirs.selectedPeers(), hints, term.fencingToken());
        }
    }

    /** An heir's answer to a part of this term's hints. */
    private void hintsAnswered(int sibling, Reply reply) {
        long held = -1;
        try {
            held = reply.ok() ? HintCodec.acknowledgement(reply.body()) : -1;
        } catch (MalformedException e) {
            LOG.error("sibling: {}", e.getMessage());
        }
        hints.snapshotAcknowledged(sibling, held);
    }
}
