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

/**
 * What a controller does while it leads: it loads the state of the deployment, lets the {@link Scheduler} decide, writes the decisions to
 * the store and acts on them once they are confirmed. Until all is loaded the scheduler decides nothing, and heartbeats are answered only
 * with stops of jobs that are known as cancelled. A term has one fencing token and ends for good. Part of the leader's actor.
 */
final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long SUMMARY_INTERVAL_MICROS = 5 * Micros.SECOND;
    /** Jobs, ledgers, provisioning requests, machine types and machine deletions. */
    private static final int LOAD_STEPS = 5;

    private final LeaderActor owner;
    private final UsersActor users;
    private final Scheduler scheduler;
    private final FailoverLoader loader;
    private final LedgerCommitter committer;
    private final CloudCalls cloud;
    private final RolloutDriver rollout;
    private final TermArchiving archiving;
    private final LearnedStateWriter learnedState;
    private final TermAnnouncer announcer;
    /** How many of the {@link #LOAD_STEPS} are not yet complete; the scheduler decides once it is 0. */
    private int remainingLoadSteps = LOAD_STEPS;

    private long lastSummaryMicros;
    /** Jobs known as cancelled until all is loaded; from then on the scheduler has them. */
    private final Set<String> cancelledJobs = new HashSet<>();

    /** A term that has yet to be started; its fencing token is the scheduler's. */
    LeaderTerm(LeaderActor owner, UsersActor users, Scheduler scheduler, TermComponents components) {
        this.owner = owner;
        this.users = users;
        this.scheduler = scheduler;
        this.loader = components.loader();
        this.committer = components.committer();
        this.cloud = components.cloudCalls();
        this.rollout = components.rollout();
        this.archiving = components.archiving();
        this.learnedState = components.learnedState();
        this.announcer = components.announcer();
    }

    /** Begins to load. */
    void start() {
        users.tell(new UsersActor.SubscribeLeader(owner));
        loader.tell(new FailoverLoader.LoadRequested());
    }

    /** Whether the outcome of a write is still to come. */
    boolean isWritePending() {
        return committer.isWriteInFlight();
    }

    /** The latest revision that this term is known to have written, its claim included. */
    long lastWrittenRevision() {
        return Math.max(fencingToken(), committer.lastRevision());
    }

    /** This controller no longer leads: nothing is sent in the name of this term any more. */
    void end() {
        archiving.endTerm();
        users.tell(new UsersActor.UnsubscribeLeader());
    }

    /** The revision of the leader record that this controller wrote. */
    long fencingToken() {
        return scheduler.fencingToken();
    }

    /** Whether the scheduler knows all that it needs to decide. */
    boolean isLoaded() {
        return remainingLoadSteps == 0;
    }

    /** The leader's lease runs at least until this time on the steady clock. */
    void leaseHeldUntil(long untilMicros) {
        scheduler.leaseHeldUntil(untilMicros);
    }

    /** The process was paused and goes on. */
    void processResumed(long now) {
        scheduler.processResumed(now);
    }

    /** The job cache holds all that the store had at {@code askedMicros}. */
    void storeRead(long askedMicros) {
        scheduler.storeReadAt(askedMicros);
    }

    /** The stages of features are not as they were. */
    void featureStagesChanged() {
        rollout.flagsChanged();
    }

    /** When this term reached the stages of its failover. */
    FailoverTimings failoverTimings() {
        return scheduler.failoverTimings();
    }

    /** What a standby should know and no record holds. */
    List<Hint> hints(long now) {
        return scheduler.hints(now);
    }

    /** The progress of jobs, which peers show to users; empty until all is loaded. */
    List<JobProgress> progress() {
        return isLoaded() ? scheduler.progress() : List.of();
    }

    /**
     * Handles a worker's heartbeat. Until all is loaded the answer, which renews the worker's lease, holds only stops of jobs that are
     * known as cancelled, since they must not be prolonged; what else the heartbeat says is taken from the next one.
     *
     * @return the commands to the worker
     */
    List<Command> handleHeartbeat(Heartbeat heartbeat) {
        if (isLoaded()) {
            return scheduler.handleHeartbeat(heartbeat, owner.now());
        }
        List<Command> stops = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() != TaskState.EXITED && cancelledJobs.contains(task.job())) {
                stops.add(new Command.Stop(task.job(), task.taskIndex(), task.attempt(), 0));
            }
        }
        return stops;
    }

    /** Handles a message of this term. */
    void receive(TermMessage message) {
        if (message instanceof TermMessage.CommitMessage m) {
            commitMessageReceived(m);
        } else if (message instanceof TermMessage.CloudMessage m) {
            cloudMessageReceived(m);
        } else if (message instanceof TermMessage.AnnouncementAnswered m) {
            announcer.answered(m);
        } else if (message instanceof TermMessage.LoadMessage m) {

            loadMessageReceived(m);
        } else if (message instanceof TermMessage.ArchivableJobsFound m) {
            archiving.finishedJobsFound(m);
        } else if (message instanceof TermMessage.ArchiveWritesUsed m) {
            scheduler.writesSpent(m.writes());
        } else if (message instanceof TermMessage.RolloutStepMessage m) {
            rolloutStepMessageReceived(m);
        } else if (message instanceof TermMessage.LearnedStateWritten m) {
            learnedState.writeAnswered(m);
        }
    }

    private void commitMessageReceived(TermMessage.CommitMessage message) {
        if (message instanceof TermMessage.WriteBatchAnswered m) {
            committer.writeAnswered(m);
        } else if (message instanceof TermMessage.UnresolvedKeyRead m) {
            committer.unresolvedKeyRead(m);
        } else if (message instanceof TermMessage.ReadBackDue) {
            committer.readNextUnresolvedKey();
        } else if (message instanceof TermMessage.ConflictingKeyRead m) {
            committer.conflictedKeyRead(m);
        } else if (message instanceof TermMessage.ConflictingKeyReadDue m) {
            committer.readConflictedKey(m.key());
        }
    }

    private void cloudMessageReceived(TermMessage.CloudMessage message) {
        if (message instanceof TermMessage.CloudCallAnswered m) {
            cloud.handleAnswer(m);
        } else if (message instanceof TermMessage.MachinesListed m) {
            cloud.handleListPage(m);
        } else if (message instanceof TermMessage.MachineTypesWritten m) {
            cloud.machineTypesWriteAnswered(m.reply());
        }
    }

    private void loadMessageReceived(TermMessage.LoadMessage message) {
        if (message instanceof TermMessage.RecordsLoaded m) {
            recordsLoaded(m.records());
        } else if (message instanceof TermMessage.MachineTypesLoaded m) {
            cloud.machineTypesLoaded(m.types(), owner.now());
        } else if (message instanceof TermMessage.ReceivedHintsLoaded m) {
            scheduler.hintsReceived(m.hints(), false, owner.now());
        } else if (message instanceof TermMessage.ProvisioningFenceRead m) {
            provisioningFenceRead(m.reply());
        } else if (message instanceof TermMessage.LoadStepCompleted) {
            loadStepCompleted();
        }
    }

    private void rolloutStepMessageReceived(TermMessage.RolloutStepMessage message) {
        if (message instanceof TermMessage.ArchiveManifestCreated m) {
            rollout.manifestWriteAnswered(m);
        } else if (message instanceof TermMessage.LayoutWritten m) {
            rollout.layoutWriteAnswered(m);
        } else if (message instanceof TermMessage.RolloutRecordsRead m) {
            rollout.registryRead(m.reply());
        } else if (message instanceof TermMessage.FeatureStagesWritten m) {
            rollout.stagesWriteAnswered(m);
        }
    }

    /** Handles a record that the job cache of this controller has read. */
    void recordObserved(LeaderMessage.RecordObserved message) {
        if (message instanceof LeaderMessage.JobObserved m) {
            jobObserved(m.view());
        } else if (message instanceof LeaderMessage.JobsObserved m) {

            jobsObserved(m.jobs());
        } else if (message instanceof LeaderMessage.LayoutObserved m) {
            rollout.layoutObserved(m.version(), m.layout());
        } else if (message instanceof LeaderMessage.ArchiveManifestObserved m) {
            rollout.archiveObserved();
            archiving.manifestObserved(m.version(), m.manifest());
        } else if (message instanceof LeaderMessage.CancellationsObserved m) {

            cancellationsObserved(m.jobs());
        }
    }

    // ---- loading

    /** May come before anything else is known of these jobs. */
    private void cancellationsObserved(List<String> jobs) {
        if (!isLoaded()) {
            cancelledJobs.addAll(jobs);
        }
    }

    private void jobObserved(JobCache.View view) {
        if (!isLoaded() && view.state() == JobState.CANCELLED) {
            cancelledJobs.add(view.id());
        }
        scheduler.jobChanged(view, owner.wall(), owner.now());
    }

    /** The open and the cancelled jobs, by a read that began after the claim: each task that an earlier leader started is of one of them. */
    private void jobsObserved(List<JobCache.View> jobs) {
        if (remainingLoadSteps > 0) {
            jobs.forEach(this::jobObserved);
            loader.tell(new FailoverLoader.JobsLoaded());
            loadStepCompleted();
        }
    }

    private void recordsLoaded(List<StoreCodec.Item> records) {
        long now = owner.now();
        for (StoreCodec.Item item : records) {
            if (item.record() instanceof StoredRecord.Ledger ledger) {
                scheduler.ledgerLoaded(item.key(), ledger, item.version(), now);
            } else if (item.record() instanceof StoredRecord.Provisioning request) {
                scheduler.provisioningRequestLoaded(
                        item.key().substring(StoreKeys.PROVISIONING_REQUESTS.length()), request, item.version(), now);
            } else if (item.record() instanceof StoredRecord.MachinesToDelete deletion) {
                scheduler.machineDeletionLoaded(item.key(), deletion, item.version(), now);
            } else if (item.record() instanceof StoredRecord.LearnedState learned) {
                learnedState.recordObserved(item.key(), learned);
                scheduler.hintsReceived(learned.hints(), true, now);
            }
        }
    }

    /** Provisioning requests are written once their fence is known; nothing else waits for it. */
    private void provisioningFenceRead(Reply reply) {
        try {
            if (reply.ok()) {
                StoreCodec.Item item = StoreCodec.item(reply.body());
                scheduler.provisioningFenceRead(
                        item.version(), ((StoredRecord.ProvisioningFence) item.record()).number());
            } else if (reply.status() == 404) {
                scheduler.provisioningFenceRead(0, 0);
            }
        } catch (MalformedException e) {
            LOG.error("malformed provisioning fence: {}", e.getMessage());
        }
    }

    private void loadStepCompleted() {
        if (--remainingLoadSteps == 0) {
            long now = owner.now();
            scheduler.allRecordsLoaded(now);
            cancelledJobs.clear();
            LOG.info("term {} loaded: {}", fencingToken(), scheduler.summary(now));
            rollout.recordsLoaded();
            archiving.recordsLoaded();
        }
    }

    // ---- time

    /** Does what is due; called every 100 ms once all is loaded. */
    void tick(long now) {
        announcer.sendDue(now);
        scheduler.tick(now);
        committer.writeNextBatch(now);
        rollout.tick(now);
        archiving.tick(now);
        learnedState.tick(now);
        for (CloudCall call : scheduler.cloudCalls(now)) {
            cloud.send(call, now);
        }
        scheduler.takeNotices().forEach(LOG::info);
        scheduler.takeCompletions(now).forEach(LOG::debug);
    }

    /** Logs the state of the deployment every five seconds. */
    void logSummaryIfDue(long now) {
        if (now - lastSummaryMicros >= SUMMARY_INTERVAL_MICROS) {
            lastSummaryMicros = now;
            LOG.info("{}", scheduler.summary(now));
        }
    }
}
