package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;
import io.micatide.model.Heartbeat;
import io.micatide.model.JobProgress;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.CloudClient;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.PeerCodec;
import io.micatide.protocol.StoreCodec;
import io.micatide.protocol.WorkerCodec;
import io.micatide.rollout.Capabilities;
import io.micatide.scheduler.FailoverTimings;
import io.micatide.scheduler.Scheduler;
import io.micatide.standby.KeyspaceReplica;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Whether this controller leads, and who else does. Answers workers and siblings; the lead itself is a {@link LeaderTerm}, which lasts from
 * the claim until it is fenced.
 */
final class LeaderActor extends Actor<LeaderMessage> {
    private static final long TICK_MICROS = 100 * Micros.MILLISECOND;
    private static final long LEASE_TICK_MICROS = 50 * Micros.MILLISECOND;
    private static final byte[] STORE_UNREAD_TOO_LONG = Json.error(null, "cut off");
    /** No message for so long, with a timer every 50 ms, means that the process stood still. */
    private static final long PAUSE_MICROS = Micros.SECOND;

    private final ActorExecutor executor;
    private final Settings settings;
    private final Tuning tuning;
    private final StoreClient store;
    private final CloudClient cloud;
    private final UsersActor users;
    private final ArchiverActor archiver;
    private final Http.Connector connector;
    private final PeerClients peers;
    private final LeaderElection election;
    private final LeaderLease lease;
    private final RolloutParticipant rollout;
    private final WorkerConnectivity workerConnectivity;
    private final CancellationExchange cancellations;
    private final StandbyCoordinator standby;
    /** Null until this process is told to end. */
    private GracefulHandover handover;

    private long lastMessageMicros;
    /** Null while another controller leads, or nobody. */
    private LeaderTerm term;

    LeaderActor(
            ActorExecutor loop,
            Settings settings,
            Tuning tuning,
            StoreClient state,
            CloudClient cloud,
            UsersActor users,
            Http.Connector connector,
            Archiver.Maker maker,
            KeyspaceReplica.Maker copies,
            Capabilities abilities) {
        super(loop);
        this.executor = loop;
        this.settings = settings;
        this.tuning = tuning;
        this.store = state;
        this.cloud = cloud;
        this.users = users;
        this.connector = connector;
        this.peers = new PeerClients(this, settings, connector);
        this.lastMessageMicros = now();
        this.archiver = new ArchiverActor(loop, settings, tuning.archiveBatchSize(), maker, state, this);
        this.workerConnectivity = new WorkerConnectivity(settings, now());
        this.cancellations = new CancellationExchange(settings, users);
        this.election = new LeaderElection(settings.label(), tuning.leaderLeaseMicros());
        this.rollout = new RolloutParticipant(this, settings, abilities, state, users);
        this.lease = new LeaderLease(this, settings.label(), state, election, rollout);
        StandbyActor standby =
                tuning.standbyEnabled() ? new StandbyActor(loop, settings, state, users, this, copies) : null;
        this.standby = new StandbyCoordinator(this, settings, peers, lease, standby, now());
    }

    /** How this controller's term began, null if it does not lead. */
    FailoverTimings failoverTimings() {
        return term == null ? null : term.takeOver();
    }

    /** Whether it is appointed to take over. */
    boolean isDesignatedStandby() {
        return standby.isDesignated();
    }

    /** Sees what is brought to each take-over on this controller. */
    void observeReplicaRecords(BiConsumer<String, List<StoreCodec.Item>> each) {
        standby.standby().witness(each);
    }

