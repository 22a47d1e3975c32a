package io.micatide.controller;

import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.net.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives leadership up while the lease still holds: to a peer that the workers reach, or because this process is told to end. Either way
 * the election forgets the lease before the store is asked to end it, so nothing is done any more in the name of the term. Part of the
 * leader's actor.
 */
final class LeadershipTransfer {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    /** A process that ends never claims again. */
    private static final long NEVER_CLAIM_MICROS = Long.MAX_VALUE / 4;

    private static final int NOBODY = -1;

    private final LeaderActor owner;
    private final Settings settings;
    private final StoreClient store;
    private final UsersActor users;
    private final LeaderElection election;
    private final WorkerConnectivity workers;
    private final StandbyCoordinator standby;
    private final PeerClients peers;
    /** Null until this process is told to end. */
    private GracefulHandover handover;

    LeadershipTransfer(
            LeaderActor owner, ControllerServices services, UsersActor users, LeaderCollaborators collaborators) {
        this.owner = owner;
        this.settings = services.settings();
        this.store = services.store();
        this.users = users;
        this.election = collaborators.election();
        this.workers = collaborators.workers();
        this.standby = collaborators.standby();
        this.peers = collaborators.peers();
    }

    /** Whether this process was told to end: nothing new is begun. */
    boolean isShuttingDown() {
        return handover != null;
    }

    /** Whether this process was told to end and has released its lease: no heartbeat is answered as leader. */
    boolean isCompleted() {
        return handover != null && handover.isCompleted();
    }

    /** The label of the controller that takes over from one that ends, null if there is none. */
    String successor() {
        return handover.successor();
    }

    /** Takes the next step of a shutdown once its time has come. */
    void advance(long now) {
        handover.advance(now);
    }

    /** The successor has caught up or says that it could not. */
    void successorAnswered() {
        handover.successorAnswered();
    }

    /**
     * Leaves leadership to a peer that the workers reach. Ending the lease removes the leader record at once; should that request be
     * lost, the lease expires by itself.
     */
    void resignIfWorkersAreElsewhere(long now) {
        LeaderTerm term = owner.term();
        if (term == null || !workers.shouldResign(store.reach().isConnected(now), now)) {
            return;
        }
        LOG.warn(
                "resigns from term {}: no heartbeat for {} ms, and workers turn to a peer",
                term.fencingToken(),
                workers.silentMicros(now) / Micros.MILLISECOND);
        long leaseId = election.resign(now, settings.workerLeaseMicros());
        store.endLease(leaseId, reply -> LOG.info("lease of the former term ended: {}", reply.status()));
        owner.endTermIfFenced();
    }

    /**
     * Begins the graceful shutdown of this process; a second request changes nothing.
     *
     * @param onCompleted run once the lease is released, or at once if there is none
     */
    void shutDown(Runnable onCompleted) {
        if (handover != null) {
            return;
        }
        long now = owner.now();
        LeaderTerm term = owner.term();
        int successor = term == null ? NOBODY : standby.firstWarmStandby(now);
        String label =
                successor == NOBODY ? null : settings.siblings().get(successor).label();
        logShutdown(term, label);
        users.tell(new UsersActor.ShutdownStarted());
        handover = new GracefulHandover(
                term,
                label,
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
