package io.micatide.node;

import io.micatide.core.CancelReach;
import io.micatide.core.CloudCall;
import io.micatide.core.JobDirectory;
import io.micatide.core.JobProgress;
import io.micatide.core.LayoutWatch;
import io.micatide.core.Leadership;
import io.micatide.core.ListedMachine;
import io.micatide.core.MachineReport;
import io.micatide.core.MachineType;
import io.micatide.core.Micros;
import io.micatide.core.ReadBack;
import io.micatide.core.Row;
import io.micatide.core.Scheduler;
import io.micatide.core.Settings;
import io.micatide.core.StoreKeys;
import io.micatide.core.Transaction;
import io.micatide.core.Tuning;
import io.micatide.core.WorkerReach;
import io.micatide.history.Archivist;
import io.micatide.net.CloudClient;
import io.micatide.net.Http;
import io.micatide.net.Request;
import io.micatide.net.Reply;
import io.micatide.net.StateClient;
import io.micatide.wire.CloudCodec;
import io.micatide.wire.Json;
import io.micatide.wire.MalformedException;
import io.micatide.wire.PeerCodec;
import io.micatide.wire.StateCodec;
import io.micatide.wire.WorkerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Claims the lead, and while it has it runs a {@link Scheduler} and answers the workers. */
final class LeaderActor extends Actor<LeaderActor.Message> {
    sealed interface Message {
    }

    record Tick() implements Message {
    }

    record LeaseTick() implements Message {
    }

    record Report(Request request) implements Message {
    }

    record PeerNews(Request request) implements Message {
    }

    record JobSeen(JobDirectory.View view) implements Message {
    }

    record JobsSeen(List<JobDirectory.View> jobs) implements Message {
    }

    /** The mark that every controller reads the present layout is in the state service. */
    record LayoutSeen(long version, Row.Layout layout) implements Message {
    }

    record StateFresh(long askedMicros) implements Message {
    }

    record RowRead(Reply reply) implements Message {
    }

    record Granted(Reply reply, long askedMicros) implements Message {
    }

    record Claimed(Reply reply) implements Message {
    }

    record Touched(Reply reply, long askedMicros) implements Message {
    }

    record Watched(Reply reply) implements Message {
    }

    /** Ledgers or bookings that a new leader has read. */
    record RowsLoaded(long token, List<StateCodec.Item> rows) implements Message {
    }

    record TypesLoaded(long token, List<MachineType> types) implements Message {
    }

    /** One of the things that a new leader reads is whole. */
    record PartLoaded(long token) implements Message {
    }

    /** The archive's manifest, as the copy of the rows has it. */
    record HistorySeen(long version, Row.History manifest) implements Message {
    }

    /** Jobs that are over and that no open job needs, by a copy of the rows with this manifest. */
    record EndedFound(long token, List<Archivist.Ended> ended, long copyOfVersion) implements Message {
    }

    /** The archive has used so many changes. */
    record Spent(long token, int writes) implements Message {
    }

    record HistoryBegun(Reply reply, long token) implements Message {
    }

    record RoundAnswered(Reply reply, long token, Transaction round) implements Message {
    }

    record KeyRead(Reply reply, long token, String key) implements Message {
    }

    record ReadBackDue(long token) implements Message {
    }

    record WatchDue() implements Message {
    }

    record TypesStored(Reply reply, long token) implements Message {
    }

    record CloudAnswered(Reply reply, long token, CloudCall call) implements Message {
    }

    record ListRead(Reply reply, long token, long askedMicros, List<ListedMachine> before) implements Message {
    }

    record PeerAnswered(Reply reply, long token, int sibling) implements Message {
    }

    record LayoutMarked(Reply reply, long token, Row.Layout layout) implements Message {
    }

