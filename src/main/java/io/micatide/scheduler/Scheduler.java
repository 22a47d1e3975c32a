package io.micatide.scheduler;

import io.micatide.jobs.JobCache;
import io.micatide.model.CloudCall;
import io.micatide.model.Command;
import io.micatide.model.ExitCause;
import io.micatide.model.Heartbeat;
import io.micatide.model.Hint;
import io.micatide.model.JobKind;
import io.micatide.model.JobProgress;
import io.micatide.model.JobState;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import io.micatide.model.TermAnnouncement;
import io.micatide.model.Tuning;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One term of leadership: what a leader knows and decides from its claim until it is fenced. Everything here is gone
 * with the term; the next leader reads the ledgers and the workers' reports again.
 */
public final class Scheduler {
    /** Starts are sent only while the state service was read this recently: cancellations are found there. */
    private static final long MAX_STORE_READ_AGE_MICROS = 4 * Micros.SECOND;

    private static final int MAX_COMMANDS = 500;
    /** What the archive leaves to rounds of a second's changes. With five in a transaction a second's are some ten. */
    private static final double RESERVED_SHARE = 0.8;
    /** With fewer changes a transaction could not end a job. */
    private static final int MIN_TRANSACTION_WRITES = 3;

    private final Settings settings;
    private final long fencingToken;
    private final long termStartMicros;
    private final JobLedgers ledgers;
    private final Fleet fleet = new Fleet();
    private final PlacementTable placements;
    private final ProvisioningRequests provisioningRequests;
    private final PlacementPlanner planner;
    private final MachineDeletions machineDeletions;
    private final Autoscaler autoscaler;
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final DagInheritance dagInheritance;
    private final FailureAttribution failureAttribution = new FailureAttribution(runtimeEstimator);
    private final Hints hints = new Hints();
    private final List<Transaction.Write> orphanedLedgerDeletions = new ArrayList<>();
    private long storeReadMicros;
    private long leaseHeldUntilMicros = Long.MAX_VALUE;
    /** When this process went on after it had stood still. */
    private long resumedMicros = Long.MIN_VALUE / 2;

    private long featureStagesVersion;
    private JobLedgers.WriteBatch inFlight;
    private double writeTokens;
    /** What one transaction may change; less once the state service has refused one. */
    private int maxTransactionWrites;

    private long writeTokensMicros;
    private int slowMachinesFound;
    private boolean loading = true;
    private boolean ledgersFound;
    private final FailoverProgress failoverProgress;
    /** Rows of jobs that were cancelled before this term. */
    private final Map<String, StoredRecord.JobRecord> cancelledBeforeTerm = new HashMap<>();

    private final List<Job> completed = new ArrayList<>();
    private final List<EndedJob> endedJobs = new ArrayList<>();
    private final List<String> notices = new ArrayList<>();

    /** How a term's planner is made. */
    @FunctionalInterface
    interface PlannerFactory {
        PlacementPlanner create(
                PlacementActions placements,
                Settings settings,
                Fleet fleet,
                JobLedgers ledgers,
                RuntimeEstimator runtimeEstimator);
    }

    public Scheduler(Settings settings, Tuning tuning, long fencingToken, long nowMicros) {
        this(settings, tuning, fencingToken, nowMicros, PlacementPlanner::new);
    }

    Scheduler(Settings settings, Tuning tuning, long fencingToken, long nowMicros, PlannerFactory planners) {
        this.settings = settings;
        this.fencingToken = fencingToken;
        this.termStartMicros = nowMicros;
        this.failoverProgress = new FailoverProgress(nowMicros);
        this.ledgers = new JobLedgers(settings, fencingToken);
        this.dagInheritance = new DagInheritance(ledgers, runtimeEstimator);
        this.provisioningRequests = new ProvisioningRequests(settings, fencingToken);
        this.machineDeletions = new MachineDeletions(settings, fencingToken);
        this.placements = new PlacementTable(settings, fencingToken, ledgers);
        this.planner = planners.create(placements, settings, fleet, ledgers, runtimeEstimator);
        placements.setListener(planner);
        this.autoscaler = new Autoscaler(settings, tuning, fleet, provisioningRequests, planner, machineDeletions);
        this.writeTokens = leaderWriteRate();
        this.maxTransactionWrites = settings.maxTransactionWrites();
        this.writeTokensMicros = nowMicros;
        this.storeReadMicros = nowMicros;
    }

    public long fencingToken() {
        return fencingToken;
    }

    /** Users' submissions and cancellations need the rest of the write rate. */
    private double leaderWriteRate() {
        return settings.storeWritesPerSecond() * 0.6;
    }

    // ---- what is read from the state service

