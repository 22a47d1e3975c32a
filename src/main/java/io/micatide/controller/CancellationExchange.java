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
 * Exchanges cancellations with peers and feeds the {@link CancellationHorizon} with the digests that they send; a leader's status requests
 * a digest. Invariant: the jobs of a digest are recorded in the job cache before the horizon counts the digest, so that only a term that
 * stops these jobs answers workers. Part of the leader's actor.
 */
final class CancellationExchange {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);

    private final Settings settings;
    private final UsersActor users;
    private final CancellationHorizon horizon;
    private long readRevision;
    /** Whether the last call of {@link #mayAnswerWorkers} returned false; used to log each change once. */
    private boolean isHorizonTooOld;

    CancellationExchange(Settings settings, UsersActor users) {
        this.settings = settings;
        this.users = users;
        this.horizon = new CancellationHorizon(settings);
    }

    /** Returns the revision up to which the store has been read; a digest names the cancellations above it. */
    long readRevision() {
        return readRevision;
    }

    /** Records that the job cache holds everything that the store held when the read was sent. */
    void storeRead(LeaderMessage.StoreRead message) {
        readRevision = Math.max(readRevision, message.revision());
        horizon.storeRead(message.requestSentMicros());
    }

    // ---- the leader's side

    /**
     * Sends the jobs of a peer's digest to the job cache. The horizon counts the digest in {@link #digestRecorded}, after they are recorded.
     *
     * @param digest null from a version that sends none
     * @param requestSentMicros time at which the status was sent that the peer answered
     */
    void digestReceived(int peer, CancellationDigest digest, long requestSentMicros, long now) {
        if (digest != null) {
            users.tell(new UsersActor.CancellationsReceived(
                    digest.cancelled(), new LeaderMessage.DigestRecorded(peer, digest, requestSentMicros, now)));
        }
    }

    /** Counts a digest whose jobs are recorded in the job cache and have been reported to the term. */
    void digestRecorded(LeaderMessage.DigestRecorded message) {
        if (!horizon.digestReceived(
                message.peer(), message.digest(), message.requestSentMicros(), message.receivedMicros())) {
            LOG.debug(
                    "cancellation digest of {} has a gap: uptime {} us, complete: {}",
                    message.digest().controller(),
                    message.digest().uptimeMicros(),
                    message.digest().complete());
        }
    }

    /** Returns whether workers may be answered, and logs each change. */
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

    /** Answers a leader's status, with a digest of the cancellations above the leader's last read revision if the leader requests one. */
    void answerPeerStatus(Request request, PeerCodec.PeerStatus answer, PeerCodec.LeaderStatus status) {
        if (status.revision() < 0) {
            request.answer(200, PeerCodec.peerStatus(answer));
        } else {
            users.tell(new UsersActor.ReadCancellationDigest(
                    status.revision(),
                    digest -> request.answer(200, PeerCodec.peerStatus(answer.withCancellations(digest)))));
        }
    }

    /** Records cancellations that a peer confirmed. They only arrive sooner than the peer's next digest; the horizon does not count them. */
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

    /**
     * Sends a cancellation that this controller confirmed to the leader, if the leader is a peer.
     *
     * @param leader label of the leader, null if unknown
     */
    void cancellationConfirmed(CancellationDigest.Cancelled job, String leader, PeerClients peers) {
        if (leader != null && !leader.equals(settings.label())) {
            peers.sendCancellations(leader, new PeerCodec.CancellationNotice(List.of(job)));
        }
    }
}