    private static final long TICK_MICROS = 100 * Micros.MILLISECOND;
    private static final long LEASE_TICK_MICROS = 50 * Micros.MILLISECOND;
    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;
    private static final long WATCH_MICROS = 20 * Micros.SECOND;
    private static final byte[] TOO_LONG = Json.error(null, "cut off");
    /** No message for so long, with a timer every 50 ms, means that the process stood still. */
    private static final long STALL_MICROS = Micros.SECOND;
    private static final long NEWS_MICROS = Micros.SECOND;
    private static final long URGENT_NEWS_MICROS = 250 * Micros.MILLISECOND;
    private static final long SUMMARY_MICROS = 5 * Micros.SECOND;
    private static final long ENDED_MICROS = Micros.SECOND;
    /** A few finished jobs are archived after so long, lest the last of a busy day keep their rows. */
    private static final long FEW_MICROS = 600 * Micros.SECOND;
    /** What fits a peer's request body. */
    private static final int NEWS_JOBS = 1_000;

    private final Settings settings;
    private final Tuning tuning;
    private final StateClient state;
    private final CloudClient cloud;
    private final UsersActor users;
    private final List<Http> siblings = new ArrayList<>();
    private final Leadership leadership;
    private final WorkerReach reach;
    private final CancelReach cancelReach;
    private boolean tooLong;
    private boolean watching;
    private Scheduler scheduler;
    /** What still has to be read before the scheduler may act: jobs, ledgers, bookings. */
    private int loading;
    private ReadBack unread = new ReadBack(List.of());
    private List<MachineType> storedTypes = List.of();
    private long newsMicros;
    private long activeMicros;
    private long urgentNewsMicros;
    private long summaryMicros;
    private boolean listing;
    private final LayoutWatch layout;
    private boolean rateRefused;
    private final Loop loop;
    private TakeOver takeOver;
    /** The mark and the archive's manifest as the copy of the rows has them. */
    private long markVersion;
    private Row.Layout mark;
    private long historyVersion;
    private Row.History history;
    private final ArchivistActor archivist;
    private boolean archiving;
    private long endedAskedMicros;
    private long fewSinceMicros;

    LeaderActor(Loop loop, Settings settings, Tuning tuning, StateClient state, CloudClient cloud, UsersActor users,
            Http.Connector connector, Archivist.Maker maker) {
        super(loop);
        this.settings = settings;
        this.tuning = tuning;
        this.state = state;
        this.cloud = cloud;
        this.users = users;
        for (Settings.Sibling sibling : settings.siblings()) {
            siblings.add(connector.to(sibling.endpoint(), 2));
        }
        this.layout = new LayoutWatch(siblings.size());
        this.loop = loop;
        this.activeMicros = now();
        this.fewSinceMicros = now();
        this.archivist = new ArchivistActor(loop, settings, tuning.historyBatch(), maker, state, this);
        this.reach = new WorkerReach(settings, now());
        this.cancelReach = new CancelReach(settings);
        this.leadership = new Leadership(settings.label(), tuning.leaderLeaseMicros());
    }

    @Override
    protected void receive(Message message) {
        noticeStall();
        if (message instanceof Report m) {
            report(m.request());
        } else if (message instanceof Tick) {
            tick();
            tellLater(new Tick(), TICK_MICROS);
        } else if (message instanceof LeaseTick) {
            advance();
            tellLater(new LeaseTick(), LEASE_TICK_MICROS);
        } else if (message instanceof JobSeen m) {
            if (leadsAndLoaded() || scheduler != null) {
                jobSeen(m.view());
            }
        } else if (message instanceof StateFresh m) {
            if (scheduler != null) {
                cancelReach.fresh(m.askedMicros());
                scheduler.stateFresh(m.askedMicros());
            }
        } else if (message instanceof RoundAnswered m) {
            roundAnswered(m);
        } else if (message instanceof KeyRead m) {
            keyRead(m);
        } else if (message instanceof CloudAnswered m) {
            cloudAnswered(m);
        } else if (message instanceof ListRead m) {
            listRead(m);
        } else if (message instanceof RowsLoaded m) {
            rowsLoaded(m);
        } else if (message instanceof PartLoaded m) {
            if (leads(m.token())) {
                loadedOne();
            }
        } else if (message instanceof TypesLoaded m) {
            if (leads(m.token())) {
                storedTypes = m.types();
                scheduler.typesKnown(storedTypes, now());
            }
        } else if (message instanceof EndedFound m) {
            endedFound(m);
        } else if (message instanceof Spent m) {
            if (leads(m.token())) {
                scheduler.spent(m.writes());
            }
        } else if (message instanceof HistorySeen m) {
            historySeen(m.version(), m.manifest());
        } else if (message instanceof HistoryBegun m) {
            historyBegun(m);
        } else if (message instanceof JobsSeen m) {
            jobsSeen(m);
        } else if (message instanceof PeerNews m) {
            peerNews(m.request());
        } else if (message instanceof PeerAnswered m) {
            peerAnswered(m);
        } else if (message instanceof ReadBackDue m) {
            if (scheduler != null && scheduler.token() == m.token()) {
                readBack();
            }
        } else if (message instanceof WatchDue) {
            watching = false;
        } else if (message instanceof LayoutSeen m) {
            markVersion = m.version();
            mark = m.layout();
            if (scheduler != null) {
                scheduler.layoutMarked(m.version(), m.layout());
            }
        } else if (message instanceof LayoutMarked m) {
            layoutMarked(m);
        } else if (message instanceof TypesStored m) {
            if (!m.reply().ok()) {
                storedTypes = List.of();
            }
        } else {
            leadershipAnswer(message);
            advance();
        }
    }

