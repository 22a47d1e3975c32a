package io.micatide.scheduler;

import io.micatide.jobs.JobCache;
import io.micatide.model.CloudCall;
import io.micatide.model.Command;
import io.micatide.model.Heartbeat;
import io.micatide.model.Hint;
import io.micatide.model.JobProgress;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TermAnnouncement;
import io.micatide.model.Tuning;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.List;

/**
 * One term of leadership: what a leader knows and decides from its claim until it is fenced. Everything here is gone with the term; the next leader reads
 * the ledgers and the workers' heartbeats again.
 *
 * <p>This only hands what comes in to those who own the state: {@link HeartbeatReconciler}, {@link JobReconciler} and {@link FailoverRecovery} learn what is,
 * {@link Evictions}, {@link PlacementPlanner} and {@link Autoscaler} decide, {@link WriteBatches} writes. Their order within one call is part of the
 * behavior. Times are microseconds of the leader's steady clock, but for the wall time of jobs. Not thread-safe: called by the leader's actor alone.
 */
public final class Scheduler {
    private final Settings settings;
    private final long fencingToken;
    private final long termStartMicros;
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final Fleet fleet = new Fleet();
    private final JobLedgers ledgers;
    private final PlacementTable placements;
    private final PlacementPlanner planner;
    private final DagInheritance dagInheritance;

    private final StartGuard startGuard;
    private final FailoverProgress failoverProgress;
    private final FailoverRecovery recovery;
    private final Evictions evictions;
    private final TaskOutcomes taskOutcomes;
    private final HeartbeatReconciler heartbeatReconciler;
    private final HeartbeatCommands heartbeatCommands;
    private final JobReconciler jobReconciler;
    private final JobOutcomes jobOutcomes = new JobOutcomes(runtimeEstimator);

    private final ProvisioningRequests provisioningRequests;
    private final MachineDeletions machineDeletions;
    private final CloudRecords cloudRecords;
    private final Autoscaler autoscaler;
    private final WriteBatches writeBatches;

    /** How the planner of a term is made. */
    @FunctionalInterface
    interface PlannerFactory {
        PlacementPlanner create(
                PlacementActions placements,
                Settings settings,
                Fleet fleet,
                JobLedgers ledgers,
                RuntimeEstimator runtimeEstimator);
    }

    /**
     * A term that begins.
     *
     * @param settings of the deployment
     * @param tuning the operator's own settings
     * @param fencingToken of the term
     * @param nowMicros the time of the claim
     */
    public Scheduler(Settings settings, Tuning tuning, long fencingToken, long nowMicros) {
        this(settings, tuning, fencingToken, nowMicros, PlacementPlanner::new);
    }

    Scheduler(Settings settings, Tuning tuning, long fencingToken, long nowMicros, PlannerFactory planners) {
        this.settings = settings;
        this.fencingToken = fencingToken;
        this.termStartMicros = nowMicros;
        this.ledgers = new JobLedgers(settings, fencingToken);
        this.placements = new PlacementTable(settings, fencingToken, ledgers);
        this.planner = planners.create(placements, settings, fleet, ledgers, runtimeEstimator);
        this.placements.setListener(planner);
        this.dagInheritance = new DagInheritance(ledgers, runtimeEstimator);

        ClusterState cluster = new ClusterState(settings, fencingToken, fleet, ledgers, placements);
        FailureAttribution failureAttribution = new FailureAttribution(runtimeEstimator);
        this.startGuard = new StartGuard(settings, nowMicros);
        this.failoverProgress = new FailoverProgress(nowMicros);
        this.recovery = new FailoverRecovery(cluster, failoverProgress);
        this.evictions = new Evictions(cluster, failureAttribution);
        this.taskOutcomes = new TaskOutcomes(cluster, failureAttribution, runtimeEstimator);
        this.heartbeatReconciler =
                new HeartbeatReconciler(cluster, recovery, failureAttribution, taskOutcomes, evictions);
        this.heartbeatCommands = new HeartbeatCommands(startGuard, failoverProgress);
        this.jobReconciler = new JobReconciler(cluster, dagInheritance, recovery, jobOutcomes);

        this.provisioningRequests = new ProvisioningRequests(settings, fencingToken);
        this.machineDeletions = new MachineDeletions(settings, fencingToken);
        this.cloudRecords = new CloudRecords(provisioningRequests, machineDeletions);
        this.autoscaler = new Autoscaler(settings, tuning, fleet, provisioningRequests, planner, machineDeletions);
        this.writeBatches =
                new WriteBatches(cluster, cloudRecords, planner, jobOutcomes, new WriteBudget(settings, nowMicros));
    }

