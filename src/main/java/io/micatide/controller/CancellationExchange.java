package io.micatide.controller;

import io.micatide.election.CancellationHorizon;
import io.micatide.model.CancellationDigest;
import io.micatide.model.Settings;
import io.micatide.net.Request;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.PeerCodec;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What controllers tell each other of cancellations, and the {@link CancellationHorizon} that rests on it. A leader's status asks for a
 * digest. Invariant: the jobs of a digest are recorded in the job cache before the horizon counts it, so that a worker is answered only by
 * a term that stops them. Part of the leader's actor.
 */
final class CancellationExchange {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);

    private final Settings settings;
    private final UsersActor users;
    private final CancellationHorizon horizon;
    private long readRevision;
    /** Whether workers went unanswered when it was last asked, so that each change is logged once. */
    private boolean isHorizonTooOld;

    CancellationExchange(Settings settings, UsersActor users) {
        this.settings = settings;
        this.users = users;
        this.horizon = new CancellationHorizon(settings);
    }

    /** The revision up to which the store has been read: a digest names cancellations above it. */
    long readRevision() {
        return readRevision;
    }

    /** The job cache holds all that the store had when the read was sent. */
    void storeRead(LeaderMessage.StoreRead message) {
        readRevision = Math.max(readRevision, message.revision());
        horizon.storeRead(message.askedMicros());
    }

    // ---- the leader's side

    /**
     * A peer answered the status that was sent at {@code askedMicros}; what its digest names is recorded first.
     *
     * @param digest null from a version that gives none
     */
    void digestReceived(int peer, CancellationDigest digest, long requestSentMicros, long now) {
        if (digest != null) {
            users.tell(new UsersActor.CancellationsReceived(
                    digest.cancelled(), new LeaderMessage.DigestRecorded(peer, digest, requestSentMicros, now)));
        }
    }

    /** The jobs of a digest are in the job cache, and the term has been told of them. */
    void digestRecorded(LeaderMessage.DigestRecorded message) {
        if (!horizon.digestReceived(
                message.peer(), message.digest(), message.askedMicros(), message.receivedMicros())) {
            LOG.debug(
                    "cancellation digest of {} leaves a gap: uptime {} us, complete: {}",
                    message.digest().controller(),
                    message.digest().uptimeMicros(),
                    message.digest().complete());
        }
    }

    /** Whether workers may be answered; logs each change. */
    boolean mayAnswerWorkers(long now) {
        boolean mayAnswer = horizon.mayAnswerWorkers(now);
        if (mayAnswer == isHorizonTooOld) {
            isHorizonTooOld = !mayAnswer;
            if (isHorizonTooOld) {
                LOG.warn(
                        "cancellations unknown for too long, no digest without a gap from {}: heartbeats are not answered",
                        horizon.laggingPeers(now));
            } else {
                LOG.info("cancellations known again: heartbeats are answered");
            }
        }
        return mayAnswer;
    }

    // ---- a follower's side

    /** Answers a leader's status, with a digest of what this controller knows beyond the leader's last read if it asks for one. */
    void answerPeerStatus(Request request, PeerCodec.PeerStatus answer, PeerCodec.LeaderStatus status) {
        if (status.revision() < 0) {
            request.answer(200, PeerCodec.peerStatus(answer));
        } else {
            users.tell(new UsersActor.ReadCancellationDigest(
                    status.revision(),
                    digest -> request.answer(200, PeerCodec.peerStatus(answer.withCancellations(digest)))));
        }
    }

    /** A peer confirmed cancellations. The horizon does not count this; it only arrives sooner than the next digest. */
    void peerCancellationsReceived(Request request) {
        try {
            users.tell(new UsersActor.CancellationsReceived(
                    PeerCodec.cancellationNotice(request.body()).jobs(), null));
            request.answer(200, Json.bytes(out -> {
                out.writeStartObject();
                out.writeEndObject();
            }));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    /** Tells the leader, if it is a peer, of a cancellation that was confirmed here; {@code leader} is its label or null. */
    void cancellationConfirmed(CancellationDigest.Cancelled job, String leader, PeerClients peers) {
        if (leader != null && !leader.equals(settings.label())) {
            peers.sendCancellations(leader, new PeerCodec.CancellationNotice(List.of(job)));
        }
    }
}