    /** Before anything that waited meanwhile is taken in. */
    private void noticeStall() {
        long now = now();
        if (now - activeMicros > STALL_MICROS) {
            log.warn("stood still for {} ms", (now - activeMicros) / Micros.MILLISECOND);
            reach.stalled(now);
            if (scheduler != null) {
                scheduler.resumed(now);
            }
        }
        activeMicros = now;
    }

    // ---- leadership

    private void advance() {
        long now = now();
        if (!watching && leadership.leader() != null) {
            watching = true;
            state.watch(StoreKeys.LEADER, Math.max(leadership.rowVersion(), watchFrom), WATCH_MICROS,
                    answer(Watched::new));
        }
        switch (leadership.next(now, reach.reached(now))) {
            case READ_ROW -> state.read(StoreKeys.LEADER, answer(RowRead::new));
            case GRANT_LEASE -> state.grant(leadership.ttlMicros(), answer(r -> new Granted(r, now)));
            case TOUCH -> state.touch(leadership.lease(), answer(r -> new Touched(r, now)));
            case CLAIM -> {
                Row row = new Row.Leader(settings.label());
                state.transaction(new Transaction(
                        List.of(new Transaction.Compare(StoreKeys.LEADER, leadership.rowVersion())),
                        List.of(new Transaction.Write(StoreKeys.LEADER, row, leadership.lease()))),
                        answer(Claimed::new));
            }
            case NOTHING -> {
            }
        }
    }

    private long watchFrom;

    private void leadershipAnswer(Message message) {
        long now = now();
        long pause = 200 * Micros.MILLISECOND;
        try {
            if (message instanceof RowRead m) {
                if (m.reply().ok()) {
                    StateCodec.Item item = StateCodec.item(m.reply().body());
                    watchFrom = Math.max(watchFrom, item.version());
                    leadership.rowRead(((Row.Leader) item.row()).owner(), item.version());
                } else if (m.reply().status() == 404) {
                    leadership.rowRead(null, 0);
                } else {
                    leadership.failed(now, pause);
                }
            } else if (message instanceof Granted m) {
                if (m.reply().ok()) {
                    leadership.granted(StateCodec.granted(m.reply().body()), m.askedMicros());
                } else {
                    leadership.failed(now, pause);
                }
            } else if (message instanceof Touched m) {
                if (m.reply().ok()) {
                    leadership.touched(m.askedMicros());
                    if (scheduler != null) {
                        scheduler.holdsUntil(leadership.holdsUntilMicros());
                    }
                } else if (m.reply().status() == 404) {
                    leadership.leaseGone();
                } else {
                    leadership.failed(now, pause);
                }
            } else if (message instanceof Claimed m) {
                claimed(m.reply(), now);
            } else if (message instanceof Watched m) {
                watched(m.reply());
            }
        } catch (MalformedException e) {
            log.error("leader row: {}", e.getMessage());
            leadership.failed(now, Micros.SECOND);
        }
        checkDeposed();
    }