    @Override
    protected void receive(LeaderMessage message) {
        detectPause();
        if (message instanceof LeaderMessage.HeartbeatReceived m) {
            heartbeat(m.request());
        } else if (message instanceof TermMessage m) {
            if (term != null && term.fencingToken() == m.fencingToken()) {
                term.receive(m);
            }
        } else if (message instanceof LeaderMessage.TickDue) {
            tick();
            tellLater(new LeaderMessage.TickDue(), TICK_MICROS);
        } else if (message instanceof LeaderMessage.LeaseTickDue) {
            advance();
            tellLater(new LeaderMessage.LeaseTickDue(), LEASE_TICK_MICROS);
        } else if (message instanceof LeaderMessage.PeerStatusReceived m) {
            peerStatusReceived(m.request());
        } else if (message instanceof LeaderMessage.PeerStatusAnswered m) {
            peerStatusAnswered(m);
        } else if (message instanceof LeaderMessage.LeaderWatchDue) {
            lease.watchDue();
        } else if (message instanceof LeaderMessage.FeatureStagesObserved m) {
            rollout.seen(m.version(), m.stages());
        } else if (message instanceof LeaderMessage.FeatureStagesRead m) {
            rollout.switchesRead(m.reply());
            advance();
        } else if (message instanceof LeaderMessage.RegistrationRead m) {
            rollout.ownRowRead(m.reply());
            advance();
        } else if (message instanceof LeaderMessage.RegistrationWritten m) {
            rollout.registered(m.reply());
        } else if (message instanceof LeaderMessage.StoreRead m) {
            cancellations.storeRead(m);
            if (term != null) {
                term.storeRead(m.askedMicros());
            }
        } else if (message instanceof LeaderMessage.DigestRecorded m) {
            cancellations.digestRecorded(m);
        } else if (message instanceof LeaderMessage.CancellationConfirmed m) {
            cancellations.cancellationConfirmed(m.job(), election.leader(), peers);
        } else if (message instanceof LeaderMessage.PeerCancellationsReceived m) {
            cancellations.peerCancellationsReceived(m.request());
        } else if (message instanceof LeaderMessage.JobObserved
                || message instanceof LeaderMessage.JobsObserved
                || message instanceof LeaderMessage.CancellationsObserved
                || message instanceof LeaderMessage.LayoutObserved
                || message instanceof LeaderMessage.ArchiveManifestObserved) {
            if (term != null) {
                recordsObserved(message);
            }
        } else if (message instanceof StandbyMessage m) {
            standby.receive(m, term == null ? 0 : term.fencingToken());
            advance();
        } else if (message instanceof LeaderMessage.ReadinessRequested m) {
            m.request().answer(200, PeerCodec.answer(statusAnswer(now())));
        } else if (message instanceof LeaderMessage.HandoverAnswered m) {
            handover.successorAnswered(m.reply().ok());
        } else if (message instanceof LeaderMessage.ShutdownRequested m) {
            shutDown(m.onCompleted());
        } else {
            lease.answered(message);
            endTermIfFenced();
            advance();
        }
    }

    /** What is due about the lead: asking, renewing, claiming; or ending it. */
    private void advance() {
        long now = now();
        if (handover != null) {
            handover.advance(now);
            return;
        }
        rollout.advance(election.leaseId(), now);
        lease.advance(now, standby.claimDelayMicros(workerConnectivity.isConnected(now), now));
    }

    /** The switches are not as they were. */
    void featureStagesChanged() {
        if (term != null) {
            term.featureStagesChanged();
        }
    }

    /** What the copy of the job rows tells a leader. */
    private void recordsObserved(LeaderMessage message) {
        if (message instanceof LeaderMessage.JobObserved m) {
            term.jobObserved(m.view());
        } else if (message instanceof LeaderMessage.JobsObserved m) {
            term.jobsObserved(m.jobs());
        } else if (message instanceof LeaderMessage.LayoutObserved m) {
            term.layoutObserved(m.version(), m.layout());
        } else if (message instanceof LeaderMessage.ArchiveManifestObserved m) {
            term.archiveManifestObserved(m.version(), m.manifest());
        } else if (message instanceof LeaderMessage.CancellationsObserved m) {
            term.cancellationsObserved(m.jobs());
        }
    }

    /** Before anything that waited meanwhile is taken in. */
    private void detectPause() {
        long now = now();
        if (now - lastMessageMicros > PAUSE_MICROS) {
            log.warn("process paused for {} ms", (now - lastMessageMicros) / Micros.MILLISECOND);
            workerConnectivity.processPaused(now);
            if (term != null) {
                term.processResumed(now);
            }
        }
        lastMessageMicros = now;
    }

