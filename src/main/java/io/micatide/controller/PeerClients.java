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
 * Sends requests to the peers: a leader's status, hints and request for a handover, a starting controller's request for readiness, and
 * confirmed cancellations. A peer is identified by its index in {@link Settings#peers()}. Part of the leader's actor.
 */
final class PeerClients {
    private static final long STATUS_INTERVAL_MICROS = Micros.SECOND;
    private static final long URGENT_STATUS_INTERVAL_MICROS = 250 * Micros.MILLISECOND;
    private static final long READINESS_INTERVAL_MICROS = 500 * Micros.MILLISECOND;
    /** Timeout of a request for a handover. A standby catches up with one read, so one without an answer by then is not waited for. */
    private static final long HANDOVER_TIMEOUT_MICROS = 300 * Micros.MILLISECOND;
    /** Number of jobs whose progress fits the body of one request to a peer. */
    private static final int MAX_JOBS_PER_STATUS = 1_000;

    private static final int CONNECTIONS_PER_PEER = 2;

    /**
     * A leader's status without the progress of jobs.
     *
     * @param fencingToken of the leader's term
     * @param isStoreConnected whether the store answers the leader
     * @param workersSilentMicros how long the leader has received no heartbeat
     * @param standbys labels of the designated standbys, the first one to take over first; null if none are selected yet or standbys are
     *     switched off
     * @param featureStagesVersion version of the feature stages that the leader knows
     * @param readRevision revision up to which the leader has read the store; peers name cancellations above it
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
    /** Time at which the last regular status was sent, 0 if a new term has yet to send its first one. */
    private long lastStatusMicros;

    private long lastUrgentStatusMicros;
    /** Time at which readiness was last requested, 0 if it never was. */
    private long lastReadinessRequestMicros;

    PeerClients(LeaderActor owner, Settings settings, Http.Connector connector) {
        this.owner = owner;
        this.settings = settings;
        for (Settings.Peer peer : settings.peers()) {
            peers.add(connector.clientFor(peer.endpoint(), CONNECTIONS_PER_PEER));
        }
    }

    /** Prepares for a new term, whose first status is due at once. */
    void termStarted() {
        lastStatusMicros = 0;
    }

    /** Returns whether the regular status is due. */
    boolean isStatusDue(long now) {
        return lastStatusMicros == 0 || now - lastStatusMicros >= STATUS_INTERVAL_MICROS;
    }

    /** Sends the regular status to all peers, split into parts of at most {@link #MAX_JOBS_PER_STATUS} jobs. */
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

    /**
     * Sends an additional status between two regular ones, without progress, at most every {@link #URGENT_STATUS_INTERVAL_MICROS}. The answers
     * report whether workers have turned to a peer.
     */
    void sendUrgentStatus(LeaderStatus status, long now) {
        if (now - lastUrgentStatusMicros >= URGENT_STATUS_INTERVAL_MICROS) {
            lastUrgentStatusMicros = now;
            for (int peer = 0; peer < peers.size(); peer++) {
                postStatus(peer, status, false, List.of());
            }
        }
    }

    /** Requests the readiness of all peers while this controller leaves the leader record to them. */
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

    /** Sends hints to the standbys that do not hold the newest snapshot. */
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

    /** Requests that a standby catches up with the last revision of this term and takes over. */
    void requestHandover(int peer, long fencingToken, long revision) {
        peers.get(peer)
                .post(
                        "/handover",
                        PeerCodec.handover(fencingToken, revision),
                        HANDOVER_TIMEOUT_MICROS,
                        owner.onReply(LeaderMessage.HandoverAnswered::new));
    }

    /**
     * Sends confirmed cancellations to the leader, if it is a peer. Errors are ignored, since the leader also learns of cancellations with its
     * next read or digest.
     */
    void sendCancellations(String leader, PeerCodec.CancellationNotice cancellations) {
        for (int peer = 0; peer < peers.size(); peer++) {
            if (settings.peers().get(peer).label().equals(leader)) {
                peers.get(peer)
                        .post(
                                "/withdrawn",
                                PeerCodec.cancellationNotice(cancellations),
                                Http.DEFAULT_TIMEOUT_MICROS,
                                reply -> {});
            }
        }
    }

    /** @param isFirst whether this part replaces the progress that was sent earlier instead of adding to it */
    private void postStatus(int peer, LeaderStatus status, boolean isFirst, List<JobProgress> jobs) {
        long requestSentMicros = owner.now();
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
                        owner.onReply(r -> new LeaderMessage.PeerStatusAnswered(
                                r, status.fencingToken(), peer, requestSentMicros)));
    }
}