    private void claimed(Reply reply, long now) throws MalformedException {
        if (reply.ok()) {
            long token = StateCodec.revision(reply.body());
            watchFrom = Math.max(watchFrom, token);
            leadership.claimed(token);
            begin(token, now);
        } else if (reply.status() == 409) {
            leadership.claimRefused();
        } else if (reply.status() == 400) {
            leadership.leaseGone();
        } else if (reply.notExecuted()) {
            leadership.failed(now, 100 * Micros.MILLISECOND);
        } else {
            leadership.claimUnknown(now);
        }
    }

    private void watched(Reply reply) throws MalformedException {
        watching = false;
        if (reply.ok()) {
            StateCodec.Items changes = StateCodec.changes(reply.body());
            for (StateCodec.Item item : changes.items()) {
                if (item.version() >= leadership.rowVersion()) {
                    leadership.row(item.row() instanceof Row.Leader row ? row.owner() : null,
                            item.row() == null ? 0 : item.version());
                }
            }
            watchFrom = Math.max(watchFrom, changes.revision());
        } else {
            watching = true;
            if (reply.status() == 410) {
                watchFrom = 0;
            }
            leadership.forgetRow();
            tellLater(new WatchDue(), RETRY_MICROS);
        }
    }

    private void checkDeposed() {
        if (scheduler != null && leadership.token() != scheduler.token()) {
            log.warn("fenced: term {} is over", scheduler.token());
            scheduler = null;
            loading = 0;
            archivist.tell(new ArchivistActor.End());
            archiving = false;
            users.tell(new UsersActor.Unfollow());
        }
    }

    private void begin(long token, long now) {
        log.info("leads with token {}", token);
        scheduler = new Scheduler(settings, tuning, token, now);
        loading = 4;
        unread = new ReadBack(List.of());
        listing = false;
        layout.begin();
        rateRefused = false;
        newsMicros = 0;
        scheduler.holdsUntil(leadership.holdsUntilMicros());
        reach.begin(now);
        cancelReach.begin(now);
        tooLong = false;
        storedTypes = List.of();
        markVersion = 0;
        mark = null;
        historyVersion = 0;
        history = null;
        archiving = false;
        users.tell(new UsersActor.Follow(this));
        takeOver = new TakeOver(loop, state, this, token);
        takeOver.read(StoreKeys.BOOKINGS);
        takeOver.read(StoreKeys.TYPES);
    }

    private boolean leads(long token) {
        return scheduler != null && scheduler.token() == token;
    }

    private boolean leadsAndLoaded() {
        return scheduler != null && loading == 0;
    }

    private void jobSeen(JobDirectory.View view) {
        scheduler.jobSeen(view, wall(), now());
    }

    /** The open and the cancelled jobs by a read that began after our claim: every start of an earlier leader belongs to one of them. */
    private void jobsSeen(JobsSeen message) {
        if (scheduler != null && loading > 0) {
            message.jobs().forEach(this::jobSeen);
            takeOver.read(StoreKeys.LEDGERS);
            loadedOne();
        }
    }

    private void rowsLoaded(RowsLoaded message) {
        if (!leads(message.token())) {
            return;
        }
        long now = now();
        for (StateCodec.Item item : message.rows()) {
            if (item.row() instanceof Row.Ledger ledger) {
                scheduler.ledgerLoaded(item.key(), ledger, item.version(), now);
            } else if (item.row() instanceof Row.Booking booking) {
                scheduler.bookingLoaded(item.key().substring(StoreKeys.BOOKINGS.length()), booking, now);
            }
        }
    }

    private void loadedOne() {
        if (--loading == 0) {
            scheduler.loaded(now());
            log.info("term {} rebuilt: {}", scheduler.token(), scheduler.summary(now()));
            markLayout();
            archive();
        }
    }

    // ---- the archive

    private void historySeen(long version, Row.History manifest) {
        historyVersion = version;
        history = manifest;
        if (scheduler != null) {
            scheduler.historyKept();
            archive();
        }
    }

    /** Once all is read and there is an archive, and if this controller is to keep it. */
    private void archive() {
        if (tuning.history() && leadsAndLoaded() && history != null && !archiving) {
            archiving = true;
            archivist.tell(new ArchivistActor.Begin(scheduler.token(), history, historyVersion));
        }
    }

