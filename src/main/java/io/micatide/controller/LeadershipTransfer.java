package io.micatide.controller;

import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives up leadership while the lease still lasts: in favor of a peer that the workers reach, or because this process shuts down. In both
 * cases the election forgets the lease before the store is asked to end it, so that nothing is done in the name of the term afterwards. Part
 * of the leader's actor.
 */
final class LeadershipTransfer {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** The pause before the next claim of a process that shuts down, which never claims again. Added to a time, so well below the maximum. */
    private static final long NEVER_CLAIM_MICROS = Long.MAX_VALUE / 4;

    private static final int NO_SUCCESSOR = -1;

    private final LeaderActor owner;
    private final Settings settings;
    private final StoreClient store;
    private final UsersActor users;
    private final LeaderElection election;
    private final WorkerConnectivity workerConnectivity;
    private final StandbyCoordinator standbyCoordinator;
    private final PeerClients peers;
    /** The steps of the shutdown; null until it is requested. */
    private GracefulHandover handover;

    LeadershipTransfer(
            LeaderActor owner, ControllerServices services, UsersActor users, LeaderCollaborators collaborators) {
        this.owner = owner;
        this.settings = services.settings();
        this.store = services.store();
        this.users = users;
        this.election = collaborators.election();
        this.workerConnectivity = collaborators.workerConnectivity();
        this.standbyCoordinator = collaborators.standbyCoordinator();
        this.peers = collaborators.peers();
    }

    /** Returns whether a shutdown was requested, in which case no new work is begun as leader. */
    boolean isShuttingDown() {
        return handover != null;
    }

    /** Returns whether the release of the lease has begun during a shutdown; from then on no heartbeat is answered as leader. */
    boolean isCompleted() {
        return handover != null && handover.isCompleted();
    }

    /** Returns the label of the controller that takes over, null if there is none. Requires that a shutdown was requested. */
    String successor() {
        return handover.successor();
    }

    /** Takes the next step of the shutdown if the current one is finished or has timed out. Requires that a shutdown was requested. */
    void advance(long now) {
        handover.advance(now);
    }

    /** Handles the successor's answer to the request to catch up, whether or not it could, and a failure of that request. */
    void successorAnswered() {
        handover.successorAnswered();
    }

    /**
     * Resigns if no heartbeats come and a peer reports that workers turn to it. Ending the lease removes the leader record at once; if that
     * request is lost, the lease expires.
     */
    void resignIfPeerReachesWorkers(long now) {
        LeaderTerm term = owner.term();
        if (term == null
                || !workerConnectivity.shouldResign(store.connectivity().isConnected(now), now)) {
            return;
        }
        LOG.warn(
                "resigns from term {}: no heartbeat for {} ms, and workers turn to a peer",
                term.fencingToken(),
                workerConnectivity.silentMicros(now) / Micros.MILLISECOND);
        long leaseId = election.resign(now, settings.workerLeaseMicros());
        store.endLease(leaseId, reply -> LOG.info("lease of the previous term ended: status {}", reply.status()));
        owner.endTermIfFenced();
    }

    /**
     * Begins the graceful shutdown of this process. A second request has no effect.
     *
     * @param onCompleted run once the store has answered the request to end the lease; without that request if there is no lease
     */
    void shutDown(Runnable onCompleted) {
        if (handover != null) {
            return;
        }
        long now = owner.now();
        LeaderTerm term = owner.term();
        int successor = term == null ? NO_SUCCESSOR : standbyCoordinator.firstWarmStandby(now);
        String successorLabel = successor == NO_SUCCESSOR
                ? null
                : settings.peers().get(successor).label();
        logShutdown(term, successorLabel);
        users.tell(new UsersActor.ShutdownStarted());
        handover = new GracefulHandover(
                term,
                successorLabel,
                now,
                () -> peers.requestHandover(successor, term.fencingToken(), term.lastWrittenRevision()),
                () -> releaseLease(onCompleted));
        handover.advance(now);
    }

    private static void logShutdown(LeaderTerm term, String successor) {
        if (term == null) {
            LOG.info("shutdown requested");
        } else {
            LOG.info(
                    "shutdown requested, leader of term {}, successor: {}",
                    term.fencingToken(),
                    successor == null ? "none" : successor);
        }
    }

    private void releaseLease(Runnable onCompleted) {
        long leaseId = election.resign(owner.now(), NEVER_CLAIM_MICROS);
        owner.endTermIfFenced();
        if (leaseId == 0) {
            onCompleted.run();
        } else {
            store.endLease(leaseId, reply -> {
                LOG.info("lease released: {}", reply.status());
                onCompleted.run();
            });
        }
    }
}