    /** @param wallMicros the time of day, used only for the ages of jobs */
    public void jobChanged(JobCache.View view, long wallMicros, long nowMicros) {
        String id = view.id();
        StoredRecord.JobRecord record = view.record();
        Job job = ledgers.get(id);
        long submitted = nowMicros - Math.max(0, wallMicros - record.submittedWall());
        if (view.state() == JobState.OPEN && view.hasUnfinishedDependencies()) {
            dagInheritance.jobWaits(record.spec(), view.version(), submitted);
            return;
        }
        dagInheritance.jobNoLongerWaits(id);
        if (record.state() == JobState.OPEN && view.state() == JobState.CANCELLED) {
            ledgers.cancelBeforeStart(id, record, view.version());
            return;
        }
        ledgers.cancelledBeforeStart(id);
        if (record.state() == JobState.OPEN) {
            if (job == null) {
                ledgers.add(
                        record.spec(),
                        view.version(),
                        record.submittedWall(),
                        submitted,
                        nowMicros - Math.max(0, wallMicros - view.readyWall()));
                dagInheritance.jobAdded();
            } else {
                job.version = view.version();
            }
        } else if (job == null && loading && record.state() == JobState.CANCELLED && record.spec() != null) {
            cancelledBeforeTerm.put(id, record);
        } else if (job != null && !job.cancelled) {
            if (record.state() == JobState.CANCELLED) {
                cancel(job, nowMicros);
            } else if (!job.writeInFlight) {
                // Only a leader writes this, so it was our own write whose answer is still to come or was lost.
                ledgers.drop(job);
            }
        }
    }

    private void cancel(Job job, long nowMicros) {
        job.cancelled = true;
        placements.removeOrStopAll(job, 0, nowMicros);
        placements.markLedgerIfStopped(job, nowMicros);
    }

    /**
     * A ledger without an open job belongs to one that was cancelled while nobody led: its tasks may still run, have to
     * be stopped and count for their team until then. Of completed jobs only further pages can be left.
     */
    public void ledgerLoaded(String key, StoredRecord.Ledger ledger, long version, long nowMicros) {
        String id = JobLedgers.jobOf(key);
        ledgersFound = true;
        if (ledgers.get(id) == null) {
            addCancelledBeforeTerm(id, nowMicros);
        }
        if (!ledgers.load(key, ledger, version)) {
            orphanedLedgerDeletions.add(new Transaction.Write(key, null, 0));
        }
    }

    public void provisioningRequestLoaded(String name, StoredRecord.Provisioning record, long version, long nowMicros) {
        provisioningRequests.load(name, record, version, nowMicros);
    }

    /** The fence of the requests as the state service has it, version 0 if there is none. */
    public void provisioningFenceRead(long version, long number) {
        provisioningRequests.fenceRead(version, number);
    }

    /**
     * The switches of the stored forms.
     *
     * @param version of their record, a condition of what depends on them
     * @param fenced whether requests are written on condition of their versions and of their fence
     * @param recorded whether machines that are given back are named in a record first
     */
    public void featureFlagsChanged(long version, boolean fenced, boolean recorded) {
        featureStagesVersion = version;
        provisioningRequests.setFenced(fenced);
        machineDeletions.setRecorded(recorded);
    }

    /** Machines that an earlier leader was giving back: nothing is placed on them, and their deletion is asked for again. */
    public void machineDeletionLoaded(String key, StoredRecord.MachinesToDelete record, long version, long nowMicros) {
        machineDeletions.load(key, record.machines(), version);
        record.machines().forEach(name -> fleet.getOrAdd(name, nowMicros).deletionRequested = true);
    }

    /** Every controller reads the present layout: what an older one could not read may be written, on that condition. */
    public void layoutMarked(long version, StoredRecord.Layout layout) {
        ledgers.layoutMarked(version, layout.pageTasks());
    }

    /** There is an archive of final states. */
    public void archiveEnabled() {
        ledgers.archiveEnabled();
    }

    /** How many machines are known of. */
    public int machineCount() {
        return fleet.machines().size();
    }

    /** Whether a job that is over may be archived as far as this leader's own work goes; only once all rows are read. */
    public boolean mayBeArchived(String id) {
        return !loading && ledgers.mayBeArchived(id);
    }

    /** How many changes rounds and users leave over now: what is above four fifths of a second's worth. */
    public int spareWriteBudget(long nowMicros) {
        fillWriteTokens(nowMicros);
        return inFlight != null ? 0 : (int) Math.max(0, writeTokens - leaderWriteRate() * RESERVED_SHARE);
    }

    /** Something else that this leader writes took so many of its changes. */
    public void writesSpent(int writes) {
        writeTokens -= writes;
    }

    /** All rows are read: machines that the ledgers name are known of from here on. */
    public void allRecordsLoaded(long nowMicros) {
        loading = false;
        if (!ledgersFound && provisioningRequests.requests.isEmpty()) {
            autoscaler.noteFirstTerm();
        }
        for (Job job : ledgers.jobs()) {
            for (String name : job.unreconciledMachines) {
                Machine machine = fleet.getOrAdd(name, nowMicros);
                machine.awaitedAfterFailover = true;
            }
            placements.markLedgerIfStopped(job, nowMicros);
        }
        applyHints(nowMicros);
        failoverProgress.stateLoaded(
                (int) fleet.machines().stream()
                        .filter(machine -> machine.awaitedAfterFailover)
                        .count(),
                nowMicros);
    }

    private void applyHints(long nowMicros) {
        ledgers.jobs().forEach(hints::apply);
        for (Machine machine : fleet.machines()) {
            machine.deletionRequested |= machine.awaitedAfterFailover && hints.wasDeleted(machine.name);
            if (machine.reconciled) {
                applyHint(machine, nowMicros);
            }
        }
    }