    /** Not at every tick: what is over can wait, and finding it goes over all open jobs. */
    private void keepArchive(long now) {
        if (!archiving) {
            return;
        }
        long token = scheduler.token();
        if (now - endedAskedMicros >= ENDED_MICROS) {
            endedAskedMicros = now;
            users.tell(new UsersActor.FindEnded(token));
        }
        archivist.tell(new ArchivistActor.Spare(token, scheduler.spareWrites(now)));
    }

    private void endedFound(EndedFound message) {
        if (!leads(message.token()) || !archiving) {
            return;
        }
        List<Archivist.Ended> settled = message.ended().stream()
                .filter(each -> each.outcome() == null || scheduler.settled(each.id())).toList();
        long now = now();
        boolean anyway = now - fewSinceMicros >= FEW_MICROS;
        if (anyway || settled.isEmpty() || settled.size() >= tuning.historyBatch()) {
            fewSinceMicros = now;
        }
        archivist.tell(new ArchivistActor.Offer(message.token(), settled, message.copyOfVersion(), anyway));
    }

    /** The archive begins with an empty manifest, once every controller reads it. */
    private void beginHistory() {
        if (!tuning.history() || !leadsAndLoaded() || history != null || !layout.mark(Settings.LAYOUT_HISTORY)) {
            return;
        }
        long token = scheduler.token();
        // The mark is written anew along with it: what a former version writes of jobs that need others has the mark's version as
        // a condition, and may arrive minutes late.
        Row.Layout renewed = new Row.Layout(Settings.LAYOUT_HISTORY, mark == null ? settings.pageTasks() : mark.pageTasks());
        state.transaction(new Transaction(
                List.of(new Transaction.Compare(StoreKeys.LEADER, token), new Transaction.Compare(StoreKeys.LAYOUT, markVersion),
                        new Transaction.Compare(StoreKeys.HISTORY, 0)),
                List.of(new Transaction.Write(StoreKeys.LAYOUT, renewed, 0),
                        new Transaction.Write(StoreKeys.HISTORY, Archivist.first(token, wall()), 0))),
                answer(r -> new HistoryBegun(r, token)));
    }

    /** Whoever wrote it, the copy of the rows tells of it. */
    private void historyBegun(HistoryBegun message) {
        if (message.reply().ok()) {
            log.info("all {} controllers read layout {}: the archive begins", siblings.size() + 1, Settings.LAYOUT_HISTORY);
        } else if (leads(message.token())) {
            layout.failed(Settings.LAYOUT_HISTORY);
        }
    }

    // ---- workers

    private void report(Request request) {
        MachineReport report;
        try {
            report = WorkerCodec.report(request.body());
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
            return;
        }
        if (report.token() > 0 && leadership.higherToken(report.token(), null)) {
            checkDeposed();
        }
        if (scheduler == null) {
            String leader = leadership.leader();
            long now = now();
            reach.cameHere(report.machine(), report.token(), leadership.highestToken(), now);
            boolean nobody = settings.label().equals(leader) || reach.leaderLost(now);
            request.answer(421, WorkerCodec.elsewhere(nobody ? null : leader));
            return;
        }
        reach.heard(now());
        if (!cancelReach.mayAnswer(now())) {
            if (!tooLong) {
                tooLong = true;
                log.warn("has read no cancellations for too long, and not all siblings are heard: workers are not answered any more");
            }
            request.answer(503, TOO_LONG);
            return;
        }
        tooLong = false;
        if (loading > 0) {
            // Renews the worker's lease; what the report says is taken from the next one.
            request.answer(200, WorkerCodec.answer(scheduler.token(), List.of()));
        } else {
            request.answer(200, WorkerCodec.answer(scheduler.token(), scheduler.report(report, now())));
        }
    }

    // ---- the scheduler's work

    private void tick() {
        long now = now();
        if (!leadsAndLoaded()) {
            if (scheduler != null) {
                news(now);
            }
            return;
        }
        askAfterWorkers(now);
        scheduler.tick(now);
        nextRound(now);
        keepArchive(now);
        for (CloudCall call : scheduler.cloudCalls(now)) {
            call(call, now);
        }
        scheduler.notices().forEach(log::info);
        scheduler.completions(now).forEach(log::debug);
        news(now);
        if (now - summaryMicros >= SUMMARY_MICROS) {
            summaryMicros = now;
            log.info("{}", scheduler.summary(now));
        }
    }