    // ---- terms

    /** Whether this process was told to end: nothing new is begun. */
    boolean isShuttingDown() {
        return handover != null;
    }

    /** The lease was renewed. */
    void leaseRenewed() {
        if (term != null) {
            term.leaseHeldUntil(election.leaseHeldUntilMicros());
        }
    }

    /** A write was refused on condition of the token. */
    void writeFenced() {
        election.stepDown();
        election.forgetRecord();
        endTermIfFenced();
    }

    /** The highest token that a worker has seen: a higher one than ours means that another controller leads. */
    void observeFencingToken(long fencingToken) {
        if (fencingToken > 0 && election.observeToken(fencingToken, null)) {
            endTermIfFenced();
        }
    }

    /** The claim with this token was answered. */
    void startTerm(long fencingToken, long now) {
        log.info("became leader with fencing token {}", fencingToken);
        Scheduler scheduler = new Scheduler(settings, tuning, fencingToken, now);
        scheduler.leaseHeldUntil(election.leaseHeldUntilMicros());
        peers.termStarted();
        standby.termStarted(fencingToken, now);
        workerConnectivity.termStarted(now);
        term = new LeaderTerm(
                this,
                users,
                scheduler,
                new FailoverLoader(executor, store, this, standby.standby(), fencingToken),
                new LedgerCommitter(this, scheduler, store, users),
                new CloudCalls(this, scheduler, cloud, store, users),
                new RolloutDriver(this, settings, tuning, scheduler, store, users, rollout),
                new TermArchiving(this, tuning, scheduler, users, archiver),
                new LearnedStateWriter(this, settings, scheduler, store, rollout),
                new TermAnnouncer(this, settings, scheduler, connector, standby.wasHandedOver(now)));
        term.start();
    }

    private void endTermIfFenced() {
        if (term != null && election.fencingToken() != term.fencingToken()) {
            log.warn("fenced: term {} is over", term.fencingToken());
            term.end();
            term = null;
        }
    }

    private void tick() {
        long now = now();
        if (term == null) {
            return;
        }
        if (term.isLoaded()) {
            if (workerConnectivity.shouldAskPeers(now)) {
                peers.sendUrgentStatus(currentStatus(now), now);
            }
            if (handover == null) {
                term.tick(now);
            }
        }
        if (peers.isStatusDue(now)) {
            List<JobProgress> jobs = term.progress();
            if (term.isLoaded()) {
                users.tell(new UsersActor.Progress(true, jobs));
            }
            peers.sendStatus(currentStatus(now), jobs, now);
            if (term.isLoaded()) {
                standby.sendHints(term, now);
            }
        }
        if (term.isLoaded()) {
            term.logSummaryIfDue(now);
        }
    }

    private PeerClients.LeaderStatus currentStatus(long now) {
        return new PeerClients.LeaderStatus(
                term.fencingToken(),
                store.reach().isConnected(now),
                workerConnectivity.silentMicros(now),
                standby.selectStandbys(now),
                rollout.switches().version(),
                cancellations.readRevision());
    }

    // ---- workers

