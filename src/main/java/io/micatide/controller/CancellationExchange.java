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
 * What controllers tell each other of cancellations, and the {@link CancellationHorizon} that rests on it. A leader's news ask for it; whatever a
 * sibling names is taken into the copy of the rows first and counted then, so nothing is proved that the term does not act on. Part of
 * the leader's actor.
 */
final class CancellationExchange {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);

    private final Settings settings;
    private final UsersActor users;
    private final CancellationHorizon horizon;
    private long readRevision;
    private boolean isHorizonTooOld;

    CancellationExchange(Settings settings, UsersActor users) {
        this.settings = settings;
        this.users = users;
        this.horizon = new CancellationHorizon(settings);
    }

    /** Up to which the state service has been read: siblings name what came later. */
    long readRevision() {
        return readRevision;
    }

    void storeRead(LeaderMessage.StoreRead message) {
        readRevision = Math.max(readRevision, message.revision());
        horizon.storeRead(message.askedMicros());
    }

    // ---- a leader

    /** A sibling's answer to news that left at {@code askedMicros}. */
    void digestReceived(int sibling, CancellationDigest word, long askedMicros, long now) {
        if (word != null) {
            users.tell(new UsersActor.TakeIn(
                    word.cancelled(), new LeaderMessage.DigestRecorded(sibling, word, askedMicros, now)));
        }
    }

    /** What a sibling named is in the copy, and the term has been told. */
    void digestRecorded(LeaderMessage.DigestRecorded message) {
        if (!horizon.digestReceived(
                message.peer(), message.digest(), message.askedMicros(), message.receivedMicros())) {
            LOG.debug(
                    "{} leaves a gap: lived {} us, whole {}",
                    message.digest().controller(),
                    message.digest().uptimeMicros(),
                    message.digest().complete());
        }
    }

    /** Whether workers may be answered; logs each change. */
    boolean mayAnswerWorkers(long now) {
        boolean may = horizon.mayAnswerWorkers(now);
        if (may == isHorizonTooOld) {
            isHorizonTooOld = !may;
            if (isHorizonTooOld) {
                LOG.warn(
                        "has read no cancellations for too long, and lacks the word of {}: workers are not answered any more",
                        horizon.laggingPeers(now));
            } else {
                LOG.info("knows of all cancellations again: workers are answered");
            }
        }
        return may;
    }

    // ---- a sibling

    /** Answers a leader's news with what this controller knows beyond the leader's last read. */
    void answerPeerStatus(Request request, PeerCodec.Answer answer, PeerCodec.News news) {
        if (news.revision() < 0) {
            request.answer(200, PeerCodec.answer(answer));
        } else {
            users.tell(new UsersActor.Testify(
                    news.revision(), word -> request.answer(200, PeerCodec.answer(answer.with(word)))));
        }
    }

    /** A sibling confirmed a cancellation; nothing rests on it, it only comes sooner than what is asked for. */
    void peerCancellationsReceived(Request request) {
        try {
            users.tell(new UsersActor.TakeIn(PeerCodec.withdrawn(request.body()).jobs(), null));
            request.answer(200, Json.bytes(out -> {
                out.writeStartObject();
                out.writeEndObject();
            }));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    /** Tells whoever leads what was confirmed here. */
    void cancellationConfirmed(CancellationDigest.Cancelled job, String leader, PeerClients siblings) {
        if (leader != null && !leader.equals(settings.label())) {
            siblings.sendCancellations(leader, new PeerCodec.Withdrawn(List.of(job)));
        }
    }
}