    private void nextRound(long now) {
        Transaction round = scheduler.round(now, wall());
        if (round != null) {
            long token = scheduler.token();
            state.transaction(round, answer(r -> new RoundAnswered(r, token, round)));
        }
    }

    private void roundAnswered(RoundAnswered message) {
        if (scheduler == null || scheduler.token() != message.token()) {
            return;
        }
        long now = now();
        Reply reply = message.reply();
        try {
            if (reply.ok()) {
                scheduler.roundConfirmed(StateCodec.revision(reply.body()), now);
                tellEnded();
                nextRound(now);
                return;
            }
            if (reply.notExecuted()) {
                if (reply.status() == 429 && !rateRefused) {
                    rateRefused = true;
                    log.info("a round was above the rate of the state service: tried again");
                }
                scheduler.roundNotExecuted(now);
                return;
            }
            if (reply.status() == 400) {
                logRefused(reply, message.round());
                scheduler.roundRefused(now);
                return;
            }
            if (reply.status() == 409 && StateCodec.failed(reply.body()).contains(StoreKeys.LEADER)) {
                log.info("a write was refused: fenced");
                leadership.depose();
                leadership.forgetRow();
                checkDeposed();
                return;
            }
        } catch (MalformedException e) {
            log.error("transaction answer: {}", e.getMessage());
        }
        log.warn("round of unknown outcome or refused ({}): reading back", reply.status());
        unread = new ReadBack(scheduler.roundUnresolved());
        readBack();
    }

    private void logRefused(Reply reply, Transaction round) {
        StringBuilder text = new StringBuilder();
        for (Transaction.Write write : round.writes()) {
            text.append(' ').append(write.key()).append(write.row() == null ? " deleted" : " " + StateCodec.size(write.row()));
        }
        log.warn("the state service takes no such transaction: {}; {} conditions, {} changes, bytes of each:{}",
                new String(reply.body(), StandardCharsets.UTF_8), round.conditions().size(), round.writes().size(), text);
    }

    /** Jobs may wait for what a round has ended: they need not wait for the next read of the changes as well. */
    private void tellEnded() {
        scheduler.ended().forEach(each -> users.tell(new UsersActor.Stored(each.id(), each.row(), each.version())));
    }

    private void readBack() {
        if (unread.finished()) {
            scheduler.roundResolved(now());
            tellEnded();
            return;
        }
        String key = unread.next();
        if (key != null) {
            long token = scheduler.token();
            state.read(key, answer(r -> new KeyRead(r, token, key)));
        }
    }

    private void keyRead(KeyRead message) {
        if (scheduler == null || scheduler.token() != message.token()) {
            return;
        }
        Reply reply = message.reply();
        try {
            if (reply.ok()) {
                StateCodec.Item item = StateCodec.item(reply.body());
                if (item.row() instanceof Row.Ledger ledger) {
                    scheduler.ledgerReadBack(item.key(), ledger, item.version());
                } else if (item.row() instanceof Row.JobRow row) {
                    scheduler.jobReadBack(item.key().substring(StoreKeys.JOBS.length()), row, item.version(),
                            now());
                }
            } else if (reply.status() == 404) {
                if (message.key().startsWith(StoreKeys.LEDGERS)) {
                    scheduler.ledgerReadBack(message.key(), null, 0);
                }
            } else {
                unread.failed();
                tellLater(new ReadBackDue(message.token()), RETRY_MICROS);
                return;
            }
        } catch (MalformedException e) {
            log.error("{}: {}", message.key(), e.getMessage());
        }
        unread.read();
        readBack();
    }

    // ---- the cloud