    private void heartbeat(Request request) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.heartbeat(request.body());
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
            return;
        }
        observeFencingToken(heartbeat.fencingToken());
        if (handover != null && handover.isCompleted()) {
            request.answer(421, WorkerCodec.elsewhere(handover.successor()));
            return;
        }
        if (term == null) {
            String leader = election.leader();
            long now = now();
            workerConnectivity.heartbeatRedirected(heartbeat, election.highestFencingToken(), now);
            boolean nobody = settings.label().equals(leader) || workerConnectivity.isLeaderUnreachable(now);
            request.answer(421, WorkerCodec.elsewhere(nobody ? null : leader));
            return;
        }
        workerConnectivity.heartbeatReceived(now());
        if (!cancellations.mayAnswerWorkers(now())) {
            request.answer(503, STORE_UNREAD_TOO_LONG);
            return;
        }
        request.answer(200, WorkerCodec.answer(term.fencingToken(), term.handleHeartbeat(heartbeat)));
    }

    // ---- siblings

    /**
     * Leaves the lead to a sibling that the workers reach. Ending the lease removes the row at once; should that request be
     * lost, the lease ends by itself.
     */
    private void resignIfWorkersAreElsewhere(long now) {
        if (term != null && workerConnectivity.shouldResign(store.reach().isConnected(now), now)) {
            log.warn(
                    "gives up term {}: no worker has come for {} ms, and they come to a sibling",
                    term.fencingToken(),
                    workerConnectivity.silentMicros(now) / Micros.MILLISECOND);
            long lease = election.resign(now, settings.workerLeaseMicros());
            store.endLease(lease, reply -> log.info("lease of the former term ended: {}", reply.status()));
            endTermIfFenced();
        }
    }

    private void peerStatusReceived(Request request) {
        try {
            PeerCodec.News news = PeerCodec.news(request.body());
            if (election.observeToken(news.fencingToken(), news.leader())) {
                endTermIfFenced();
            }
            long now = now();
            if (news.fencingToken() == election.highestFencingToken()) {
                workerConnectivity.leaderReportedSilence(news.silentMicros(), now);
            }
            rollout.newerThere(news.switches());
            if (news.stateServed()) {
                store.reach().peerServed(now);
            }
            if (term == null && news.fencingToken() == election.highestFencingToken()) {
                users.tell(new UsersActor.Progress(news.first(), news.jobs()));
                standby.leaderStatusReceived(news, now);
            }
            cancellations.answerPeerStatus(request, statusAnswer(now), news);
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private PeerCodec.Answer statusAnswer(long now) {
        return new PeerCodec.Answer(
                election.highestFencingToken(),
                workerConnectivity.workerLostLeaderAgoMicros(now),
                Settings.LAYOUT,
                store.reach().isConnected(now),
                handover != null ? null : standby.readiness(now));
    }

    /** Told to end: what is under way is finished or left, an heir is told, and the lease goes back. */
    private void shutDown(Runnable done) {
        if (handover != null) {
            return;
        }
        long now = now();
        int heir = term == null ? -1 : standby.firstWarmStandby(now);
        log.info(
                "told to end{}",
                term == null
                        ? ""
                        : ", hands term " + term.fencingToken() + " over"
                                + (heir < 0
                                        ? ", to nobody in particular"
                                        : " to " + settings.siblings().get(heir).label()));
        users.tell(new UsersActor.Closing());
        handover = new GracefulHandover(
                term,
                heir < 0 ? null : settings.siblings().get(heir).label(),
                now,
                () -> peers.requestHandover(heir, term.fencingToken(), term.lastWrittenRevision()),
                () -> releaseLease(done));
        handover.advance(now);
    }

    private void releaseLease(Runnable done) {
        long lease = election.resign(now(), Long.MAX_VALUE / 4);
        endTermIfFenced();
        if (lease == 0) {
            done.run();
        } else {
            store.endLease(lease, reply -> {
                log.info("lease given back: {}", reply.status());
                done.run();
            });
        }
    }

    private void peerStatusAnswered(LeaderMessage.PeerStatusAnswered message) {
        Reply reply = message.reply();
        if (!reply.ok()) {
            return;
        }
        try {
            PeerCodec.Answer answer = PeerCodec.answer(reply.body());
            if (election.observeToken(answer.fencingToken(), null)) {
                endTermIfFenced();
            }
            long now = now();
            workerConnectivity.peerReportedWorkerLostLeader(answer.strayedAgoMicros(), now);
            resignIfWorkersAreElsewhere(now);
            if (term != null && term.fencingToken() == message.fencingToken()) {
                cancellations.digestReceived(message.peer(), answer.testimony(), message.askedMicros(), now);
                standby.peerStatusAnswered(message.peer(), answer, now);
            }
        } catch (MalformedException e) {
            log.error("sibling: {}", e.getMessage());
        }
    }
}
