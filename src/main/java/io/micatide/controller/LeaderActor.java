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
 * Leads, or follows whoever leads. Owns the present {@link LeaderTerm}, which lasts from the write of the leader record until a higher
 * fencing token is seen, the lease expires or leadership is given up, and passes each message to the class that handles it. A term is
 * over as soon as the {@link LeaderElection} no longer has its fencing token; {@link #endTermIfFenced()} is called after whatever may
 * have changed that.
 */
final class LeaderActor extends Actor<LeaderMessage> {
    private static final long TICK_MICROS = 100 * Micros.MILLISECOND;
    private static final long LEASE_TICK_MICROS = 50 * Micros.MILLISECOND;
    /** No message for so long, with a timer every 50 ms, means that the process was paused. */
    private static final long PAUSE_MICROS = Micros.SECOND;

    private final LeaderCollaborators collaborators;
    private final LeaderTermFactory terms;
    private final HeartbeatHandler heartbeats;
    private final LeadershipTransfer transfer;
    private final PeerExchange peerExchange;

    private long lastMessageMicros;
    /** Null while another controller leads, or nobody. */
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
        this.terms = new LeaderTermFactory(this, services, users, archiver, collaborators);
        this.heartbeats = new HeartbeatHandler(this, settings.label(), collaborators);
        this.transfer = new LeadershipTransfer(this, services, users, collaborators);
        this.peerExchange = new PeerExchange(this, services.store(), users, collaborators, transfer);
    }

    private LeaderCollaborators collaborators(
            ControllerServices services, UsersActor users, ControllerComponents components, PeerClients peers) {
        Settings settings = services.settings();
        Tuning tuning = services.tuning();
        WorkerConnectivity workers = new WorkerConnectivity(settings, now());
        CancellationExchange cancellations = new CancellationExchange(settings, users);
        LeaderElection election = new LeaderElection(settings.label(), tuning.leaderLeaseMicros());
        RolloutParticipant rollout =
                new RolloutParticipant(this, settings, components.capabilities(), services.store(), users);
        LeaderLease lease = new LeaderLease(this, settings.label(), services.store(), election, rollout);
        StandbyActor standbyActor = tuning.standbyEnabled()
                ? new StandbyActor(services.executor(), settings, services.store(), users, this, components.replicas())
                : null;
        StandbyCoordinator standby = new StandbyCoordinator(this, settings, peers, lease, standbyActor);
        return new LeaderCollaborators(election, lease, workers, cancellations, standby, peers, rollout);
    }

    /** How this controller's term began, null if it does not lead. */
    FailoverTimings failoverTimings() {
        return term == null ? null : term.failoverTimings();
    }

    /** Whether the leader has designated this controller to take over. */
    boolean isDesignatedStandby() {
        return collaborators.standby().isDesignated();
    }

    /** Shows {@code observer} the records that the standby's replicas bring to each failover to this controller. */
    void observeReplicaRecords(BiConsumer<String, List<StoreCodec.Item>> observer) {
        collaborators.standby().standby().setReplicaObserver(observer);
    }

    /** The present term, null while this controller does not lead; not an Optional, as it is asked for with each heartbeat. */
    LeaderTerm term() {
        return term;
    }

    /** How this controller gives leadership up. */
    LeadershipTransfer transfer() {
        return transfer;
    }

    // ---- messages

    @Override
    protected void receive(LeaderMessage message) {
        detectPause();
        if (message instanceof LeaderMessage.HeartbeatReceived m) {
            heartbeats.answer(m.request());
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

    /** Called before the messages that waited during a pause are handled: they must not be taken for prompt ones. */
    private void detectPause() {
        long now = now();
        if (now - lastMessageMicros > PAUSE_MICROS) {
            log.warn("process paused for {} ms", (now - lastMessageMicros) / Micros.MILLISECOND);
            collaborators.workers().processPaused(now);
            if (term != null) {
                term.processResumed(now);
            }
        }
        lastMessageMicros = now;
    }

    /** Messages of a former term are dropped. */
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
            term.storeRead(message.askedMicros());
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
        collaborators.standby().receive(message, term == null ? 0 : term.fencingToken());
        advanceElection();
    }

    /** Sends what is due about the election: a read, a lease, a renewal or a claim; during a shutdown, its next step. */
    private void advanceElection() {
        long now = now();
        if (transfer.isShuttingDown()) {
            transfer.advance(now);
            return;
        }
        collaborators.rollout().advance(collaborators.election().leaseId(), now);
        boolean hasWorkers = collaborators.workers().isConnected(now);
        collaborators.lease().advance(now, collaborators.standby().claimDelayMicros(hasWorkers, now));
    }

    // ---- the term

    /** The claim of the leader record succeeded; its revision is the fencing token. */
    void startTerm(long fencingToken, long now) {
        log.info("became leader with fencing token {}", fencingToken);
        collaborators.peers().termStarted();
        collaborators.standby().termStarted(fencingToken, now);
        collaborators.workers().termStarted(now);
        term = terms.create(fencingToken, now);
        term.start();
    }

    /** Ends the term if the election says that this controller no longer leads by its fencing token. */
    void endTermIfFenced() {
        if (term != null && collaborators.election().fencingToken() != term.fencingToken()) {
            log.warn("fenced: term {} is over", term.fencingToken());
            term.end();
            term = null;
        }
    }

    /** The store refused a write because the leader record is no longer ours. */
    void writeFenced() {
        collaborators.election().stepDown();
        collaborators.election().forgetRecord();
        endTermIfFenced();
    }

    /** A worker knows this fencing token, 0 for none: a higher one than ours means that another controller leads. */
    void observeFencingToken(long fencingToken) {
        observeFencingToken(fencingToken, null);
    }

    /** A peer knows this fencing token, and the label of the leader that has it; null if it does not say. */
    void observeFencingToken(long fencingToken, String leader) {
        if (collaborators.election().observeToken(fencingToken, leader)) {
            endTermIfFenced();
        }
    }

    /** The lease was renewed: the term may rely on it for longer. */
    void leaseRenewed() {
        if (term != null) {
            term.leaseHeldUntil(collaborators.election().leaseHeldUntilMicros());
        }
    }

    /** The stages of features are not as they were. */
    void featureStagesChanged() {
        if (term != null) {
            term.featureStagesChanged();
        }
    }

    /** Whether this process was told to end: nothing new is begun. */
    boolean isShuttingDown() {
        return transfer.isShuttingDown();
    }
}