    private void call(CloudCall call, long now) {
        long token = scheduler.token();
        if (call instanceof CloudCall.Rent rent) {
            log.info("rents {} {} {} {}", rent.count(), rent.type(), rent.zone(), rent.spot() ? "spot" : "ordinary");
            cloud.rent(rent, answer(r -> new CloudAnswered(r, token, call)));
        } else if (call instanceof CloudCall.Delete delete) {
            log.info("returns {}", delete.machines());
            cloud.delete(delete.machines(), answer(r -> new CloudAnswered(r, token, call)));
        } else if (call instanceof CloudCall.ListTypes) {
            cloud.types(answer(r -> new CloudAnswered(r, token, call)));
        } else {
            cloud.list(null, answer(r -> new ListRead(r, token, now, List.of())));
        }
    }

    private void cloudAnswered(CloudAnswered message) {
        if (scheduler == null || scheduler.token() != message.token()) {
            return;
        }
        long now = now();
        Reply reply = message.reply();
        try {
            if (message.call() instanceof CloudCall.Rent rent) {
                if (reply.ok()) {
                    scheduler.rented(rent.booking(), CloudCodec.rented(reply.body()), now);
                } else if (reply.status() == 503 && CloudCodec.isNoCapacity(reply.body())) {
                    scheduler.noCapacity(rent.booking(), now);
                } else if (reply.notExecuted()) {
                    scheduler.rentNotExecuted(rent.booking());
                } else {
                    scheduler.rentUnanswered(rent.booking(), now);
                }
            } else if (message.call() instanceof CloudCall.Delete delete) {
                if (reply.ok()) {
                    scheduler.deleted(delete.machines(), now);
                }
            } else if (message.call() instanceof CloudCall.ListTypes && reply.ok()) {
                typesKnown(CloudCodec.types(reply.body()), now);
            }
        } catch (MalformedException e) {
            log.error("cloud: {}", e.getMessage());
        }
    }

    private void typesKnown(List<MachineType> types, long now) {
        scheduler.typesKnown(types, now);
        users.tell(new UsersActor.TypesKnown(types));
        if (!types.equals(storedTypes)) {
            storedTypes = types;
            long token = scheduler.token();
            state.transaction(new Transaction(List.of(new Transaction.Compare(StoreKeys.LEADER, token)),
                    List.of(new Transaction.Write(StoreKeys.TYPES, new Row.Types(types), 0))),
                    answer(r -> new TypesStored(r, token)));
        }
    }

    private void listRead(ListRead message) {
        if (scheduler == null || scheduler.token() != message.token()) {
            return;
        }
        long now = now();
        List<ListedMachine> machines = new ArrayList<>(message.before());
        if (message.reply().ok()) {
            try {
                CloudCodec.Page page = CloudCodec.page(message.reply().body());
                machines.addAll(page.machines());
                if (page.more() && !page.machines().isEmpty()) {
                    cloud.list(machines.get(machines.size() - 1).name(),
                            answer(r -> new ListRead(r, message.token(), message.askedMicros(), machines)));
                } else {
                    scheduler.listed(machines, message.askedMicros(), now);
                }
                return;
            } catch (MalformedException e) {
                log.error("cloud: {}", e.getMessage());
            }
        }
        scheduler.listed(null, message.askedMicros(), now);
    }

    // ---- siblings

    private void news(long now) {
        if (newsMicros != 0 && now - newsMicros < NEWS_MICROS) {
            return;
        }
        newsMicros = now;
        urgentNewsMicros = now;
        List<JobProgress> jobs = leadsAndLoaded() ? scheduler.progress() : List.of();
        if (leadsAndLoaded()) {
            users.tell(new UsersActor.Progress(true, jobs));
        }
        boolean served = state.reach().reached(now);
        for (int sibling = 0; sibling < siblings.size(); sibling++) {
            for (int from = 0; from == 0 || from < jobs.size(); from += NEWS_JOBS) {
                List<JobProgress> part = jobs.subList(from, Math.min(jobs.size(), from + NEWS_JOBS));
                tellSibling(sibling, served, from == 0, part, now);
            }
        }
    }

    private void tellSibling(int sibling, boolean served, boolean first, List<JobProgress> jobs, long now) {
        long token = scheduler.token();
        siblings.get(sibling).post("/news", PeerCodec.news(new PeerCodec.News(token, settings.label(), served,
                reach.silentMicros(now), first, jobs)), Http.PATIENCE_MICROS,
                answer(r -> new PeerAnswered(r, token, sibling)));
    }