    /**
     * The fencing token of the term.
     *
     * @return the token that all commands of this leader carry
     */
    public long fencingToken() {
        return fencingToken;
    }

    // ---- what is read from the store

    /**
     * A record of a job was read, or what it depends on has changed.
     *
     * @param view the job as its record and those of its dependencies show it
     * @param wallMicros the time of day, used only for the ages of jobs
     * @param nowMicros the time
     */
    public void jobChanged(JobCache.View view, long wallMicros, long nowMicros) {
        jobReconciler.jobChanged(view, wallMicros, nowMicros);
    }

    /**
     * A ledger of an earlier leader was read; all records of jobs were before.
     *
     * @param key of the ledger's page
     * @param ledger as stored
     * @param version of the record
     * @param nowMicros the time
     */
    public void ledgerLoaded(String key, StoredRecord.Ledger ledger, long version, long nowMicros) {
        if (!recovery.ledgerLoaded(key, ledger, version, nowMicros)) {
            writeBatches.deleteOrphanedLedger(key);
        }
    }

    /**
     * A provisioning request of an earlier leader was read.
     *
     * @param name of the request
     * @param record as stored
     * @param version of the record
     * @param nowMicros the time
     */
    public void provisioningRequestLoaded(String name, StoredRecord.Provisioning record, long version, long nowMicros) {
        provisioningRequests.load(name, record, version, nowMicros);
    }

    /**
     * The fence of the provisioning requests was read.
     *
     * @param version of the record, 0 if there is none
     * @param number that it holds
     */
    public void provisioningFenceRead(long version, long number) {
        provisioningRequests.fenceRead(version, number);
    }

    /**
     * The features that the running versions of the program have in common are known, or have changed.
     *
     * @param version of the record of feature stages, a condition of what depends on them
     * @param fenced whether provisioning requests are written on condition of their versions and of their fence
     * @param recorded whether a machine is named in a record before its deletion is asked for
     */
    public void featureFlagsChanged(long version, boolean fenced, boolean recorded) {
        cloudRecords.featureFlagsChanged(version, fenced, recorded);
    }

    /**
     * Machines that an earlier leader was deleting: nothing is placed on them, and their deletion is asked for again.
     *
     * @param key of the record
     * @param record as stored
     * @param version of the record
     * @param nowMicros the time
     */
    public void machineDeletionLoaded(String key, StoredRecord.MachinesToDelete record, long version, long nowMicros) {
        machineDeletions.load(key, record.machines(), version);
        record.machines().forEach(name -> fleet.getOrAdd(name, nowMicros).deletionRequested = true);
    }

    /**
     * Every controller reads the present layout: what an older one could not read may be written, on that condition.
     *
     * @param version of the record
     * @param layout as stored
     */
    public void layoutMarked(long version, StoredRecord.Layout layout) {
        ledgers.layoutMarked(version, layout.pageTasks());
    }

    /** There is an archive of final states. */
    public void archiveEnabled() {
        ledgers.archiveEnabled();
    }

    /**
     * All records are read: machines that the ledgers name are known of from here on.
     *
     * @param nowMicros the time
     */
    public void allRecordsLoaded(long nowMicros) {
        if (!recovery.hasFoundLedgers() && provisioningRequests.requests.isEmpty()) {
            autoscaler.noteFirstTerm();
        }
        recovery.allRecordsLoaded(nowMicros);
    }

    // ---- what the leader may do

    /**
     * The store was read, and the answer is applied.
     *
     * @param askedMicros when the read was asked for
     */
    public void storeReadAt(long askedMicros) {
        startGuard.storeReadAt(askedMicros);
    }

    /**
     * Until when the leader certainly holds its lease. Later nothing is started, rented or returned: a leader that stood still for 20 s takes every task
     * for gone, and on a machine that has not heard of its successor a start of its own would land.
     *
     * @param untilMicros the end of the lease as far as it is known
     */
    public void leaseHeldUntil(long untilMicros) {
        startGuard.leaseHeldUntil(untilMicros);
    }

    /**
     * This process stood still while its clock ran: what it held as fresh is old, and machines only seem silent until they had time to report again.
     *
     * @param nowMicros when it went on
     */
    public void processResumed(long nowMicros) {
        startGuard.processResumed(nowMicros);
    }

