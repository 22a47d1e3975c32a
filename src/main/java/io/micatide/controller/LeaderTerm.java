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
 * One term of leadership of this controller: loads the state of the deployment, lets the {@link Scheduler} decide, writes its decisions to
 * the store and acts on them once they are confirmed. Until loading is complete the scheduler decides nothing, and heartbeats are answered
 * only with stops of the tasks of jobs that are known to be cancelled. A term has one fencing token; a term that has ended is never resumed.
 * Part of the leader's actor.
 */
final class LeaderTerm {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderActor.class);
    private static final long SUMMARY_INTERVAL_MICROS = 5 * Micros.SECOND;
    /** The number of steps of loading: jobs, ledgers, provisioning requests, machine types and machine deletions. */
    private static final int LOAD_STEPS = 5;

    private final LeaderActor owner;
    private final UsersActor users;
    private final Scheduler scheduler;
    private final FailoverLoader loader;
    private final LedgerCommitter committer;
    private final CloudCalls cloudCalls;
    private final RolloutDriver rollout;
    private final TermArchiving archiving;
    private final LearnedStateWriter learnedState;
    private final TermAnnouncer announcer;
    /** The number of steps of loading that are not complete, from {@link #LOAD_STEPS} down to 0. The scheduler decides once it is 0. */
    private int remainingLoadSteps = LOAD_STEPS;

    private long lastSummaryMicros;
    /** Ids of the jobs that are known to be cancelled. Empty once loading is complete, since the scheduler knows them from then on. */
    private final Set<String> cancelledJobs = new HashSet<>();

    /** Creates a term with the fencing token of the given scheduler; {@link #start} starts it. */
    LeaderTerm(LeaderActor owner, UsersActor users, Scheduler scheduler, TermComponents components) {
        this.owner = owner;
        this.users = users;
        this.scheduler = scheduler;
        this.loader = components.loader();
        this.committer = components.committer();
        this.cloudCalls = components.cloudCalls();
        this.rollout = components.rollout();
        this.archiving = components.archiving();
        this.learnedState = components.learnedState();
        this.announcer = components.announcer();
    }

    /** Subscribes to changes of the job cache and begins to load the state of the deployment. */
    void start() {
        users.tell(new UsersActor.SubscribeLeader(owner));
        loader.tell(new FailoverLoader.LoadRequested());
    }

    /** Returns whether a write is in flight. */
    boolean isWritePending() {
        return committer.isWriteInFlight();
    }

    /** Returns the revision of the last confirmed write of this term, or that of its claim if there was none. */
    long lastWrittenRevision() {
        return Math.max(fencingToken(), committer.lastRevision());
    }

    /** Ends the archiving of this term and its subscription to the job cache. Nothing is sent in the name of this term afterwards. */
    void end() {
        archiving.endTerm();
        users.tell(new UsersActor.UnsubscribeLeader());
    }

    /** Returns the fencing token of this term: the revision of the write of its leader record. */
    long fencingToken() {
        return scheduler.fencingToken();
    }

    /** Returns whether loading is complete, so that the scheduler knows all that it needs to decide. */
    boolean isLoaded() {
        return remainingLoadSteps == 0;
    }

    /** Sets the time on the steady clock until which the lease of the leader certainly lasts. */
    void leaseHeldUntil(long untilMicros) {
        scheduler.leaseHeldUntil(untilMicros);
    }

    /** Notifies the scheduler that the process was paused and has resumed. */
    void processResumed(long now) {
        scheduler.processResumed(now);
    }

    /** Notifies the scheduler that the job cache holds the state of the store as of {@code requestSentMicros} or later. */
    void storeRead(long requestSentMicros) {
        scheduler.storeReadAt(requestSentMicros);
    }

    /** Handles a change of the stages of features. */
    void featureStagesChanged() {
        rollout.flagsChanged();
    }

    /** Returns the times at which this term reached the stages of its failover. */
    FailoverTimings failoverTimings() {
        return scheduler.failoverTimings();
    }

    /** Returns the hints for standbys: what this leader has learned and no record of the store holds. */
    List<Hint> hints(long now) {
        return scheduler.hints(now);
    }

    /** Returns the progress of jobs, which peers show to users; empty until loading is complete. */
    List<JobProgress> progress() {
        return isLoaded() ? scheduler.progress() : List.of();
    }

    /**
     * Handles a worker's heartbeat. The answer renews the worker's lease. Until loading is complete it holds only stops of the tasks of jobs
     * that are known to be cancelled, since the renewal must not prolong them; the rest of the heartbeat is ignored, as the next one repeats it.
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
            announcer.announcementAnswered(m);
        } else if (message instanceof TermMessage.LoadMessage m) {
            loadMessageReceived(m);
        } else if (message instanceof TermMessage.ArchivableJobsFound m) {
            archiving.finishedJobsFound(m);
        } else if (message instanceof TermMessage.ArchiveWritesUsed m) {
            scheduler.otherWritesSent(m.writes());
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
            cloudCalls.handleAnswer(m);
        } else if (message instanceof TermMessage.MachinesListed m) {
            cloudCalls.handleListPage(m);
        } else if (message instanceof TermMessage.MachineTypesWritten m) {
            cloudCalls.machineTypesWriteAnswered(m.reply());
        }
    }

    private void loadMessageReceived(TermMessage.LoadMessage message) {
        if (message instanceof TermMessage.RecordsLoaded m) {
            recordsLoaded(m.records());
        } else if (message instanceof TermMessage.MachineTypesLoaded m) {
            cloudCalls.machineTypesLoaded(m.types(), owner.now());
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

    /** Handles a new or changed record of this controller's job cache. */
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

    /** Keeps the ids of the given jobs as cancelled until loading is complete; the jobs themselves may not be known yet. */
    private void cancellationsObserved(List<String> jobs) {
        if (!isLoaded()) {
            cancelledJobs.addAll(jobs);
        }
    }

    private void jobObserved(JobCache.View view) {
        if (!isLoaded() && view.state() == JobState.CANCELLED) {
            cancelledJobs.add(view.id());
        }
        scheduler.jobChanged(view, owner.wallClockMicros(), owner.now());
    }

    /**
     * Completes a step of loading with the open and the cancelled jobs, as of a read that began after the claim. Every task that a previous
     * leader started belongs to one of them.
     */
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

    /** Gives the scheduler the fence of the provisioning requests, which are written only once it is known; nothing else waits for it. */
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

    /** Runs the periodic work of the term; called every 100 ms once loading is complete, except during a shutdown. */
    void tick(long now) {
        announcer.sendDue(now);
        scheduler.tick(now);
        committer.writeNextBatch(now);
        rollout.tick(now);
        archiving.tick(now);
        learnedState.tick(now);
        for (CloudCall call : scheduler.cloudCalls(now)) {
            cloudCalls.send(call, now);
        }
        scheduler.takeNotices().forEach(LOG::info);
        scheduler.takeCompletionLines(now).forEach(LOG::debug);
    }

    /** Logs a summary of the deployment if {@link #SUMMARY_INTERVAL_MICROS} have passed since the last one. */
    void logSummaryIfDue(long now) {
        if (now - lastSummaryMicros >= SUMMARY_INTERVAL_MICROS) {
            lastSummaryMicros = now;
            LOG.info("{}", scheduler.summary(now));
        }
    }
}