    /** From the mark on, and only then, what a former version could not read is written. */
    private void markLayout() {
        if (!leadsAndLoaded()) {
            return;
        }
        if (mark != null) {
            beginHistory();
            return;
        }
        if (!layout.mark(Settings.LAYOUT_NEEDS)) {
            return;
        }
        long token = scheduler.token();
        Row.Layout mark = new Row.Layout(Settings.LAYOUT_NEEDS, settings.pageTasks());
        state.transaction(new Transaction(
                List.of(new Transaction.Compare(StoreKeys.LEADER, token), new Transaction.Compare(StoreKeys.LAYOUT, 0)),
                List.of(new Transaction.Write(StoreKeys.LAYOUT, mark, 0))),
                answer(r -> new LayoutMarked(r, token, mark)));
    }

    private void layoutMarked(LayoutMarked message) {
        try {
            if (message.reply().ok()) {
                log.info("all {} controllers read layout {}: marked", siblings.size() + 1, Settings.LAYOUT_NEEDS);
                users.tell(new UsersActor.LayoutKnown(StateCodec.revision(message.reply().body()), message.layout()));
                return;
            }
            if (message.reply().status() == 409 && StateCodec.failed(message.reply().body()).contains(StoreKeys.LAYOUT)) {
                return;
            }
        } catch (MalformedException e) {
            log.error("transaction answer: {}", e.getMessage());
        }
        // The next answers of the siblings bring the next try.
        if (scheduler != null && scheduler.token() == message.token()) {
            layout.failed(Settings.LAYOUT_NEEDS);
        }
    }

    /** Between two regular news, while no worker comes: do they come to a sibling? */
    private void askAfterWorkers(long now) {
        if (reach.worried(now) && now - urgentNewsMicros >= URGENT_NEWS_MICROS) {
            urgentNewsMicros = now;
            boolean served = state.reach().reached(now);
            for (int sibling = 0; sibling < siblings.size(); sibling++) {
                tellSibling(sibling, served, false, List.of(), now);
            }
        }
    }

    /**
     * Leaves the lead to a sibling that the workers reach. Ending the lease removes the row at once; should that request be
     * lost, the lease ends by itself.
     */
    private void resignIfUnreached(long now) {
        if (scheduler != null && reach.givesUp(state.reach().reached(now), now)) {
            log.warn("gives up term {}: no worker has come for {} ms, and they come to a sibling", scheduler.token(),
                    reach.silentMicros(now) / Micros.MILLISECOND);
            long lease = leadership.resign(now, settings.leaseMicros());
            state.endLease(lease, reply -> log.info("lease of the former term ended: {}", reply.status()));
            checkDeposed();
        }
    }

    private void peerNews(Request request) {
        try {
            PeerCodec.News news = PeerCodec.news(request.body());
            if (leadership.higherToken(news.token(), news.leader())) {
                checkDeposed();
            }
            long now = now();
            if (news.token() == leadership.highestToken()) {
                reach.leaderSilent(news.silentMicros(), now);
            }
            if (news.stateServed()) {
                state.reach().siblingServed(now());
            }
            if (scheduler == null && news.token() == leadership.highestToken()) {
                users.tell(new UsersActor.Progress(news.first(), news.jobs()));
            }
            request.answer(200, PeerCodec.answer(
                    new PeerCodec.Answer(leadership.highestToken(), reach.strayedAgoMicros(now), Settings.LAYOUT,
                            state.reach().reached(now))));
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
        }
    }

    private void peerAnswered(PeerAnswered message) {
        Reply reply = message.reply();
        if (reply.ok()) {
            try {
                PeerCodec.Answer answer = PeerCodec.answer(reply.body());
                if (leadership.higherToken(answer.token(), null)) {
                    checkDeposed();
                }
                long now = now();
                reach.strayedElsewhere(answer.strayedAgoMicros(), now);
                resignIfUnreached(now);
                if (scheduler != null && scheduler.token() == message.token()) {
                    cancelReach.heard(message.sibling(), answer.served(), now);
                    layout.heard(message.sibling(), answer.layout());
                    markLayout();
                }
            } catch (MalformedException e) {
                log.error("sibling: {}", e.getMessage());
            }
        }
    }
}
