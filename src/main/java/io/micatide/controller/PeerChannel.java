package io.micatide.controller;

import io.micatide.model.HintBatch;
import io.micatide.model.JobProgress;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.Http;
import io.micatide.protocol.HintCodec;
import io.micatide.protocol.PeerCodec;
import io.micatide.standby.HintSender;
import java.util.ArrayList;
import java.util.List;

/**
 * What this controller tells the others: a leader's news of who leads, who is to follow it and the counts that users are shown; a cold
 * one's question whether others would lead better. Part of the leader's actor.
 */
final class PeerChannel {
    private static final long NEWS_MICROS = Micros.SECOND;
    private static final long ASK_WARMTH_MICROS = 500 * Micros.MILLISECOND;
    /** An heir needs one read; who has not answered by then is not waited for. */
    private static final long HAND_OVER_MICROS = 300 * Micros.MILLISECOND;

    private static final long URGENT_NEWS_MICROS = 250 * Micros.MILLISECOND;
    /** What fits a peer's request body. */
    private static final int NEWS_JOBS = 1_000;

    /** What the news of this moment say beside the counts. */
    record Now(
            long fencingToken,
            boolean stateServed,
            long silentMicros,
            List<String> heirs,
            long switches,
            long revision) {}

    private final LeaderActor owner;
    private final Settings settings;
    private final List<Http> siblings = new ArrayList<>();
    private long newsMicros;
    private long urgentNewsMicros;
    private long askedWarmthMicros;

    PeerChannel(LeaderActor owner, Settings settings, Http.Connector connector) {
        this.owner = owner;
        this.settings = settings;
        for (Settings.Sibling sibling : settings.siblings()) {
            siblings.add(connector.to(sibling.endpoint(), 2));
        }
    }

    /** A new term: its news go out at once. */
    void begin() {
        newsMicros = 0;
    }

    boolean newsDue(long now) {
        return newsMicros == 0 || now - newsMicros >= NEWS_MICROS;
    }

    void news(Now what, List<JobProgress> jobs, long now) {
        newsMicros = now;
        urgentNewsMicros = now;
        for (int sibling = 0; sibling < siblings.size(); sibling++) {
            for (int from = 0; from == 0 || from < jobs.size(); from += NEWS_JOBS) {
                tell(sibling, what, from == 0, jobs.subList(from, Math.min(jobs.size(), from + NEWS_JOBS)));
            }
        }
    }

    /** Between two regular news, while no worker comes: do they come to a sibling? */
    void askAfterWorkers(Now what, long now) {
        if (now - urgentNewsMicros >= URGENT_NEWS_MICROS) {
            urgentNewsMicros = now;
            for (int sibling = 0; sibling < siblings.size(); sibling++) {
                tell(sibling, what, false, List.of());
            }
        }
    }

    /** While a free row is left to others: are there any? */
    void askWarmth(long now) {
        if (askedWarmthMicros != 0 && now - askedWarmthMicros < ASK_WARMTH_MICROS) {
            return;
        }
        askedWarmthMicros = now;
        for (int each = 0; each < siblings.size(); each++) {
            int sibling = each;
            siblings.get(sibling)
                    .get(
                            "/standby",
                            Http.PATIENCE_MICROS,
                            owner.answer(r -> new StandbyMessage.WarmthTold(r, sibling)));
        }
    }

    /** To the heirs that do not hold the newest picture. */
    void hints(List<Integer> heirs, HintSender hints, long fencingToken) {
        for (int heir : heirs) {
            for (HintBatch part : hints.batchesFor(heir)) {
                siblings.get(heir)
                        .post(
                                "/hints",
                                HintCodec.batch(part),
                                Http.PATIENCE_MICROS,
                                owner.answer(r -> new StandbyMessage.HintsAnswered(r, fencingToken, heir)));
            }
        }
    }

    void handOver(int sibling, long fencingToken, long revision) {
        siblings.get(sibling)
                .post(
                        "/handover",
                        PeerCodec.handover(fencingToken, revision),
                        HAND_OVER_MICROS,
                        owner.answer(LeaderActor.HandedOver::new));
    }

    /** To whoever leads, if it is a sibling: what it would otherwise learn with its next read or news. */
    void withdrawn(String leader, PeerCodec.CancellationNotice message) {
        for (int sibling = 0; sibling < siblings.size(); sibling++) {
            if (settings.siblings().get(sibling).label().equals(leader)) {
                siblings.get(sibling)
                        .post("/withdrawn", PeerCodec.cancellationNotice(message), Http.PATIENCE_MICROS, reply -> {});
            }
        }
    }

    private void tell(int sibling, Now what, boolean first, List<JobProgress> jobs) {
        long askedMicros = owner.now();
        siblings.get(sibling)
                .post(
                        "/news",
                        PeerCodec.leaderStatus(new PeerCodec.LeaderStatus(
                                what.fencingToken(),
                                settings.label(),
                                what.stateServed(),
                                what.silentMicros(),
                                what.heirs(),
                                first,
                                jobs,
                                what.switches(),
                                what.revision())),
                        Http.PATIENCE_MICROS,
                        owner.answer(r -> new LeaderActor.PeerAnswered(r, what.fencingToken(), sibling, askedMicros)));
    }
}
