package io.micatide.controller;

import io.micatide.jobs.JobCache;
import io.micatide.model.CloudCall;
import io.micatide.model.Command;
import io.micatide.model.Heartbeat;
import io.micatide.model.Hint;
import io.micatide.model.JobProgress;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import io.micatide.net.Reply;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.scheduler.FailoverTimings;
import io.micatide.scheduler.Scheduler;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What a controller does from its claim until it is fenced: reads, confirms, decides, writes. Part of the leader's actor. */
final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long SUMMARY_MICROS = 5 * Micros.SECOND;
    /** Jobs, ledgers, bookings, types, machines that are given back. */
    private static final int PARTS = 5;

    private final LeaderActor owner;
    private final UsersActor users;
    private final Scheduler scheduler;
    private final FailoverLoader takeOver;
    private final LedgerCommitter rounds;
    private final CloudCalls cloud;
    private final RolloutDriver steps;
    private final TermArchiving archiving;
    private final LearnedStateWriter learning;
    private final TermAnnouncer greeter;
    /** What still has to be read before the scheduler may act. */
    private int loading = PARTS;

    private long summaryMicros;
    /** Jobs known as cancelled until all is read; from then on the scheduler has them. */
    private final Set<String> cancelled = new HashSet<>();

    LeaderTerm(
            LeaderActor owner,
            UsersActor users,
            Scheduler scheduler,
            FailoverLoader takeOver,
            LedgerCommitter rounds,
            CloudCalls cloud,
            RolloutDriver steps,
            TermArchiving archiving,
            LearnedStateWriter learning,
            TermAnnouncer greeter) {
        this.owner = owner;
        this.users = users;
        this.scheduler = scheduler;
        this.takeOver = takeOver;
        this.rounds = rounds;
        this.cloud = cloud;
        this.steps = steps;
        this.archiving = archiving;
        this.learning = learning;
        this.greeter = greeter;
    }

    void begin() {
        users.tell(new UsersActor.Follow(owner));
        takeOver.tell(new FailoverLoader.Begin());
    }

    /** Whether the outcome of a write is still to come. */
    boolean writing() {
        return rounds.writing();
    }

    /** The latest revision that this term is known to have written, its claim included. */
    long lastRevision() {
        return Math.max(fencingToken(), rounds.lastRevision());
    }

    void end() {
        archiving.end();
        users.tell(new UsersActor.Unfollow());
    }

    long fencingToken() {
        return scheduler.fencingToken();
    }

    boolean loaded() {
        return loading == 0;
    }

    void holdsUntil(long untilMicros) {
        scheduler.leaseHeldUntil(untilMicros);
    }

    void resumed(long now) {
        scheduler.processResumed(now);
    }

    void stateFresh(long askedMicros) {
        scheduler.storeReadAt(askedMicros);
    }

    void layoutSeen(long version, StoredRecord.Layout layout) {
        steps.layoutSeen(version, layout);
    }

    void historySeen(long version, StoredRecord.ArchiveManifest manifest) {
        steps.historySeen();
        archiving.historySeen(version, manifest);
    }

    void switchesChanged() {
        steps.switchesChanged();
    }

    FailoverTimings takeOver() {
        return scheduler.failoverTimings();
    }

    List<Hint> hints(long now) {
        return scheduler.hints(now);
    }

    /** What siblings show to users; empty until all is read. */
    List<JobProgress> progress() {
        return loaded() ? scheduler.progress() : List.of();
    }

    /**
     * While something is still to be read a report renews the worker's lease and is told only what to stop of jobs that are known as
     * cancelled: what an answer prolongs must not be one of them. The rest of what it says is taken from the next one.
     */
    List<Command> heartbeat(Heartbeat heartbeat) {
        if (loaded()) {
            return scheduler.handleHeartbeat(heartbeat, owner.now());
        }
        List<Command> stops = new ArrayList<>();
        for (TaskStatus line : heartbeat.tasks()) {
            if (line.state() != TaskState.EXITED && cancelled.contains(line.job())) {
                stops.add(new Command.Stop(line.job(), line.taskIndex(), line.attempt(), 0));
            }
        }
        return stops;
    }

    void receive(TermMessage message) {
        if (message instanceof TermMessage.RoundAnswered m) {
            rounds.answered(m);
        } else if (message instanceof TermMessage.KeyRead m) {
            rounds.keyRead(m);
        } else if (message instanceof TermMessage.ReadBackDue) {
            rounds.readBack();
        } else if (message instanceof TermMessage.RefusedRead m) {
            rounds.refusedRead(m);
        } else if (message instanceof TermMessage.RefusedDue m) {
            rounds.readRefused(m.key());
        } else if (message instanceof TermMessage.CloudAnswered m) {
            cloud.handleAnswer(m);
        } else if (message instanceof TermMessage.ListRead m) {
            cloud.handleListPage(m);
        } else if (message instanceof TermMessage.Greeted m) {
            greeter.answered(m);
        } else if (message instanceof TermMessage.TypesStored m) {
            cloud.machineTypesStored(m.reply());
        } else if (message instanceof TermMessage.TypesLoaded m) {
            cloud.machineTypesLoaded(m.types(), owner.now());
        } else if (message instanceof TermMessage.RowsLoaded m) {
            rowsLoaded(m.rows());
        } else if (message instanceof TermMessage.HintsKept m) {
            scheduler.hintsReceived(m.hints(), false, owner.now());
        } else if (message instanceof TermMessage.PartLoaded) {
            loadedOne();
        } else if (message instanceof TermMessage.EndedFound m) {
            archiving.endedFound(m);
        } else if (message instanceof TermMessage.Spent m) {
            scheduler.writesSpent(m.writes());
        } else if (message instanceof TermMessage.HistoryBegun m) {
            steps.historyBegun(m);
        } else if (message instanceof TermMessage.LayoutMarked m) {
            steps.layoutMarked(m);
        } else if (message instanceof TermMessage.RosterRead m) {
            steps.rosterRead(m.reply());
        } else if (message instanceof TermMessage.Stepped m) {
            steps.featuresStepped(m);
        } else if (message instanceof TermMessage.FenceRead m) {
            fenceRead(m.reply());
        } else if (message instanceof TermMessage.LearnedStored m) {
            learning.stored(m);
        }
    }

    // ---- what is read first

    /** Before the rest is known of them. */
    void cancelledKnown(List<String> jobs) {
        if (!loaded()) {
            cancelled.addAll(jobs);
        }
    }

    void jobSeen(JobCache.View view) {
        if (!loaded() && view.state() == JobState.CANCELLED) {
            cancelled.add(view.id());
        }
        scheduler.jobChanged(view, owner.wall(), owner.now());
    }

    /** The open and the cancelled jobs by a read that began after our claim: every start of an earlier leader belongs to one of them. */
    void jobsSeen(List<JobCache.View> jobs) {
        if (loading > 0) {
            jobs.forEach(this::jobSeen);
            takeOver.tell(new FailoverLoader.JobsKnown());
            loadedOne();
        }
    }

    private void rowsLoaded(List<StoreCodec.Item> rows) {
        long now = owner.now();
        for (StoreCodec.Item item : rows) {
            if (item.row() instanceof StoredRecord.Ledger ledger) {
                scheduler.ledgerLoaded(item.key(), ledger, item.version(), now);
            } else if (item.row() instanceof StoredRecord.Provisioning booking) {
                scheduler.provisioningRequestLoaded(
                        item.key().substring(StoreKeys.PROVISIONING_REQUESTS.length()), booking, item.version(), now);
            } else if (item.row() instanceof StoredRecord.MachinesToDelete returned) {
                scheduler.machineDeletionLoaded(item.key(), returned, item.version(), now);
            } else if (item.row() instanceof StoredRecord.LearnedState learned) {
                learning.found(item.key(), learned);
                scheduler.hintsReceived(learned.hints(), true, now);
            }
        }
    }

    /** Bookings are written once their fence is known; nothing else waits for it. */
    private void fenceRead(Reply reply) {
        try {
            if (reply.ok()) {
                StoreCodec.Item item = StoreCodec.item(reply.body());
                scheduler.provisioningFenceRead(item.version(), ((StoredRecord.ProvisioningFence) item.row()).number());
            } else if (reply.status() == 404) {
                scheduler.provisioningFenceRead(0, 0);
            }
        } catch (MalformedException e) {
            LOG.error("fence of the bookings: {}", e.getMessage());
        }
    }

    private void loadedOne() {
        if (--loading == 0) {
            long now = owner.now();
            scheduler.allRecordsLoaded(now);
            cancelled.clear();
            LOG.info("term {} rebuilt: {}", fencingToken(), scheduler.summary(now));
            steps.loaded();
            archiving.loaded();
        }
    }

    // ---- time

    /** Called every so often once all is read. */
    void tick(long now) {
        greeter.next(now);
        scheduler.tick(now);
        rounds.next(now);
        steps.tick(now);
        archiving.tick(now);
        learning.tick(now);
        for (CloudCall call : scheduler.cloudCalls(now)) {
            cloud.send(call, now);
        }
        scheduler.takeNotices().forEach(LOG::info);
        scheduler.takeCompletions(now).forEach(LOG::debug);
    }

    void summary(long now) {
        if (now - summaryMicros >= SUMMARY_MICROS) {
            summaryMicros = now;
            LOG.info("{}", scheduler.summary(now));
        }
    }
}