    private boolean mayPlaceTasks(long nowMicros) {
        return startGuard.mayStartTasks(nowMicros) && !fleet.machineTypes().isEmpty();
    }

    // ---- heartbeats

    /**
     * Applies a heartbeat and answers it.
     *
     * @param heartbeat whose fencing token is not above this term's
     * @param nowMicros of its receipt
     * @return the commands for its worker, in the order in which they are to be executed
     */
    public List<Command> handleHeartbeat(Heartbeat heartbeat, long nowMicros) {
        List<Command> commands = new ArrayList<>();
        Machine machine = heartbeatReconciler.apply(heartbeat, commands, nowMicros);
        if (machine != null) {
            if (machine.reconciled && mayPlaceTasks(nowMicros)) {
                planner.refill(machine, nowMicros);
            }
            heartbeatCommands.addStopsAndStarts(machine, commands, nowMicros);
        }
        return commands;
    }

    /**
     * Applies a heartbeat that came as the answer to an announcement of the term. It proves as much as any other, but no command can be sent in answer to
     * it, and the worker's lease runs on from the last answer that it had: what is taken for gone from then on is taken for so too late.
     *
     * <p>Only for a machine that is not reconciled, which no start of this term can be on its way to. A worker has one heartbeat under way at a time, so a
     * newer one shows what became of a start in the answer to the one before; this one may have been made before that answer came, and four starts that
     * were on their way were taken for lost and made again elsewhere (ran_twice, on three of some 6,300 drawn days).
     *
     * @param heartbeat whose fencing token is not above this term's
     * @param nowMicros of its receipt
     */
    public void announcementAnswered(Heartbeat heartbeat, long nowMicros) {
        Machine machine = fleet.get(heartbeat.machine());
        if (machine == null || !machine.reconciled) {
            heartbeatReconciler.apply(heartbeat, new ArrayList<>(), nowMicros);
        } else {
            machine.highestSequence = Math.max(machine.highestSequence, heartbeat.sequence());
        }
    }

    /**
     * Announcements of the term to machines that jobs wait for and that have not reported to this leader, each once.
     *
     * @param most how many at most
     * @return those that are due now
     */
    public List<TermAnnouncement> nextAnnouncements(int most) {
        return recovery.nextAnnouncements(most);
    }

    // ---- time

    /**
     * Detects failures, places, preempts and scales; to be called several times a second.
     *
     * @param nowMicros the time
     */
    public void tick(long nowMicros) {
        if (!startGuard.mayDetectFailures(nowMicros)) {
            return;
        }
        evictions.expireLeases(nowMicros);
        evictions.stopBrokenGangs(nowMicros);
        evictions.evictFromSlowMachines(nowMicros);
        dagInheritance.refresh(nowMicros);
        evictions.removeFromFullLedgers(nowMicros);
        if (mayPlaceTasks(nowMicros)) {
            planner.plan(nowMicros);
        }
        autoscaler.plan(nowMicros, termStartMicros);
    }

    // ---- writes

    /**
     * The next transaction to send. There is one at a time; its outcome must be told.
     *
     * @param nowMicros the time
     * @param wallMicros the time of day, which the records of completed jobs keep
     * @return the transaction, or null if there is nothing to write now
     */
    public Transaction nextWriteBatch(long nowMicros, long wallMicros) {
        return writeBatches.next(nowMicros, wallMicros);
    }

    /**
     * The transaction was executed.
     *
     * @param revision that the store gave it
     * @param nowMicros the time
     */
    public void writeConfirmed(long revision, long nowMicros) {
        writeBatches.confirmed(revision, nowMicros);
    }

    /**
     * The transaction was not executed, or its outcome is unknown.
     *
     * @return the keys to be read back before {@link #writeResolved}
     */
    public List<String> unresolvedWriteKeys() {
        return writeBatches.unresolvedKeys();
    }

    /**
     * All keys of a transaction of unknown outcome are read back.
     *
     * @param nowMicros the time
     */
    public void writeResolved(long nowMicros) {
        writeBatches.resolved(nowMicros);
    }

    /**
     * The store will never take this transaction.
     *
     * @param nowMicros the time
     */
    public void writeRejected(long nowMicros) {
        writeBatches.rejected(nowMicros);
    }

