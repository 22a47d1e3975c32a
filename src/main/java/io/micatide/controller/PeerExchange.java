package io.micatide.controller;

import io.micatide.model.JobProgress;
import io.micatide.model.Settings;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.PeerCodec;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges the status of a leader and the answers of its peers. Every status and every answer carries a fencing token; one that is higher
 * than that of this controller's term ends the term before anything else in the message is used. Part of the leader's actor.
 */
final class PeerExchange {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);

    private final LeaderActor owner;
    private final StoreClient store;
    private final UsersActor users;
    private final LeaderCollaborators collaborators;
    private final LeadershipTransfer transfer;

    PeerExchange(
            LeaderActor owner,
            StoreClient store,
            UsersActor users,
            LeaderCollaborators collaborators,
            LeadershipTransfer transfer) {
        this.owner = owner;
        this.store = store;
        this.users = users;
        this.collaborators = collaborators;
        this.transfer = transfer;
    }

    /** Handles one message from or about a peer. */
    void receive(LeaderMessage.PeerMessage message) {
        CancellationExchange cancellations = collaborators.cancellations();
        if (message instanceof LeaderMessage.PeerStatusReceived m) {
            statusReceived(m.request());
        } else if (message instanceof LeaderMessage.PeerStatusAnswered m) {
            statusAnswered(m);
        } else if (message instanceof LeaderMessage.ReadinessRequested m) {
            m.request().answer(200, PeerCodec.peerStatus(statusAnswer(owner.now())));
        } else if (message instanceof LeaderMessage.DigestRecorded m) {
            cancellations.digestRecorded(m);
        } else if (message instanceof LeaderMessage.CancellationConfirmed m) {
            cancellations.cancellationConfirmed(
                    m.job(), collaborators.election().leader(), collaborators.peers());
        } else if (message instanceof LeaderMessage.PeerCancellationsReceived m) {
            cancellations.peerCancellationsReceived(m.request());
        }
    }

    // ---- the leader's side

    /** Sends an additional status while no heartbeats arrive, since workers may have turned to a peer. */
    void sendUrgentStatusIfWorkersAreSilent(LeaderTerm term, long now) {
        if (collaborators.workerConnectivity().shouldAskPeers(now)) {
            collaborators.peers().sendUrgentStatus(currentStatus(term, now), now);
        }
    }

    /** Sends the regular status with the progress of jobs to all peers, and hints to the designated standbys. */
    void sendStatusIfDue(LeaderTerm term, long now) {
        if (!collaborators.peers().isStatusDue(now)) {
            return;
        }
        List<JobProgress> jobs = term.progress();
        if (term.isLoaded()) {
            users.tell(new UsersActor.ProgressReported(true, jobs));
        }
        collaborators.peers().sendStatus(currentStatus(term, now), jobs, now);
        if (term.isLoaded()) {
            collaborators.standbyCoordinator().sendHints(term, now);
        }
    }

    private PeerClients.LeaderStatus currentStatus(LeaderTerm term, long now) {
        return new PeerClients.LeaderStatus(
                term.fencingToken(),
                store.connectivity().isConnected(now),
                collaborators.workerConnectivity().silentMicros(now),
                collaborators.standbyCoordinator().selectStandbys(now),
                collaborators.rollout().featureFlags().version(),
                collaborators.cancellations().readRevision());
    }

    private void statusAnswered(LeaderMessage.PeerStatusAnswered message) {
        Reply reply = message.reply();
        if (!reply.ok()) {
            return;
        }
        try {
            PeerCodec.PeerStatus answer = PeerCodec.peerStatus(reply.body());
            owner.observeFencingToken(answer.fencingToken(), null);
            long now = owner.now();
            collaborators.workerConnectivity().peerReportedWorkerLostLeader(answer.workerLostLeaderAgoMicros(), now);
            transfer.resignIfPeerReachesWorkers(now);
            LeaderTerm term = owner.term();
            if (term != null && term.fencingToken() == message.fencingToken()) {
                collaborators
                        .cancellations()
                        .digestReceived(message.peer(), answer.cancellations(), message.requestSentMicros(), now);
                collaborators.standbyCoordinator().peerStatusAnswered(message.peer(), answer, now);
            }
        } catch (MalformedException e) {
            LOG.error("peer {}: malformed answer to the status: {}", message.peer(), e.getMessage());
        }
    }

    // ---- a follower's side

    private void statusReceived(Request request) {
        try {
            PeerCodec.LeaderStatus status = PeerCodec.leaderStatus(request.body());
            owner.observeFencingToken(status.fencingToken(), status.leader());
            long now = owner.now();
            applyStatus(status, now);
            collaborators.cancellations().answerPeerStatus(request, statusAnswer(now), status);
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private void applyStatus(PeerCodec.LeaderStatus status, long now) {
        boolean isOfLatestTerm =
                status.fencingToken() == collaborators.election().highestFencingToken();
        if (isOfLatestTerm) {
            collaborators.workerConnectivity().leaderReportedSilence(status.workersSilentMicros(), now);
        }
        collaborators.rollout().newerVersionReported(status.featureFlagsVersion());
        if (status.storeReachable()) {
            store.connectivity().peerReachedStore(now);
        }
        if (owner.term() == null && isOfLatestTerm) {
            users.tell(new UsersActor.ProgressReported(status.replacesProgress(), status.jobs()));
            collaborators.standbyCoordinator().leaderStatusReceived(status, now);
        }
    }

    private PeerCodec.PeerStatus statusAnswer(long now) {
        return new PeerCodec.PeerStatus(
                collaborators.election().highestFencingToken(),
                collaborators.workerConnectivity().workerLostLeaderAgoMicros(now),
                Settings.CURRENT_LAYOUT,
                store.connectivity().isConnected(now),
                transfer.isShuttingDown()
                        ? null
                        : collaborators.standbyCoordinator().readiness(now));
    }
}
