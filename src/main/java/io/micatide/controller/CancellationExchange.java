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
    private final CancellationHorizon proof;
    private long revision;
    private boolean stopped;

    CancellationExchange(Settings settings, UsersActor users) {
        this.settings = settings;
        this.users = users;
        this.proof = new CancellationHorizon(settings);
    }

    /** Up to which the state service has been read: siblings name what came later. */
    long revision() {
        return revision;
    }

    void fresh(LeaderActor.StateFresh message) {
        revision = Math.max(revision, message.revision());
        proof.storeRead(message.askedMicros());
    }

    // ---- a leader

    /** A sibling's answer to news that left at {@code askedMicros}. */
    void heard(int sibling, CancellationDigest word, long askedMicros, long now) {
        if (word != null) {
            users.tell(new UsersActor.CancellationsReceived(
                    word.cancelled(), new LeaderActor.TakenIn(sibling, word, askedMicros, now)));
        }
    }

    /** What a sibling named is in the copy, and the term has been told. */
    void takenIn(LeaderActor.TakenIn message) {
        if (!proof.digestReceived(message.sibling(), message.word(), message.askedMicros(), message.heardMicros())) {
            LOG.debug(
                    "{} leaves a gap: lived {} us, whole {}",
                    message.word().controller(),
                    message.word().uptimeMicros(),
                    message.word().complete());
        }
    }

    /** Whether workers may be answered; logs each change. */
    boolean mayAnswer(long now) {
        boolean may = proof.mayAnswerWorkers(now);
        if (may == stopped) {
            stopped = !may;
            if (stopped) {
                LOG.warn(
                        "has read no cancellations for too long, and lacks the word of {}: workers are not answered any more",
                        proof.laggingControllers(now));
            } else {
                LOG.info("knows of all cancellations again: workers are answered");
            }
        }
        return may;
    }

    // ---- a sibling

    /** Answers a leader's news with what this controller knows beyond the leader's last read. */
    void answer(Request request, PeerCodec.Answer answer, PeerCodec.News news) {
        if (news.revision() < 0) {
            request.answer(200, PeerCodec.answer(answer));
        } else {
            users.tell(new UsersActor.ReadCancellationDigest(
                    news.revision(), word -> request.answer(200, PeerCodec.answer(answer.with(word)))));
        }
    }

    /** A sibling confirmed a cancellation; nothing rests on it, it only comes sooner than what is asked for. */
    void takeWithdrawn(Request request) {
        try {
            users.tell(new UsersActor.CancellationsReceived(
                    PeerCodec.withdrawn(request.body()).jobs(), null));
            request.answer(200, Json.bytes(out -> {
                out.writeStartObject();
                out.writeEndObject();
            }));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    /** Tells whoever leads what was confirmed here. */
    void confirmed(CancellationDigest.Cancelled job, String leader, PeerChannel siblings) {
        if (leader != null && !leader.equals(settings.label())) {
            siblings.withdrawn(leader, new PeerCodec.Withdrawn(List.of(job)));
        }
    }
}
