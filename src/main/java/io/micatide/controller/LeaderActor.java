package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;
import io.micatide.jobs.JobCache;
import io.micatide.model.CancellationDigest;
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
import io.micatide.store.StoredRecord;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Whether this controller leads, and who else does. Answers workers and siblings; the lead itself is a {@link LeaderTerm}, which lasts from
 * the claim until it is fenced.
 */
final class LeaderActor extends Actor<LeaderActor.Message> {
    sealed interface Message
            permits Tick,
                    LeaseTick,
                    Report,
                    PeerNews,
                    JobSeen,
                    JobsSeen,
                    LayoutSeen,
                    HistorySeen,
                    StateFresh,
                    RowRead,
                    Granted,
                    Claimed,
                    Touched,
                    Watched,
                    WatchDue,
                    SwitchesSeen,
                    SwitchesRead,
                    OwnRowRead,
                    Registered,
                    PeerAnswered,
                    AskReadiness,
                    HandedOver,
                    End,
                    CancelledKnown,
                    TakenIn,
                    Confirmed,
                    TakeWithdrawn,
                    StandbyMessage,
                    TermMessage {}

    record Tick() implements Message {}

    record LeaseTick() implements Message {}

    record Report(Request request) implements Message {}

    record PeerNews(Request request) implements Message {}

    record JobSeen(JobCache.View view) implements Message {}

    record JobsSeen(List<JobCache.View> jobs) implements Message {}

    /** The mark that every controller reads the present layout is in the state service. */
    record LayoutSeen(long version, StoredRecord.Layout layout) implements Message {}

    /** The archive's manifest, as the copy of the rows has it. */
    record HistorySeen(long version, StoredRecord.ArchiveManifest manifest) implements Message {}

    /** The switches, as the copy of the rows has them. */
    record SwitchesSeen(long version, StoredRecord.FeatureStages row) implements Message {}

    record SwitchesRead(Reply reply) implements Message {}

    record OwnRowRead(Reply reply) implements Message {}

    record Registered(Reply reply) implements Message {}

    /** The changes were asked for then and are taken in, up to this revision. */
    record StateFresh(long askedMicros, long revision) implements Message {}

    /** Jobs that the copy has as cancelled, before the leader has it whole. */
    record CancelledKnown(List<String> jobs) implements Message {}

    /** What a sibling said of cancellations is in the copy. */
    record TakenIn(int sibling, CancellationDigest word, long askedMicros, long heardMicros) implements Message {}

    /** A user of this controller was told that a job is cancelled. */
    record Confirmed(CancellationDigest.Cancelled job) implements Message {}

    /** The same from a sibling. */
    record TakeWithdrawn(Request request) implements Message {}

    record RowRead(Reply reply) implements Message {}

    record Granted(Reply reply, long askedMicros) implements Message {}

    record Claimed(Reply reply) implements Message {}

    record Touched(Reply reply, long askedMicros) implements Message {}

    record Watched(Reply reply) implements Message {}

    record WatchDue() implements Message {}

    record PeerAnswered(Reply reply, long fencingToken, int sibling, long askedMicros) implements Message {}

    /** A cold sibling wants to know who would lead better. */
    record AskReadiness(Request request) implements Message {}

    record HandedOver(Reply reply) implements Message {}

    /** This process is to end in order; {@code done} once others can go on without it. */
    record End(Runnable done) implements Message {}

    private static final long TICK_MICROS = 100 * Micros.MILLISECOND;
    private static final long LEASE_TICK_MICROS = 50 * Micros.MILLISECOND;
    private static final byte[] TOO_LONG = Json.error(null, "cut off");
    /** No message for so long, with a timer every 50 ms, means that the process stood still. */
    private static final long STALL_MICROS = Micros.SECOND;

    private final ActorExecutor loop;
    private final Settings settings;
    private final Tuning tuning;
    private final StoreClient state;
    private final CloudClient cloud;
    private final UsersActor users;
    private final ArchiverActor archivist;
    private final Http.Connector connector;
    private final PeerChannel siblings;
    private final LeaderElection leadership;
    private final LeaderLease claims;
    private final RolloutParticipant rollout;
    private final WorkerConnectivity reach;
    private final CancellationExchange testimonies;
    private final StandbyCoordinator following;
    /** Null until this process is told to end. */
    private GracefulHandover handOver;

