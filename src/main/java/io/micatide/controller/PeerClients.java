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
 * The clients of the other controllers and what is sent by them: a leader's status, hints and request for a handover, a starting
 * controller's question for readiness, and confirmed cancellations. Peers are numbered by their places in {@link Settings#siblings()}.
 * Part of the leader's actor.
 */
final class PeerClients {
    private static final long STATUS_INTERVAL_MICROS = Micros.SECOND;
    private static final long URGENT_STATUS_INTERVAL_MICROS = 250 * Micros.MILLISECOND;
    private static final long READINESS_INTERVAL_MICROS = 500 * Micros.MILLISECOND;
    /** A standby catches up with one read; one that has not answered by then is not waited for. */
    private static final long HANDOVER_TIMEOUT_MICROS = 300 * Micros.MILLISECOND;
    /** What fits the body of a request to a peer. */
    private static final int MAX_JOBS_PER_STATUS = 1_000;

    private static final int CONNECTIONS_PER_PEER = 2;

    /**
     * A leader's status but for the progress of jobs.
     *
     * @param fencingToken of its term
     * @param isStoreConnected whether the store answers it
     * @param workersSilentMicros how long it has received no heartbeat
     * @param standbys labels of the controllers that are to take over, the first one first; null if none are selected yet or ever
     * @param featureStagesVersion the version of the stages of features that it knows
     * @param readRevision up to which it has read the store: peers name cancellations above it
     */
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
    /** 0 if a new term has yet to send its first status. */
    private long lastStatusMicros;

    private long lastUrgentStatusMicros;
    /** 0 if nothing was asked for yet. */
    private long lastReadinessRequestMicros;

    PeerClients(LeaderActor owner, Settings settings, Http.Connector connector) {
        this.owner = owner;
        this.settings = settings;
        for (Settings.Sibling peer : settings.siblings()) {
            peers.add(connector.clientFor(peer.endpoint(), CONNECTIONS_PER_PEER));
        }
    }

    /** A new term begins: its first status is due at once. */
    void termStarted() {
        lastStatusMicros = 0;
    }

    /** Whether the regular status is due. */
    boolean isStatusDue(long now) {
        return lastStatusMicros == 0 || now - lastStatusMicros >= STATUS_INTERVAL_MICROS;
    }

    /** Sends the regular status to all peers, in as many parts as the progress of all jobs takes. */
    void sendStatus(LeaderStatus status, List<JobProgress> jobs, long now) {
        lastStatusMicros = now;
        lastUrgentStatusMicros = now;
        for (int peer = 0; peer < peers.size(); peer++) {
            for (int from = 0; from == 0 || from < jobs.size(); from += MAX_JOBS_PER_STATUS) {
                int to = Math.min(jobs.size(), from + MAX_JOBS_PER_STATUS);
                postStatus(peer, status, from == 0, jobs.subList(from, to));
            }
        }
    }

    /** Sends the status between two regular ones, without progress; the answers say whether workers have turned to a peer. */
    void sendUrgentStatus(LeaderStatus status, long now) {
        if (now - lastUrgentStatusMicros >= URGENT_STATUS_INTERVAL_MICROS) {
            lastUrgentStatusMicros = now;
            for (int peer = 0; peer < peers.size(); peer++) {
                postStatus(peer, status, false, List.of());
            }
        }
    }

    /** Asks all peers how ready they are to lead, while the leader record is left to them. */
    void requestReadiness(long now) {
        if (lastReadinessRequestMicros != 0 && now - lastReadinessRequestMicros < READINESS_INTERVAL_MICROS) {
            return;
        }
        lastReadinessRequestMicros = now;
        for (int i = 0; i < peers.size(); i++) {
            int peer = i;
            peers.get(peer)
                    .get(
                            "/standby",
                            Http.DEFAULT_TIMEOUT_MICROS,
                            owner.onReply(r -> new StandbyMessage.ReadinessAnswered(r, peer)));
        }
    }

    /** Sends hints to the standbys that do not hold the newest ones. */
    void sendHints(List<Integer> standbys, HintSender hints, long fencingToken) {
        for (int standby : standbys) {
            for (HintBatch batch : hints.batchesFor(standby)) {
                peers.get(standby)
                        .post(
                                "/hints",
                                HintCodec.batch(batch),
                                Http.DEFAULT_TIMEOUT_MICROS,
                                owner.onReply(r -> new StandbyMessage.HintsAcknowledged(r, fencingToken, standby)));
            }
        }
    }

    /** Asks a standby to catch up to the last revision of this term and to take over. */
    void requestHandover(int peer, long fencingToken, long revision) {
        peers.get(peer)
                .post(
                        "/handover",
                        PeerCodec.handover(fencingToken, revision),
                        HANDOVER_TIMEOUT_MICROS,
                        owner.onReply(LeaderMessage.HandoverAnswered::new));
    }

    /** Sends confirmed cancellations to the leader, if it is a peer; it would learn of them with its next read or digest. */
    void sendCancellations(String leader, PeerCodec.CancellationNotice cancellations) {
        for (int peer = 0; peer < peers.size(); peer++) {
            if (settings.siblings().get(peer).label().equals(leader)) {
                peers.get(peer)
                        .post(
                                "/withdrawn",
                                PeerCodec.cancellationNotice(cancellations),
                                Http.DEFAULT_TIMEOUT_MICROS,
                                reply -> {});
            }
        }
    }

    /** @param isFirst whether this part replaces the progress that was sent before, instead of adding to it */
    private void postStatus(int peer, LeaderStatus status, boolean isFirst, List<JobProgress> jobs) {
        long askedMicros = owner.now();
        peers.get(peer)
                .post(
                        "/news",
                        PeerCodec.leaderStatus(new PeerCodec.LeaderStatus(
                                status.fencingToken(),
                                settings.label(),
                                status.isStoreConnected(),
                                status.workersSilentMicros(),
                                status.standbys(),
                                isFirst,
                                jobs,
                                status.featureStagesVersion(),
                                status.readRevision())),
                        Http.DEFAULT_TIMEOUT_MICROS,
                        owner.onReply(r ->
                                new LeaderMessage.PeerStatusAnswered(r, status.fencingToken(), peer, askedMicros)));
    }
}
