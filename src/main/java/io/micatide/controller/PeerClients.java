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
final class PeerClients {
    private static final long STATUS_INTERVAL_MICROS = Micros.SECOND;
    private static final long READINESS_INTERVAL_MICROS = 500 * Micros.MILLISECOND;
    /** An heir needs one read; who has not answered by then is not waited for. */
    private static final long HANDOVER_TIMEOUT_MICROS = 300 * Micros.MILLISECOND;

    private static final long URGENT_STATUS_INTERVAL_MICROS = 250 * Micros.MILLISECOND;
    /** What fits a peer's request body. */
    private static final int MAX_JOBS_PER_STATUS = 1_000;

    /** What the news of this moment say beside the counts. */
    record LeaderStatus(
            long fencingToken,
            boolean isStoreConnected,
            long workersSilentMicros,
            List<String> standbys,
            long featureStagesVersion,
            long readRevision) {}

    private final LeaderActor owner;
    private final Settings settings;
    private final List<Http> peers = new ArrayList<>();
    private long lastStatusMicros;
    private long lastUrgentStatusMicros;
    private long lastReadinessRequestMicros;

    PeerClients(LeaderActor owner, Settings settings, Http.Connector connector) {
        this.owner = owner;
        this.settings = settings;
        for (Settings.Sibling sibling : settings.siblings()) {
            peers.add(connector.to(sibling.endpoint(), 2));
        }
    }

    /** A new term: its news go out at once. */
    void termStarted() {
        lastStatusMicros = 0;
    }

    boolean isStatusDue(long now) {
        return lastStatusMicros == 0 || now - lastStatusMicros >= STATUS_INTERVAL_MICROS;
    }

    void sendStatus(LeaderStatus what, List<JobProgress> jobs, long now) {
        lastStatusMicros = now;
        lastUrgentStatusMicros = now;
        for (int sibling = 0; sibling < peers.size(); sibling++) {
            for (int from = 0; from == 0 || from < jobs.size(); from += MAX_JOBS_PER_STATUS) {
                postStatus(
                        sibling,
                        what,
                        from == 0,
                        jobs.subList(from, Math.min(jobs.size(), from + MAX_JOBS_PER_STATUS)));
            }
        }
    }

    /** Between two regular news, while no worker comes: do they come to a sibling? */
    void sendUrgentStatus(LeaderStatus what, long now) {
        if (now - lastUrgentStatusMicros >= URGENT_STATUS_INTERVAL_MICROS) {
            lastUrgentStatusMicros = now;
            for (int sibling = 0; sibling < peers.size(); sibling++) {
                postStatus(sibling, what, false, List.of());
            }
        }
    }

    /** While a free row is left to others: are there any? */
    void requestReadiness(long now) {
        if (lastReadinessRequestMicros != 0 && now - lastReadinessRequestMicros < READINESS_INTERVAL_MICROS) {
            return;
        }
        lastReadinessRequestMicros = now;
        for (int each = 0; each < peers.size(); each++) {
            int sibling = each;
            peers.get(sibling)
                    .get(
                            "/standby",
                            Http.PATIENCE_MICROS,
                            owner.answer(r -> new StandbyMessage.ReadinessAnswered(r, sibling)));
        }
    }

    /** To the heirs that do not hold the newest picture. */
    void sendHints(List<Integer> heirs, HintSender hints, long fencingToken) {
        for (int heir : heirs) {
            for (HintBatch part : hints.batchesFor(heir)) {
                peers.get(heir)
                        .post(
                                "/hints",
                                HintCodec.batch(part),
                                Http.PATIENCE_MICROS,
                                owner.answer(r -> new StandbyMessage.HintsAcknowledged(r, fencingToken, heir)));
            }
        }
    }

    void requestHandover(int sibling, long fencingToken, long revision) {
        peers.get(sibling)
                .post(
                        "/handover",
                        PeerCodec.handover(fencingToken, revision),
                        HANDOVER_TIMEOUT_MICROS,
                        owner.answer(LeaderMessage.HandoverAnswered::new));
    }

    /** To whoever leads, if it is a sibling: what it would otherwise learn with its next read or news. */
    void sendCancellations(String leader, PeerCodec.CancellationNotice message) {
        for (int sibling = 0; sibling < peers.size(); sibling++) {
            if (settings.siblings().get(sibling).label().equals(leader)) {
                peers.get(sibling)
                        .post("/withdrawn", PeerCodec.cancellationNotice(message), Http.PATIENCE_MICROS, reply -> {});
            }
        }
    }

    private void postStatus(int sibling, LeaderStatus what, boolean first, List<JobProgress> jobs) {
        long askedMicros = owner.now();
        peers.get(sibling)
                .post(
                        "/news",
                        PeerCodec.leaderStatus(new PeerCodec.LeaderStatus(
                                what.fencingToken(),
                                settings.label(),
                                what.isStoreConnected(),
                                what.workersSilentMicros(),
                                what.standbys(),
                                first,
                                jobs,
                                what.featureStagesVersion(),
                                what.readRevision())),
                        Http.PATIENCE_MICROS,
                        owner.answer(r ->
                                new LeaderMessage.PeerStatusAnswered(r, what.fencingToken(), sibling, askedMicros)));
    }
}