    private void applyHint(Machine machine, long nowMicros) {
        MachineType type = machine.type == null ? null : fleet.machineTypes().get(machine.type);
        if (type != null) {
            hints.apply(machine, type.cacheGb(), nowMicros);
        }
    }

    /** The state service was asked at {@code askedMicros} and the answer is applied. */
    public void storeReadAt(long askedMicros) {
        if (askedMicros >= resumedMicros) {
            storeReadMicros = Math.max(storeReadMicros, askedMicros);
        }
    }

    /**
     * Until when the lead is certainly ours. Later nothing is started, rented or returned: a leader that stood still for 20 s
     * takes every task for gone, and on a machine that has not heard of its successor a start of its own would land.
     */
    public void leaseHeldUntil(long untilMicros) {
        leaseHeldUntilMicros = untilMicros;
    }

    /**
     * This process stood still while its clock ran: what it held as fresh is old, and machines only seem silent until
     * they had time to report again.
     */
    public void processResumed(long nowMicros) {
        resumedMicros = nowMicros;
        storeReadMicros = Math.min(storeReadMicros, nowMicros - MAX_STORE_READ_AGE_MICROS - 1);
    }

    private boolean mayDetectFailures(long nowMicros) {
        return nowMicros - resumedMicros > 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
    }

    // ---- reports

    /** Takes a report in and answers it; a report with a higher token must not get here. */
    public List<Command> handleHeartbeat(Heartbeat heartbeat, long nowMicros) {
        List<Command> commands = new ArrayList<>();
        Machine machine = applyHeartbeat(heartbeat, commands, nowMicros);
        if (machine != null) {
            if (machine.reconciled && mayPlaceTasks(nowMicros)) {
                planner.refill(machine, nowMicros);
            }
            addStopsAndStarts(machine, heartbeat, nowMicros, commands);
        }
        return commands;
    }

    /**
     * A report that came as the answer to a announcement. It proves as much as any other, but nothing can be told in answer to it, and the
     * worker's lease runs on from the last answer that it had: what is taken for gone from then on is taken for so too late.
     *
     * <p>Only for a machine that is not confirmed, which no start of this term can be on its way to. A worker has one report under way at
     * a time, so a newer one shows what became of a start in the answer to the one before; this one may have been made before that
     * answer came, and four starts that were on their way were taken for lost and made again elsewhere (ran_twice, on three of some 6,300 drawn days).
     */
    public void announcementAnswered(Heartbeat heartbeat, long nowMicros) {
        Machine machine = fleet.get(heartbeat.machine());
        if (machine == null || !machine.reconciled) {
            applyHeartbeat(heartbeat, new ArrayList<>(), nowMicros);
        } else {
            machine.highestSequence = Math.max(machine.highestSequence, heartbeat.sequence());
        }
    }

