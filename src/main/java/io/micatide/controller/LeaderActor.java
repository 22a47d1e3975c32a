package io.micatide.controller;

import io.micatide.archive.ArchiveLimits;
import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.protocol.StoreCodec;
import io.micatide.scheduler.FailoverTimings;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The actor of a controller that takes part in leader election, and leads or follows accordingly. Passes each message to the class that
 * handles it. Owns the current {@link LeaderTerm}, which lasts from the write of the leader record until a higher fencing token is observed,
 * the lease expires or leadership is given up. A term has ended as soon as the {@link LeaderElection} no longer has its fencing token;
 * {@link #endTermIfFenced()} is called after every step that may have changed that.
 */
final class LeaderActor extends Actor<LeaderMessage> {
    private static final long TICK_MICROS = 100 * Micros.MILLISECOND;
    private static final long LEASE_TICK_MICROS = 50 * Micros.MILLISECOND;
    /** An interval without messages that is longer than this means that the process was paused, since a timer sends one every 50 ms. */
    private static final long PAUSE_THRESHOLD_MICROS = Micros.SECOND;

    private final LeaderCollaborators collaborators;
    private final LeaderTermFactory termFactory;
    private final HeartbeatHandler heartbeatHandler;
    private final LeadershipTransfer transfer;
    private final PeerExchange peerExchange;

    private long lastMessageMicros;
    /** The current term; null while this controller does not lead. */
    private LeaderTerm term;

    LeaderActor(ControllerServices services, UsersActor users, ControllerComponents components) {
        super(services.executor());
        Settings settings = services.settings();
        Tuning tuning = services.tuning();
        PeerClients peers = new PeerClients(this, settings, services.connector());
        this.lastMessageMicros = now();
        ArchiverActor archiver = new ArchiverActor(
                services.executor(),
                new ArchiveLimits(
                        settings.maxWritableValueBytes(), settings.maxTransactionWrites(), tuning.archiveBatchSize()),
                components.archivers(),
                services.store(),
                this);
        this.collaborators = collaborators(services, users, components, peers);
        this.termFactory =
                new LeaderTermFactory(this, services, users, archiver, collaborators, components.maxArrayTasks());
        this.heartbeatHandler = new HeartbeatHandler(this, settings.label(), collaborators);
        this.transfer = new LeadershipTransfer(this, services, users, collaborators);
        this.peerExchange = new PeerExchange(this, services.store(), users, collaborators, transfer);
    }

    private LeaderCollaborators collaborators(
            ControllerServices services, UsersActor users, ControllerComponents components, PeerClients peers) {
        Settings settings = services.settings();
        Tuning tuning = services.tuning();
        WorkerConnectivity workerConnectivity = new WorkerConnectivity(settings, now());
        CancellationExchange cancellations = new CancellationExchange(settings, users);
        LeaderElection election = new LeaderElection(settings.label(), tuning.leaderLeaseMicros());
        RolloutParticipant rollout =
                new RolloutParticipant(this, settings, components.capabilities(), services.store(), users);
        LeaderLease lease = new LeaderLease(this, settings.label(), services.store(), election, rollout);
        StandbyActor standbyActor = tuning.standbyEnabled()
                ? new StandbyActor(services.executor(), settings, services.store(), users, this, components.replicas())
                : null;
        StandbyCoordinator standbyCoordinator = new StandbyCoordinator(this, settings, peers, lease, standbyActor);
        return new LeaderCollaborators(
                election, lease, workerConnectivity, cancellations, standbyCoordinator, peers, rollout);
    }

    /** Returns the times at which the current term reached the stages of its failover; null if this controller does not lead. */
    FailoverTimings failoverTimings() {
        return term == null ? null : term.failoverTimings();
    }

    /** Returns whether this controller is a designated standby of the leader. */
    boolean isDesignatedStandby() {
        return collaborators.standbyCoordinator().isDesignated();
    }

    /**
     * Sets an observer of the records that the standby's replicas provide at each failover to this controller. Requires that standbys are
     * enabled.
     */
    void observeReplicaRecords(BiConsumer<String, List<StoreCodec.Item>> observer) {
        collaborators.standbyCoordinator().standbyActor().setReplicaObserver(observer);
    }

    /** Returns the current term, null while this controller does not lead. Not an Optional, since it is called for each heartbeat. */
    LeaderTerm term() {
        return term;
    }

    /** Returns the object by which this controller gives up leadership. */
    LeadershipTransfer transfer() {
        return transfer;
    }

    // ---- messages

    @Override
    protected void receive(LeaderMessage message) {
        detectPause();
        if (message instanceof LeaderMessage.HeartbeatReceived m) {
            heartbeatHandler.answer(m.request());
        } else if (message instanceof TermMessage m) {
            termMessageReceived(m);
        } else if (message instanceof LeaderMessage.TickDue) {
            tickDue();
        } else if (message instanceof LeaderMessage.LeaseTickDue) {
            leaseTickDue();
        } else if (message instanceof LeaderMessage.PeerMessage m) {
            peerExchange.receive(m);
        } else if (message instanceof LeaderMessage.RecordObserved m) {
            recordObserved(m);
        } else if (message instanceof LeaderMessage.StoreRead m) {
            storeRead(m);
        } else if (message instanceof LeaderMessage.LeaseMessage m) {
            leaseMessageReceived(m);
        } else if (message instanceof LeaderMessage.LeaderWatchDue) {
            collaborators.lease().watchDue();
        } else if (message instanceof LeaderMessage.RolloutMessage m) {
            rolloutMessageReceived(m);
        } else if (message instanceof StandbyMessage m) {
            standbyMessageReceived(m);
        } else if (message instanceof LeaderMessage.HandoverAnswered) {
            transfer.successorAnswered();
        } else if (message instanceof LeaderMessage.ShutdownRequested m) {
            transfer.shutDown(m.onCompleted());
        }
    }

    /** Detects a pause of the process. Runs before the messages that queued up during the pause are handled, since they must not count as prompt. */
    private void detectPause() {
        long now = now();
        if (now - lastMessageMicros > PAUSE_THRESHOLD_MICROS) {
            log.warn("process paused for {} ms", (now - lastMessageMicros) / Micros.MILLISECOND);
            collaborators.workerConnectivity().processPaused(now);
            if (term != null) {
                term.processResumed(now);
            }
        }
        lastMessageMicros = now;
    }

    /** Passes a message to the current term; a message of a previous term is dropped. */
    private void termMessageReceived(TermMessage message) {
        if (term != null && term.fencingToken() == message.fencingToken()) {
            term.receive(message);
        }
    }

    private void tickDue() {
        if (term != null) {
            tick(term);
        }
        tellLater(new LeaderMessage.TickDue(), TICK_MICROS);
    }

    private void tick(LeaderTerm current) {
        long now = now();
        if (current.isLoaded()) {
            peerExchange.sendUrgentStatusIfWorkersAreSilent(current, now);
            if (!transfer.isShuttingDown()) {
                current.tick(now);
            }
        }
        peerExchange.sendStatusIfDue(current, now);
        if (current.isLoaded()) {
            current.logSummaryIfDue(now);
        }
    }

    private void leaseTickDue() {
        advanceElection();
        tellLater(new LeaderMessage.LeaseTickDue(), LEASE_TICK_MICROS);
    }

    private void recordObserved(LeaderMessage.RecordObserved message) {
        if (term != null) {
            term.recordObserved(message);
        }
    }

    private void storeRead(LeaderMessage.StoreRead message) {
        collaborators.cancellations().storeRead(message);
        if (term != null) {
            term.storeRead(message.requestSentMicros());
        }
    }

    private void leaseMessageReceived(LeaderMessage.LeaseMessage message) {
        collaborators.lease().receive(message);
        endTermIfFenced();
        advanceElection();
    }

    private void rolloutMessageReceived(LeaderMessage.RolloutMessage message) {
        RolloutParticipant rollout = collaborators.rollout();
        if (message instanceof LeaderMessage.FeatureStagesObserved m) {
            rollout.flagsObserved(m.version(), m.stages());
        } else if (message instanceof LeaderMessage.FeatureStagesRead m) {
            rollout.flagsRead(m.reply());
            advanceElection();
        } else if (message instanceof LeaderMessage.RegistrationRead m) {
            rollout.registrationRead(m.reply());
            advanceElection();
        } else if (message instanceof LeaderMessage.RegistrationWritten m) {
            rollout.registrationAnswered(m.reply());
        }
    }

    private void standbyMessageReceived(StandbyMessage message) {
        collaborators.standbyCoordinator().receive(message, term == null ? 0 : term.fencingToken());
        advanceElection();
    }

    /** Sends the request that the election needs next (read, lease grant, renewal or claim). During a shutdown, takes its next step instead. */
    private void advanceElection() {
        long now = now();
        if (transfer.isShuttingDown()) {
            transfer.advance(now);
            return;
        }
        collaborators.rollout().advance(collaborators.election().leaseId(), now);
        boolean hasWorkers = collaborators.workerConnectivity().isConnected(now);
        collaborators.lease().advance(now, collaborators.standbyCoordinator().claimDelayMicros(hasWorkers, now));
    }

    // ---- the term

    /** Starts a term after a successful claim of the leader record, whose revision is the fencing token. */
    void startTerm(long fencingToken, long now) {
        log.info("became leader with fencing token {}", fencingToken);
        collaborators.peers().termStarted();
        collaborators.standbyCoordinator().termStarted(fencingToken, now);
        collaborators.workerConnectivity().termStarted(now);
        term = termFactory.create(fencingToken, now);
        term.start();
    }

    /** Ends the term if the election no longer has its fencing token, that is, if this controller no longer leads. */
    void endTermIfFenced() {
        if (term != null && collaborators.election().fencingToken() != term.fencingToken()) {
            log.warn("fenced: term {} is over", term.fencingToken());
            term.end();
            term = null;
        }
    }

    /** Steps down, since the store refused a write because the leader record no longer belongs to this term. */
    void writeFenced() {
        collaborators.election().stepDown();
        collaborators.election().invalidateRecord();
        endTermIfFenced();
    }

    /** Handles a fencing token that a worker knows, 0 for none. A higher one than that of this term means that another controller leads. */
    void observeFencingToken(long fencingToken) {
        observeFencingToken(fencingToken, null);
    }

    /** Handles a fencing token that a peer knows, 0 for none, with the label of the leader that has it; null if the label is not known. */
    void observeFencingToken(long fencingToken, String leader) {
        if (collaborators.election().observeToken(fencingToken, leader)) {
            endTermIfFenced();
        }
    }

    /** Extends the time until which the term relies on the lease, since it was renewed. */
    void leaseRenewed() {
        if (term != null) {
            term.leaseHeldUntil(collaborators.election().leaseHeldUntilMicros());
        }
    }

    /** Notifies the term that the stages of features have changed. */
    void featureStagesChanged() {
        if (term != null) {
            term.featureStagesChanged();
        }
    }

    /** Returns whether a shutdown was requested, in which case no new work is begun as leader. */
    boolean isShuttingDown() {
        return transfer.isShuttingDown();
    }
}