    /**
     * The transaction was certainly not executed; nothing needs to be read.
     *
     * @param nowMicros the time
     */
    public void writeNotExecuted(long nowMicros) {
        writeBatches.notExecuted(nowMicros);
    }

    /**
     * The transaction was refused for these keys, so it was not executed. The next one may go out at once, without the jobs that they belong to: a user who
     * cancels one job must not hold up the other fifteen of a batch, nor cost the reads of all their keys (after a restart of all controllers at 1.5 times
     * the fleet 80 batches of a day were refused whole, each read back with some 30 requests).
     *
     * @param failed the keys whose versions are not as they were known
     * @param nowMicros the time
     * @return the keys to be read back, each to be followed by {@link #keyReadBack}
     */
    public List<String> writeConflicted(List<String> failed, long nowMicros) {
        return writeBatches.conflicted(failed, nowMicros);
    }

    /**
     * A key that a transaction was refused for was read back and applied.
     *
     * @param key that was read
     * @param nowMicros the time
     */
    public void keyReadBack(String key, long nowMicros) {
        if (!isCloudRecord(key)) {
            ledgers.keyReadBack(key, nowMicros);
        }
    }

    /**
     * A provisioning request, their fence or a record of machines to delete was read back.
     *
     * @param key that was read
     * @param record as stored, null if there is none
     * @param version of the record, 0 if there is none
     */
    public void cloudRecordReadBack(String key, StoredRecord record, long version) {
        cloudRecords.readBack(key, record, version);
    }

    /**
     * Whether a key is of what is asked of the cloud, and not of a job.
     *
     * @param key of the store
     * @return whether it is to be given to {@link #cloudRecordReadBack}
     */
    public static boolean isCloudRecord(String key) {
        return CloudRecords.owns(key);
    }

    /**
     * A ledger was read back.
     *
     * @param key that was read
     * @param ledger as stored, null if there is none
     * @param version of the record, 0 if there is none
     */
    public void ledgerReadBack(String key, StoredRecord.Ledger ledger, long version) {
        ledgers.readBack(key, ledger, version);
    }

    /**
     * A record of a job was read back: our own completion of it, a cancellation, or still open.
     *
     * @param id of the job
     * @param record as stored
     * @param version of the record
     * @param nowMicros the time
     */
    public void jobReadBack(String id, StoredRecord.JobRecord record, long version, long nowMicros) {
        jobReconciler.jobReadBack(id, record, version, nowMicros);
    }

    /**
     * How many writes of the leader's share of the rate are left over for other purposes now.
     *
     * @param nowMicros the time
     * @return what is above four fifths of a second's worth, at least 0
     */
    public int spareWriteBudget(long nowMicros) {
        return writeBatches.spareWrites(nowMicros);
    }

    /**
     * Something else that this leader writes took so many of its writes.
     *
     * @param writes that were sent
     */
    public void writesSpent(int writes) {
        writeBatches.spend(writes);
    }

    // ---- the cloud

    /**
     * The cloud has answered which machine types it offers.
     *
     * @param types all of them
     * @param nowMicros the time
     */
    public void machineTypesChanged(List<MachineType> types, long nowMicros) {
        fleet.setMachineTypes(types);
    }

    /**
     * The calls of the cloud that are due.
     *
     * @param nowMicros the time
     * @return calls to send now, each to be followed by its outcome
     */
    public List<CloudCall> cloudCalls(long nowMicros) {
        return startGuard.mayCallCloud(nowMicros) ? autoscaler.nextCalls(nowMicros) : List.of();
    }

    /**
     * A provisioning request was answered with machines, as many as were asked for or fewer.
     *
     * @param request its name
     * @param names of the machines
     * @param nowMicros the time
     */
    public void machinesRented(String request, List<String> names, long nowMicros) {
        autoscaler.machinesRented(request, names, nowMicros);
    }

    /**
     * A provisioning request was refused for want of machines.
     *
     * @param request its name
     * @param nowMicros the time
     */
    public void noCapacity(String request, long nowMicros) {
        autoscaler.noCapacity(request, nowMicros);
    }

    /**
     * A provisioning request has no answer; a later list of machines shows what became of it.
     *
     * @param request its name
     * @param nowMicros the time
     */
    public void provisioningUnanswered(String request, long nowMicros) {
        autoscaler.requestUnanswered(request, nowMicros);
    }

    /**
     * A provisioning request was refused without being executed; it may be sent again under the same name.
     *
     * @param request its name
     */
    public void provisioningNotExecuted(String request) {
        autoscaler.requestNotExecuted(request);
    }