    /**
     * Machines that jobs wait for and that have not reported to this leader, each once. The leader before told where they are; the
     * others come by themselves, and are not waited for here.
     */
    public List<TermAnnouncement> nextAnnouncements(int most) {
        List<TermAnnouncement> result = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (result.size() >= most) {
                break;
            }
            if (machine.awaitedAfterFailover
                    && !machine.announced
                    && !machine.deletionRequested
                    && machine.lastHeartbeatMicros < 0) {
                machine.announced = true;
                TermAnnouncement announcement = hints.announcementFor(machine.name);
                if (announcement != null) {
                    result.add(announcement);
                }
            }
        }
        return result;
    }

    /** The machine as the report shows it, null if the report is older than what is known. */
    private Machine applyHeartbeat(Heartbeat heartbeat, List<Command> commands, long nowMicros) {
        if (fleet.isDeleted(heartbeat.machine())) {
            return null;
        }
        Machine machine = fleet.getOrAdd(heartbeat.machine(), nowMicros);
        if (!heartbeat.isNewerThan(machine.incarnation, machine.sequence)) {
            return null;
        }
        machine.incarnation = heartbeat.incarnation();
        machine.sequence = heartbeat.sequence();
        machine.messageReceived(heartbeat.sequence());
        machine.address = heartbeat.address();
        if (machine.type == null || !machine.type.equals(heartbeat.type()) || machine.capacity() == null) {
            fleet.describe(machine, heartbeat.type(), heartbeat.zone(), heartbeat.spot());
        }
        machine.lastHeartbeatMicros = nowMicros;
        if (heartbeat.spotNoticeMicros() >= 0 && machine.spotNoticeEndsMicros < 0) {
            machine.spotNoticeEndsMicros = nowMicros + heartbeat.spotNoticeMicros();
            evictForSpotNotice(machine, nowMicros);
        }
        commands.addAll(reconcileTasks(machine, heartbeat, nowMicros));
        if (heartbeat.fencingToken() == fencingToken && !machine.reconciled) {
            markReconciled(machine, nowMicros);
        }
        if (machine.placements.isEmpty() && machine.idleSinceMicros < 0) {
            machine.idleSinceMicros = nowMicros;
        }
        return machine;
    }

    private void markReconciled(Machine machine, long nowMicros) {
        machine.reconciled = true;
        if (machine.awaitedAfterFailover) {
            machine.awaitedAfterFailover = false;
            failoverProgress.machineReconciled(nowMicros);
        }
        applyHint(machine, nowMicros);
        reconcileMachine(machine.name, nowMicros);
    }

    /** Nothing that an earlier leader sent can appear on this machine any more. */
    private void reconcileMachine(String machineName, long nowMicros) {
        for (Job job : ledgers.reconcileMachine(machineName)) {
            // Not at each machine: written anew for each of them, all ledgers together took the write rate for seconds.
            placements.markLedgerIfStopped(job, nowMicros);
            ledgers.markDirty(job, nowMicros);
        }
    }

    /** The newest list is the truth about everything that was sent before it. */
    private List<Command> reconcileTasks(Machine machine, Heartbeat heartbeat, long nowMicros) {
        List<Command> commands = new ArrayList<>();
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = ledgers.get(status.job());
            if (status.state() == TaskState.EXITED) {
                taskExited(machine, job, status, nowMicros, commands);
                continue;
            }
            Placement placement = find(machine, status);
            if (job == null && placement == null) {
                job = addCancelledBeforeTerm(status.job(), nowMicros);
            }
            if (job == null) {
                // The job is over: what is left of it is stopped now and forgotten once it exited. Until then it counts
                // for its team.
                commands.add(new Command.Stop(status.job(), status.taskIndex(), status.attempt(), 0));
                if (placement != null) {
                    placement.lastListedSequence = heartbeat.sequence();
                }
                continue;
            }
            if (placement == null) {
                placement = new Placement(
                        job, status.taskIndex(), status.attempt(), machine, Placement.Phase.REPORTED, nowMicros);
                placement.adopted = true;
                placements.add(placement);
                if (job.cancelled
                        || (job.spec.kind() != JobKind.SERVICE && job.finishedTasks.get(status.taskIndex()))) {
                    placements.stop(placement, 0, nowMicros);
                }
            }
            placement.transitionTo(Placement.Phase.REPORTED);
            placement.state = status.state();
            if (status.state() == TaskState.RUNNING && placement.runningSinceMicros < 0) {
                placement.runningSinceMicros = nowMicros;
            }
            if (status.state() != TaskState.FETCHING) {
                recordImage(machine, job);
            }
            if (job.spec.kind() == JobKind.GANG
                    && status.state() != TaskState.FETCHING
                    && status.state() != TaskState.WAITING) {
                job.gangStarted = true;
            }
            placement.lastListedSequence = heartbeat.sequence();
            failureAttribution.replicaRunning(placement, nowMicros);
        }
        List<Placement> lost = new ArrayList<>();
        for (Placement placement : machine.placements) {
            if (placement.lastListedSequence != heartbeat.sequence() && !placement.isUnsent()) {
                lost.add(placement);
            }
        }
        lost.forEach(placements::remove);
        return commands;
    }

    /**
     * A job that was cancelled before this term and has no ledger, since a former version removed it too early: what is reported of it counts for
     * its team like anything else. Null if it is not one.
     */
    private Job addCancelledBeforeTerm(String id, long nowMicros) {
        StoredRecord.JobRecord record = cancelledBeforeTerm.get(id);
        if (record == null) {
            return null;
        }
        Job job = ledgers.add(record.spec(), 0, record.submittedWall(), nowMicros, nowMicros);
        job.cancelled = true;
        return job;
    }

    private void taskExited(Machine machine, Job job, TaskStatus status, long nowMicros, List<Command> commands) {
        Placement placement = find(machine, status);
        boolean done = status.cause() == ExitCause.DONE && job != null && job.spec.kind() != JobKind.SERVICE;
        if (done && !job.cancelled) {
            if (!job.finishedTasks.get(status.taskIndex())) {
                recordRuntime(machine, placement, nowMicros);
                failureAttribution.taskSucceeded(machine, job);
                recordImage(machine, job);
                if (job.spec.kind() == JobKind.GANG) {
                    // A gang completes together, so one report tells of all, also of those that are lost now.
                    for (int index = 0; index < job.spec.taskCount(); index++) {
                        ledgers.taskFinished(job, index, nowMicros);
                    }
                } else {
                    ledgers.taskFinished(job, status.taskIndex(), nowMicros);
                }
                for (Placement other : List.copyOf(job.liveAttempts.getOrDefault(status.taskIndex(), List.of()))) {
                    if (other != placement) {
                        placements.removeOrStop(other, 0, nowMicros);
                    }
                }
            }
            if (job.recordedTasks.get(status.taskIndex())) {
                commands.add(new Command.Reap(status.job(), status.taskIndex(), status.attempt()));
            }
        } else {
            if (placement != null && job != null) {
                taskFailed(machine, job, status.cause(), nowMicros);
            }
            commands.add(new Command.Reap(status.job(), status.taskIndex(), status.attempt()));
        }
        if (placement != null) {
            placements.remove(placement);
            if (placement.job.spec.kind() == JobKind.GANG
                    && status.cause() != ExitCause.NO_ROOM
                    && status.cause() != ExitCause.BUSY
                    && status.cause() != ExitCause.UNKNOWN) {
                placement.job.gangBroken = !placement.job.liveAttempts.isEmpty();
            }
        }
    }

    private void taskFailed(Machine machine, Job job, ExitCause cause, long nowMicros) {
        switch (cause) {
            case ERROR -> {
                boolean suspectBefore = job.quarantined;
                boolean drainingBefore = machine.quarantined;
                failureAttribution.taskFailed(machine, job, fleet.machines(), nowMicros);
                if (job.quarantined) {
                    placements.removeUnsent(job);
                }
                if (job.quarantined && !suspectBefore) {
                    notices.add(String.format(
                            "%s (%s) is suspected: it failed on %d machines and never succeeded; it is"
                                    + " only probed now",
                            job.id(), job.spec.jobClass(), job.failedMachines.size()));
                }
                if (machine.quarantined && !drainingBefore) {
                    notices.add(String.format(
                            "%s is suspected: %d failures of jobs that succeed elsewhere, %d jobs of"
                                    + " unknown worth failed on it",
                            machine.name, machine.failures, machine.unattributedJobs.size()));
                }
            }
            case UNKNOWN, NO_ROOM, BUSY -> job.backoffUntilMicros = nowMicros + Micros.SECOND;
            default -> {}
        }
    }

    private void recordRuntime(Machine machine, Placement placement, long nowMicros) {
        if (placement != null && placement.runningSinceMicros >= 0) {
            failureAttribution.recordPace(machine, placement, nowMicros);
            if (machine.slowUntilMicros < nowMicros && !placement.adopted) {
                runtimeEstimator.taskFinished(placement.job, nowMicros - placement.runningSinceMicros);
            }
        }
    }

    private void recordImage(Machine machine, Job job) {
        MachineType type = machine.type == null ? null : fleet.machineTypes().get(machine.type);
        machine.touchImage(job.spec.image(), job.spec.imageGb(), type == null ? 0 : type.cacheGb());
    }

    private void addStopsAndStarts(Machine machine, Heartbeat heartbeat, long nowMicros, List<Command> commands) {
        for (Placement placement : machine.placements) {
            if (placement.isStopping() && !placement.isUnsent()) {
                commands.add(new Command.Stop(
                        placement.job.id(), placement.taskIndex, placement.attempt, placement.stopGraceMicros));
            }
        }
        if (!machine.reconciled || machine.deletionRequested || !mayStartTasks(nowMicros)) {
            return;
        }
        for (Placement placement : machine.placements) {
            if (placement.phase == Placement.Phase.READY && commands.size() < MAX_COMMANDS) {
                placement.transitionTo(Placement.Phase.SENT);
                placement.sentIncarnation = heartbeat.incarnation();
                placement.sentSequence = heartbeat.sequence();
                failoverProgress.taskStarted(nowMicros);
                commands.add(new Command.Start(placement.job.id(), placement.taskIndex, placement.attempt));
            }
        }
    }

    /** The cloud takes the machine away: what can save is told to, the rest may still finish in time. */
    private void evictForSpotNotice(Machine machine, long nowMicros) {
        for (Placement placement : List.copyOf(machine.placements)) {
            if (placement.isUnsent()) {
                placements.remove(placement);
            } else if (placement.job.spec.checkpointIntervalMicros() > 0) {
                placements.stopWithCheckpoint(placement, nowMicros);
            }
        }
    }

    /** A gang that lost a task after it started cannot go on, and one that gave up waiting is not completed. */
    private void stopBrokenGangs(long nowMicros) {
        for (Job job : ledgers.jobs()) {
            if (job.spec.kind() != JobKind.GANG
                    || job.liveAttempts.isEmpty()
                    || job.hasUnreconciledMachines()
                    || job.allFinished()) {
                continue;
            }
            boolean incomplete = job.gangStarted && job.liveAttempts.size() < job.spec.taskCount();
            if (incomplete || job.gangBroken) {
                job.gangBroken = true;
                for (Placement each : job.livePlacements()) {
                    if (each.isUnsent()) {
                        placements.remove(each);
                    } else if (!each.isStopping()) {
                        placements.stop(each, 0, nowMicros);
                    }
                }
            }
        }
    }

    // ---- placements

    private static Placement find(Machine machine, TaskStatus status) {
        for (Placement placement : machine.placements) {
            if (placement.matches(status)) {
                return placement;
            }
        }
        return null;
    }

    /** Machines that plans looked at in this term. */
    long machinesExamined() {
        return planner.machinesExamined();
    }

    Resources teamUsage(String team) {
        return placements.teamUsage(team);
    }

    // ---- time

    /** Called every so often: leases that ran out, placing, renting. */
    public void tick(long nowMicros) {
        if (!mayDetectFailures(nowMicros)) {
            return;
        }
        for (Machine machine : List.copyOf(fleet.machines())) {
            expireLease(machine, nowMicros);
        }
        stopBrokenGangs(nowMicros);
        for (Machine machine : failureAttribution.findSlowMachines(fleet.machines(), nowMicros)) {
            evictFromSlowMachine(machine, nowMicros);
        }
        dagInheritance.refresh(nowMicros);
        for (Job job : ledgers.jobs()) {
            if (job.ledgerFull) {
                removeUnrecordedPlacements(job, nowMicros);
            }
        }
        if (mayPlaceTasks(nowMicros)) {
            planner.plan(nowMicros);
        }
        autoscaler.plan(nowMicros, termStartMicros);
    }

    /** What is held for machines that the ledger cannot name waits for others of the job's machines. */
    private void removeUnrecordedPlacements(Job job, long nowMicros) {
        job.ledgerFull = false;
        job.ledgerFullUntilMicros = nowMicros + Micros.SECOND;
        for (Placement placement : job.livePlacements()) {
            if (placement.phase == Placement.Phase.AWAITING_LEDGER) {
                placements.remove(placement);
            }
        }
        job.machinesToRecord.clear();
    }

    /** Starts over elsewhere what would take longer where it is. */
    private void evictFromSlowMachine(Machine machine, long nowMicros) {
        slowMachinesFound++;
        for (Placement placement : List.copyOf(machine.placements)) {
            if (placement.job.spec.kind() != JobKind.ARRAY) {
                continue;
            }
            if (placement.isUnsent()) {
                placements.remove(placement);
            } else if (!placement.job.evictedAsSlow.get(placement.taskIndex)) {
                // One that was long elsewhere too is long itself: of an array whose tasks take very different times the
                // long ones made
                // each machine seem slow, and were started over without end.
                placement.job.evictedAsSlow.set(placement.taskIndex);
                if (placement.job.spec.checkpointIntervalMicros() > 0) {
                    placements.stopWithCheckpoint(placement, nowMicros);
                } else {
                    placements.stop(placement, 0, nowMicros);
                }
            }
        }
    }

    private void expireLease(Machine machine, long nowMicros) {
        if (machine.placements.isEmpty()) {
            return;
        }
        if (machine.lastHeartbeatMicros >= 0 && !machine.isResponsive(nowMicros, settings)) {
            for (Placement placement : List.copyOf(machine.placements)) {
                if (placement.isUnsent()) {
                    placements.remove(placement);
                }
            }
        }
        if (machine.reconciled && nowMicros - machine.lastHeartbeatMicros > settings.workerLeaseExpiryMicros()) {
            for (Placement placement : List.copyOf(machine.placements)) {
                placements.remove(placement);
            }
        }
    }

    private boolean mayPlaceTasks(long nowMicros) {
        return mayStartTasks(nowMicros) && !fleet.machineTypes().isEmpty();
    }

    private boolean mayStartTasks(long nowMicros) {
        return nowMicros - storeReadMicros <= MAX_STORE_READ_AGE_MICROS && nowMicros < leaseHeldUntilMicros;
    }

    // ---- rounds

    private void fillWriteTokens(long nowMicros) {
        double rate = leaderWriteRate();
        writeTokens = Math.min(rate, writeTokens + rate * Micros.toSeconds(nowMicros - writeTokensMicros));
        writeTokensMicros = nowMicros;
    }

    /**
     * The next transaction to send, or null. There is one at a time; its outcome must be told.
     *
     * @param wallMicros the time of day, which the rows of completed jobs keep
     */
    public Transaction nextWriteBatch(long nowMicros, long wallMicros) {
        if (inFlight != null) {
            return null;
        }
        double rate = leaderWriteRate();
        fillWriteTokens(nowMicros);
        int most = (int) Math.min(writeTokens, maxTransactionWrites);
        if (most < 1) {
            return null;
        }
        List<Transaction.Write> writes =
                new ArrayList<>(orphanedLedgerDeletions.subList(0, Math.min(orphanedLedgerDeletions.size(), most / 2)));
        List<ProvisioningRequests.Request> requests = provisioningRequests.mayWrite()
                ? provisioningRequests.requestsToWrite(Math.max(1, most / 2), nowMicros)
                : List.of();
        for (ProvisioningRequests.Request request : requests) {
            writes.add(new Transaction.Write(
                    StoreKeys.provisioningRequest(request.name),
                    request.state == ProvisioningRequests.State.DONE
                            ? null
                            : new StoredRecord.Provisioning(
                                    "claimed", request.type, request.zone, request.spot, request.count),
                    0));
        }
        List<Transaction.Condition> conditions = provisioningRequests.conditions(requests);
        List<Transaction.Write> given =
                machineDeletions.nextWrites(fleet.machines(), most - requests.size() - writes.size() - 1, nowMicros);
        conditions.addAll(machineDeletions.conditions(given));
        writes.addAll(given);
        if (!conditions.isEmpty()) {
            conditions.add(new Transaction.Condition(StoreKeys.FEATURE_STAGES, featureStagesVersion));
        }
        Transaction.Write fence = provisioningRequests.fence(requests);
        if (fence != null) {
            writes.add(fence);
        }
        // Half of a second's writes are kept for what starts or ends a job. Counted from the changes that a transaction
        // may
        // hold, as before, it came to two where that is five, and finished tasks took what starts then waited for.
        int later = (int) Math.max(0, Math.min(maxTransactionWrites, writeTokens - rate / 2));
        planner.beginWriteBatch(nowMicros);
        JobLedgers.WriteBatch batch = ledgers.nextWriteBatch(
                nowMicros,
                wallMicros,
                most,
                later,
                requests,
                writes,
                conditions,
                (job, likely) -> planner.candidateMachines(job, likely, nowMicros));
        if (batch == null) {
            given.forEach(machineDeletions::notWritten);
            return null;
        }
        requests.forEach(request -> request.writing = true);
        writeTokens -= batch.transaction().writes().size();
        inFlight = batch;
        return batch.transaction();
    }

    public void writeConfirmed(long revision, long nowMicros) {
        JobLedgers.WriteBatch batch = inFlight;
        inFlight = null;
        for (Transaction.Write write : batch.transaction().writes()) {
            if (MachineDeletions.owns(write.key())) {
                machineDeletions.written(write, revision);
            } else if (write.record() == null) {
                orphanedLedgerDeletions.remove(write);
            }
        }
        for (JobLedgers.JobWrite part : batch.jobWrites()) {
            if (part.last() && !part.job().cancelled) {
                completed.add(part.job());
            }
        }
        for (Transaction.Write write : batch.transaction().writes()) {
            if (write.record() instanceof StoredRecord.JobRecord record) {
                endedJobs.add(new EndedJob(write.key().substring(StoreKeys.JOBS.length()), record, revision));
            }
        }
        ledgers.writeConfirmed(batch, revision, nowMicros);
        if (batch.transaction().writes().stream()
                .anyMatch(write -> write.record() instanceof StoredRecord.ProvisioningFence)) {
            provisioningRequests.fenceMoved(revision);
        }
        for (ProvisioningRequests.Request request : batch.provisioningRequests()) {
            request.writing = false;
            request.version = request.state == ProvisioningRequests.State.DONE ? 0 : revision;
            request.recorded = request.state != ProvisioningRequests.State.DONE;
            if (request.state == ProvisioningRequests.State.DONE) {
                provisioningRequests.requests.remove(request.name);
            }
        }
    }

    /** Not applied or of unknown outcome: the keys returned must be read back before {@link #writeResolved}. */
    public List<String> unresolvedWriteKeys() {
        return ledgers.unresolvedKeys(inFlight);
    }

    /** The service will never take this transaction. */
    public void writeRejected(long nowMicros) {
        JobLedgers.WriteBatch batch = inFlight;
        if (batch.transaction().writes().size() > MIN_TRANSACTION_WRITES) {
            maxTransactionWrites = Math.max(
                    MIN_TRANSACTION_WRITES, batch.transaction().writes().size() / 2);
        }
        ledgers.writeRejected(batch, nowMicros);
        deletionWrites(batch).forEach(machineDeletions::notWritten);
        writeResolved(nowMicros);
    }

    /**
     * The round was refused for these keys, so it was not executed. The next one may go out at once, without the jobs that they belong to:
     * a user who cancels one job must not hold up the other fifteen of a round, nor cost the reads of all their keys (after a restart of all
     * controllers at 1.5 times the fleet 80 rounds of a day were refused whole, each read back with some 30 requests).
     *
     * @return the keys to be read back, each to be followed by {@link #keyReadBack}
     */
    public List<String> writeConflicted(List<String> failed, long nowMicros) {
        JobLedgers.WriteBatch batch = inFlight;
        inFlight = null;
        for (ProvisioningRequests.Request request : batch.provisioningRequests()) {
            request.writing = false;
        }
        provisioningRequests.markUnknown(
                failed.stream().filter(ProvisioningRequests::owns).toList());
        for (Transaction.Write write : deletionWrites(batch)) {
            if (failed.contains(write.key())) {
                machineDeletions.markUnknown(write.key());
            } else {
                machineDeletions.notWritten(write);
            }
        }
        return ledgers.writeConflicted(batch, failed, nowMicros);
    }

    /** A key that a round was refused for was read back and taken in. */
    public void keyReadBack(String key, long nowMicros) {
        if (!isCloudRecord(key)) {
            ledgers.keyReadBack(key, nowMicros);
        }
    }

    /** A request, their fence or a record of machines that are given back, as read back; null with version 0 if there is none. */
    public void cloudRecordReadBack(String key, StoredRecord record, long version) {
        if (MachineDeletions.owns(key)) {
            machineDeletions.readBack(key, version);
        } else {
            provisioningRequests.readBack(key, record, version);
        }
    }

    /** Whether the key is of what is asked of the cloud, and not of a job. */
    public static boolean isCloudRecord(String key) {
        return ProvisioningRequests.owns(key) || MachineDeletions.owns(key);
    }

    private static List<Transaction.Write> deletionWrites(JobLedgers.WriteBatch batch) {
        return batch.transaction().writes().stream()
                .filter(write -> MachineDeletions.owns(write.key()))
                .toList();
    }

    /** The round was certainly not executed; nothing needs to be read. */
    public void writeNotExecuted(long nowMicros) {
        deletionWrites(inFlight).forEach(machineDeletions::notWritten);
        writeResolved(nowMicros);
    }

    public void ledgerReadBack(String key, StoredRecord.Ledger ledger, long version) {
        ledgers.readBack(key, ledger, version);
    }

    /** A job record as read back: our own completion of it, a cancellation, or still open. */
    public void jobReadBack(String id, StoredRecord.JobRecord record, long version, long nowMicros) {
        Job job = ledgers.get(id);
        if (job != null && record.state() == JobState.DONE) {
            ledgers.drop(job);
            endedJobs.add(new EndedJob(id, record, version));
        } else if (job != null && record.state() == JobState.CANCELLED && !job.cancelled) {
            cancel(job, nowMicros);
        } else if (job != null) {
            job.version = version;
        } else if (record.state() == JobState.CANCELLED) {
            ledgers.cancelledBeforeStart(id);
        }
    }

    /** A job's final record that is in the state service. */
    public record EndedJob(String id, StoredRecord.JobRecord record, long version) {}

    /** Final rows that this leader knows to be stored since the last call: jobs may wait for them. */
    public List<EndedJob> takeEndedJobs() {
        List<EndedJob> result = List.copyOf(endedJobs);
        endedJobs.clear();
        return result;
    }

    public void writeResolved(long nowMicros) {
        JobLedgers.WriteBatch batch = inFlight;
        inFlight = null;
        for (ProvisioningRequests.Request request : batch.provisioningRequests()) {
            request.writing = false;
        }
        ledgers.writeResolved(batch, nowMicros);
    }

    // ---- the cloud

    public void machineTypesChanged(List<MachineType> types, long nowMicros) {
        fleet.setMachineTypes(types);
    }

    public List<CloudCall> cloudCalls(long nowMicros) {
        return nowMicros < leaseHeldUntilMicros && mayDetectFailures(nowMicros)
                ? autoscaler.nextCalls(nowMicros)
                : List.of();
    }

    public void machinesRented(String request, List<String> names, long nowMicros) {
        autoscaler.machinesRented(request, names, nowMicros);
    }

    public void noCapacity(String request, long nowMicros) {
        autoscaler.noCapacity(request, nowMicros);
    }

    public void provisioningUnanswered(String request, long nowMicros) {
        autoscaler.requestUnanswered(request, nowMicros);
    }

    /** A request that the cloud refused without executing it may be sent again under the same name. */
    public void provisioningNotExecuted(String request) {
        autoscaler.requestNotExecuted(request);
    }

    public void machinesDeleted(List<String> names, long nowMicros) {
        for (String name : names) {
            Machine machine = fleet.get(name);
            if (machine != null) {
                if (machine.awaitedAfterFailover) {
                    failoverProgress.machineReconciled(nowMicros);
                }
                for (Placement placement : List.copyOf(machine.placements)) {
                    placements.remove(placement);
                }
            }
            machineDeletions.machineDeleted(name, nowMicros);
            fleet.markDeleted(name, nowMicros);
            reconcileMachine(name, nowMicros);
        }
    }

    public void machinesListed(List<ListedMachine> machines, long askedMicros, long nowMicros) {
        autoscaler.machinesListed(machines, askedMicros, nowMicros);
    }

    // ---- what others show

    /** How this term got back what the one before knew. */
    public FailoverTimings failoverTimings() {
        return failoverProgress;
    }

    /** What this leader has learned and no record holds, for those who may follow it. */
    public List<Hint> hints(long nowMicros) {
        return Hints.snapshot(fleet, ledgers.jobs(), runtimeEstimator, nowMicros);
    }

    /**
     * What a leader before had learned.
     *
     * @param kept as rows keep it: older than what an heir was told, which it leaves as it is
     */
    public void hintsReceived(List<Hint> earlier, boolean kept, long nowMicros) {
        hints.add(earlier, kept, runtimeEstimator);
        if (!loading) {
            applyHints(nowMicros);
        }
    }

    /** Of what lasts beyond a take-over without an heir: run times, suspicions, slow, faulty and returned machines. */
    public List<Hint> durableHints(long nowMicros) {
        return Hints.durableSnapshot(fleet, ledgers.jobs(), runtimeEstimator, nowMicros);
    }

    /** Tasks done and running of every open job, for display. */
    public List<JobProgress> progress() {
        List<JobProgress> result = new ArrayList<>();
        for (Job job : ledgers.jobs()) {
            int running = 0;
            for (List<Placement> list : job.liveAttempts.values()) {
                for (Placement placement : list) {
                    if (placement.phase == Placement.Phase.REPORTED && placement.state != TaskState.FETCHING) {
                        running++;
                        break;
                    }
                }
            }
            result.add(new JobProgress(job.id(), job.finishedCount(), running));
        }
        return result;
    }

    /** Lines for the log on jobs and machines that came under suspicion since the last call. */
    public List<String> takeNotices() {
        String recovered = failoverProgress.logLine();
        if (recovered != null) {
            notices.add(recovered);
        }
        List<String> lines = List.copyOf(notices);
        notices.clear();
        return lines;
    }

    /** A line for the log on each job completed since the last call. */
    public List<String> takeCompletions(long nowMicros) {
        List<String> lines = new ArrayList<>();
        for (Job job : completed) {
            String starts = job.attempts == 0
                    ? "all started before this term"
                    : String.format(
                            "%d starts, first after %.1f s, last after %.1f s",
                            job.attempts,
                            Micros.toSeconds(job.firstStartMicros - job.readyMicros),
                            Micros.toSeconds(job.lastStartMicros - job.readyMicros));
            lines.add(String.format(
                    "%s (%s) done %.1f s after its submission, %.1f s after it was ready: %d tasks, %s,"
                            + " %.1f s expected",
                    job.id(),
                    job.spec.jobClass(),
                    Micros.toSeconds(nowMicros - job.submittedMicros),
                    Micros.toSeconds(nowMicros - job.readyMicros),
                    job.spec.taskCount(),
                    starts,
                    Micros.toSeconds(runtimeEstimator.expectedMicros(job))));
        }
        completed.clear();
        return lines;
    }

    /** One line for the log. */
    public String summary(long nowMicros) {
        return new TermSummary(fleet, ledgers, settings, nowMicros)
                .line(dagInheritance.waitingJobCount(), planner, slowMachinesFound, provisioningRequests);
    }
}