    private long activeMicros;
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
        this.loop = loop;
        this.settings = settings;
        this.tuning = tuning;
        this.state = state;
        this.cloud = cloud;
        this.users = users;
        this.connector = connector;
        this.siblings = new PeerChannel(this, settings, connector);
        this.activeMicros = now();
        this.archivist = new ArchiverActor(loop, settings, tuning.archiveBatchSize(), maker, state, this);
        this.reach = new WorkerConnectivity(settings, now());
        this.testimonies = new CancellationExchange(settings, users);
        this.leadership = new LeaderElection(settings.label(), tuning.leaderLeaseMicros());
        this.rollout = new RolloutParticipant(this, settings, abilities, state, users);
        this.claims = new LeaderLease(this, settings.label(), state, leadership, rollout);
        StandbyActor standby =
                tuning.standbyEnabled() ? new StandbyActor(loop, settings, state, users, this, copies) : null;
        this.following = new StandbyCoordinator(this, settings, siblings, claims, standby, now());
    }

    /** How this controller's term began, null if it does not lead. */
    FailoverTimings takeOver() {
        return term == null ? null : term.takeOver();
    }

    /** Whether it is appointed to take over. */
    boolean follows() {
        return following.appointed();
    }

    /** Sees what is brought to each take-over on this controller. */
    void witness(BiConsumer<String, List<StoreCodec.Item>> each) {
        following.standby().witness(each);
    }

    @Override
    protected void receive(Message message) {
        noticeStall();
        if (message instanceof Report m) {
            heartbeat(m.request());
        } else if (message instanceof TermMessage m) {
            if (term != null && term.fencingToken() == m.fencingToken()) {
                term.receive(m);
            }
        } else if (message instanceof Tick) {
            tick();
            tellLater(new Tick(), TICK_MICROS);
        } else if (message instanceof LeaseTick) {
            advance();
            tellLater(new LeaseTick(), LEASE_TICK_MICROS);
        } else if (message instanceof PeerNews m) {
            peerNews(m.request());
        } else if (message instanceof PeerAnswered m) {
            peerAnswered(m);
        } else if (message instanceof WatchDue) {
            claims.watchDue();
        } else if (message instanceof SwitchesSeen m) {
            rollout.seen(m.version(), m.row());
        } else if (message instanceof SwitchesRead m) {
            rollout.switchesRead(m.reply());
            advance();
        } else if (message instanceof OwnRowRead m) {
            rollout.ownRowRead(m.reply());
            advance();
        } else if (message instanceof Registered m) {
            rollout.registered(m.reply());
        } else if (message instanceof StateFresh m) {
            testimonies.fresh(m);
            if (term != null) {
                term.stateFresh(m.askedMicros());
            }
        } else if (message instanceof TakenIn m) {
            testimonies.takenIn(m);
        } else if (message instanceof Confirmed m) {
            testimonies.confirmed(m.job(), leadership.leader(), siblings);
        } else if (message instanceof TakeWithdrawn m) {
            testimonies.takeWithdrawn(m.request());
        } else if (message instanceof JobSeen
                || message instanceof JobsSeen
                || message instanceof CancelledKnown
                || message instanceof LayoutSeen
                || message instanceof HistorySeen) {
            if (term != null) {
                rowsSeen(message);
            }
        } else if (message instanceof StandbyMessage m) {
            following.receive(m, term == null ? 0 : term.fencingToken());
            advance();
        } else if (message instanceof AskReadiness m) {
            m.request().answer(200, PeerCodec.answer(ownAnswer(now())));
        } else if (message instanceof HandedOver m) {
            handOver.heirAnswered(m.reply().ok());
        } else if (message instanceof End m) {
            end(m.done());
        } else {
            claims.answered(message);
            checkDeposed();
            advance();
        }
    }

    /** What is due about the lead: asking, renewing, claiming; or ending it. */
    private void advance() {
        long now = now();
        if (handOver != null) {
            handOver.advance(now);
            return;
        }
        rollout.advance(leadership.leaseId(), now);
        claims.advance(now, following.waits(reach.isConnected(now), now));
    }

    /** The switches are not as they were. */
    void switchesChanged() {
        if (term != null) {
            term.switchesChanged();
        }
    }

    /** What the copy of the job rows tells a leader. */
    private void rowsSeen(Message message) {
        if (message instanceof JobSeen m) {
            term.jobSeen(m.view());
        } else if (message instanceof JobsSeen m) {
            term.jobsSeen(m.jobs());
        } else if (message instanceof LayoutSeen m) {
            term.layoutSeen(m.version(), m.layout());
        } else if (message instanceof HistorySeen m) {
            term.historySeen(m.version(), m.manifest());
        } else if (message instanceof CancelledKnown m) {
            term.cancelledKnown(m.jobs());
        }
    }

    /** Before anything that waited meanwhile is taken in. */
    private void noticeStall() {
        long now = now();
        if (now - activeMicros > STALL_MICROS) {
            log.warn("process paused for {} ms", (now - activeMicros) / Micros.MILLISECOND);
            reach.processPaused(now);
            if (term != null) {
                term.resumed(now);
            }
        }
        activeMicros = now;
    }

    // ---- terms

    /** Whether this process was told to end: nothing new is begun. */
    boolean ending() {
        return handOver != null;
    }

    /** The lease was renewed. */
    void leaseRenewed() {
        if (term != null) {
            term.holdsUntil(leadership.leaseHeldUntilMicros());
        }
    }

    /** A write was refused on condition of the token. */
    void fenced() {
        leadership.stepDown();
        leadership.forgetRow();
        checkDeposed();
    }

    /** The highest token that a worker has seen: a higher one than ours means that another controller leads. */
    void tokenSeen(long fencingToken) {
        if (fencingToken > 0 && leadership.observeToken(fencingToken, null)) {
            checkDeposed();
        }
    }

    /** The claim with this token was answered. */
    void begin(long fencingToken, long now) {
        log.info("became leader with fencing token {}", fencingToken);
        Scheduler scheduler = new Scheduler(settings, tuning, fencingToken, now);
        scheduler.leaseHeldUntil(leadership.leaseHeldUntilMicros());
        siblings.begin();
        following.begin(fencingToken, now);
        reach.termStarted(now);
        term = new LeaderTerm(
                this,
                users,
                scheduler,
                new FailoverLoader(loop, state, this, following.standby(), fencingToken),
                new LedgerCommitter(this, scheduler, state, users),
                new CloudCalls(this, scheduler, cloud, state, users),
                new RolloutDriver(this, settings, tuning, scheduler, state, users, rollout),
                new TermArchiving(this, tuning, scheduler, users, archivist),
                new LearnedStateWriter(this, settings, scheduler, state, rollout),
                new TermAnnouncer(this, settings, scheduler, connector, following.handedOver(now)));
        term.begin();
    }

    private void checkDeposed() {
        if (term != null && leadership.fencingToken() != term.fencingToken()) {
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
        if (term.loaded()) {
            if (reach.shouldAskPeers(now)) {
                siblings.askAfterWorkers(newsOf(now), now);
            }
            if (handOver == null) {
                term.tick(now);
            }
        }
        if (siblings.newsDue(now)) {
            List<JobProgress> jobs = term.progress();
            if (term.loaded()) {
                users.tell(new UsersActor.ProgressReported(true, jobs));
            }
            siblings.news(newsOf(now), jobs, now);
            if (term.loaded()) {
                following.tellHints(term, now);
            }
        }
        if (term.loaded()) {
            term.summary(now);
        }
    }

    private PeerChannel.Now newsOf(long now) {
        return new PeerChannel.Now(
                term.fencingToken(),
                state.reach().isConnected(now),
                reach.silentMicros(now),
                following.appoint(now),
                rollout.switches().version(),
                testimonies.revision());
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
        tokenSeen(heartbeat.fencingToken());
        if (handOver != null && handOver.over()) {
            request.answer(421, WorkerCodec.elsewhere(handOver.heir()));
            return;
        }
        if (term == null) {
            String leader = leadership.leader();
            long now = now();
            reach.heartbeatRedirected(heartbeat, leadership.highestFencingToken(), now);
            boolean nobody = settings.label().equals(leader) || reach.isLeaderUnreachable(now);
            request.answer(421, WorkerCodec.elsewhere(nobody ? null : leader));
            return;
        }
        reach.heartbeatReceived(now());
        if (!testimonies.mayAnswer(now())) {
            request.answer(503, TOO_LONG);
            return;
        }
        request.answer(200, WorkerCodec.answer(term.fencingToken(), term.heartbeat(heartbeat)));
    }

    // ---- siblings

    /**
     * Leaves the lead to a sibling that the workers reach. Ending the lease removes the row at once; should that request be
     * lost, the lease ends by itself.
     */
    private void resignIfUnreached(long now) {
        if (term != null && reach.shouldResign(state.reach().isConnected(now), now)) {
            log.warn(
                    "gives up term {}: no worker has come for {} ms, and they come to a sibling",
                    term.fencingToken(),
                    reach.silentMicros(now) / Micros.MILLISECOND);
            long lease = leadership.resign(now, settings.workerLeaseMicros());
            state.endLease(lease, reply -> log.info("lease of the former term ended: {}", reply.status()));
            checkDeposed();
        }
    }

    private void peerNews(Request request) {
        try {
            PeerCodec.News news = PeerCodec.news(request.body());
            if (leadership.observeToken(news.fencingToken(), news.leader())) {
                checkDeposed();
            }
            long now = now();
            if (news.fencingToken() == leadership.highestFencingToken()) {
                reach.leaderReportedSilence(news.silentMicros(), now);
            }
            rollout.newerThere(news.switches());
            if (news.stateServed()) {
                state.reach().peerServed(now);
            }
            if (term == null && news.fencingToken() == leadership.highestFencingToken()) {
                users.tell(new UsersActor.ProgressReported(news.first(), news.jobs()));
                following.told(news, now);
            }
            testimonies.answer(request, ownAnswer(now), news);
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private PeerCodec.Answer ownAnswer(long now) {
        return new PeerCodec.Answer(
                leadership.highestFencingToken(),
                reach.lastStrayAgoMicros(now),
                Settings.LAYOUT,
                state.reach().isConnected(now),
                handOver != null ? null : following.readiness(now));
    }

    /** Told to end: what is under way is finished or left, an heir is told, and the lease goes back. */
    private void end(Runnable done) {
        if (handOver != null) {
            return;
        }
        long now = now();
        int heir = term == null ? -1 : following.firstHeir(now);
        log.info(
                "told to end{}",
                term == null
                        ? ""
                        : ", hands term " + term.fencingToken() + " over"
                                + (heir < 0
                                        ? ", to nobody in particular"
                                        : " to " + settings.siblings().get(heir).label()));
        users.tell(new UsersActor.Closing());
        handOver = new GracefulHandover(
                term,
                heir < 0 ? null : settings.siblings().get(heir).label(),
                now,
                () -> siblings.handOver(heir, term.fencingToken(), term.lastRevision()),
                () -> giveBack(done));
        handOver.advance(now);
    }

    private void giveBack(Runnable done) {
        long lease = leadership.resign(now(), Long.MAX_VALUE / 4);
        checkDeposed();
        if (lease == 0) {
            done.run();
        } else {
            state.endLease(lease, reply -> {
                log.info("lease given back: {}", reply.status());
                done.run();
            });
        }
    }

    private void peerAnswered(PeerAnswered message) {
        Reply reply = message.reply();
        if (!reply.ok()) {
            return;
        }
        try {
            PeerCodec.Answer answer = PeerCodec.answer(reply.body());
            if (leadership.observeToken(answer.fencingToken(), null)) {
                checkDeposed();
            }
            long now = now();
            reach.peerReportedStray(answer.strayedAgoMicros(), now);
            resignIfUnreached(now);
            if (term != null && term.fencingToken() == message.fencingToken()) {
                testimonies.heard(message.sibling(), answer.testimony(), message.askedMicros(), now);
                following.heard(message.sibling(), answer, now);
            }
        } catch (MalformedException e) {
            log.error("sibling: {}", e.getMessage());
        }
    }
}