    /**
     * The deletion of machines was answered: nothing can be on them any more.
     *
     * @param names of the machines
     * @param nowMicros the time
     */
    public void machinesDeleted(List<String> names, long nowMicros) {
        for (String name : names) {
            Machine machine = fleet.get(name);
            if (machine != null) {
                recovery.machineDeleted(machine, nowMicros);
                placements.removeAll(machine);
            }
            machineDeletions.machineDeleted(name, nowMicros);
            fleet.markDeleted(name, nowMicros);
            recovery.reconcileLedgers(name, nowMicros);
        }
    }

    /**
     * The cloud has listed the machines.
     *
     * @param machines all of them, null after a call that failed
     * @param askedMicros when the list was asked for
     * @param nowMicros the time
     */
    public void machinesListed(List<ListedMachine> machines, long askedMicros, long nowMicros) {
        autoscaler.machinesListed(machines, askedMicros, nowMicros);
    }

    // ---- what others are shown

    /**
     * How many machines are known of.
     *
     * @return their number, those that boot or are being deleted included
     */
    public int machineCount() {
        return fleet.machines().size();
    }

    /**
     * Whether a job that is over may be archived as far as this leader's own work goes.
     *
     * @param id of the job
     * @return false as long as not all records are read
     */
    public boolean mayBeArchived(String id) {
        return !recovery.isLoading() && ledgers.mayBeArchived(id);
    }

    /**
     * How this term got back what the one before knew.
     *
     * @return the times, which change as the term goes on
     */
    public FailoverTimings failoverTimings() {
        return failoverProgress;
    }

    /**
     * What this leader has learned and no record holds, for standbys.
     *
     * @param nowMicros the time
     * @return hints on machines, jobs and job classes
     */
    public List<Hint> hints(long nowMicros) {
        return Hints.snapshot(fleet, ledgers.jobs(), runtimeEstimator, nowMicros);
    }

    /**
     * What lasts beyond a failover without a standby: run times, quarantines, slow and deleted machines.
     *
     * @param nowMicros the time
     * @return the hints to be stored
     */
    public List<Hint> durableHints(long nowMicros) {
        return Hints.durableSnapshot(fleet, ledgers.jobs(), runtimeEstimator, nowMicros);
    }

    /**
     * What an earlier leader had learned.
     *
     * @param earlier its hints
     * @param kept whether they come from the store: older than what a standby was sent, which they leave as it is
     * @param nowMicros the time
     */
    public void hintsReceived(List<Hint> earlier, boolean kept, long nowMicros) {
        recovery.hintsReceived(earlier, kept, runtimeEstimator, nowMicros);
    }

    /**
     * Counts of tasks of every open job, for display.
     *
     * @return one for each job
     */
    public List<JobProgress> progress() {
        List<JobProgress> result = new ArrayList<>();
        for (Job job : ledgers.jobs()) {
            result.add(new JobProgress(job.id(), job.finishedCount(), job.runningCount()));
        }
        return result;
    }

    /**
     * Final records that this leader knows to be stored: other jobs may wait for them.
     *
     * @return those since the last call
     */
    public List<EndedJob> takeEndedJobs() {
        return jobOutcomes.takeEndedJobs();
    }

    /**
     * Lines for the log on jobs and machines that were quarantined, and once on the failover.
     *
     * @return those since the last call
     */
    public List<String> takeNotices() {
        List<String> lines = taskOutcomes.takeNotices();
        String failoverLine = failoverProgress.logLine();
        if (failoverLine != null) {
            lines.add(failoverLine);
        }
        return lines;
    }

    /**
     * Lines for the log on completed jobs.
     *
     * @param nowMicros the time
     * @return one for each job since the last call
     */
    public List<String> takeCompletions(long nowMicros) {
        return jobOutcomes.takeCompletionLines(nowMicros);
    }

    /**
     * The state of the term in one line for the log.
     *
     * @param nowMicros the time
     * @return counts as {@code name=count}
     */
    public String summary(long nowMicros) {
        return new TermSummary(fleet, ledgers, settings, nowMicros)
                .line(dagInheritance.waitingJobCount(), planner, evictions.slowMachinesFound(), provisioningRequests);
    }

    /** Machines that plans looked at in this term. */
    long machinesExamined() {
        return planner.machinesExamined();
    }

    Resources teamUsage(String team) {
        return placements.teamUsage(team);
    }
}
