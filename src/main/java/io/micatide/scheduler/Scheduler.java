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
public final class Scheduler
        implements HeartbeatListener, StoredStateListener, WriteBatchSource, CloudCallSource, TermStatus {
    private final SchedulerComponents term;

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

    Scheduler(
            Settings settings,
            Tuning tuning,
            long fencingToken,
            long nowMicros,
            SchedulerComponents.PlannerFactory plannerFactory) {
        this.term = new SchedulerComponents(settings, tuning, fencingToken, nowMicros, plannerFactory);
    }

    /**
     * The fencing token of the term.
     *
     * @return the token that all commands of this leader carry
     */
    public long fencingToken() {
        return term.fencingToken;
    }

    @Override
    public void jobChanged(JobCache.View view, long wallMicros, long nowMicros) {
        term.jobReconciler.jobChanged(view, wallMicros, nowMicros);
    }

    @Override
    public void ledgerLoaded(String key, StoredRecord.Ledger ledger, long version, long nowMicros) {
        if (!term.recovery.ledgerLoaded(key, ledger, version, nowMicros)) {
            term.writeBatches.deleteOrphanedLedger(key);
        }
    }

    @Override
    public void provisioningRequestLoaded(String name, StoredRecord.Provisioning record, long version, long nowMicros) {
        term.provisioningRequests.load(name, record, version, nowMicros);
    }

    @Override
    public void provisioningFenceRead(long version, long number) {
        term.provisioningRequests.fenceRead(version, number);
    }

    @Override
    public void featureFlagsChanged(long version, boolean fenced, boolean recorded) {
        term.cloudRecords.featureFlagsChanged(version, fenced, recorded);
    }

    @Override
    public void machineDeletionLoaded(String key, StoredRecord.MachinesToDelete record, long version, long nowMicros) {
        term.machineDeletions.load(key, record.machines(), version);
        record.machines().forEach(name -> term.fleet.getOrAdd(name, nowMicros).deletionRequested = true);
    }

    @Override
    public void layoutMarked(long version, StoredRecord.Layout layout) {
        term.ledgers.layoutMarked(version, layout.pageTasks());
    }

    @Override
    public void archiveEnabled() {
        term.ledgers.archiveEnabled();
    }

    @Override
    public void allRecordsLoaded(long nowMicros) {
        if (!term.recovery.hasFoundLedgers() && term.provisioningRequests.requests.isEmpty()) {
            term.autoscaler.markFirstTerm();
        }
        term.recovery.allRecordsLoaded(nowMicros);
    }

    /**
     * The store was read, and the answer is applied.
     *
     * @param askedMicros when the read was asked for
     */
    public void storeReadAt(long askedMicros) {
        term.startGuard.storeReadAt(askedMicros);
    }

    /**
     * Until when the leader certainly holds its lease. Later nothing is started, rented or returned: a leader that stood still for 20 s takes every task
     * for gone, and on a machine that has not heard of its successor a start of its own would land.
     *
     * @param untilMicros the end of the lease as far as it is known
     */
    public void leaseHeldUntil(long untilMicros) {
        term.startGuard.leaseHeldUntil(untilMicros);
    }

    /**
     * This process stood still while its clock ran: what it held as fresh is old, and machines only seem silent until they had time to report again.
     *
     * @param nowMicros when it went on
     */
    public void processResumed(long nowMicros) {
        term.startGuard.processResumed(nowMicros);
    }

    private boolean mayPlaceTasks(long nowMicros) {
        return term.startGuard.mayStartTasks(nowMicros)
                && !term.fleet.machineTypes().isEmpty();
    }

    @Override
    public List<Command> handleHeartbeat(Heartbeat heartbeat, long nowMicros) {
        List<Command> commands = new ArrayList<>();
        Machine machine = term.heartbeatReconciler.apply(heartbeat, commands, nowMicros);
        if (machine != null) {
            if (machine.reconciled && mayPlaceTasks(nowMicros)) {
                term.planner.refill(machine, nowMicros);
            }
            term.heartbeatCommands.addStopsAndStarts(machine, commands, nowMicros);
        }
        return commands;
    }

    @Override
    public void announcementAnswered(Heartbeat heartbeat, long nowMicros) {
        Machine machine = term.fleet.get(heartbeat.machine());
        if (machine == null || !machine.reconciled) {
            term.heartbeatReconciler.apply(heartbeat, new ArrayList<>(), nowMicros);
        } else {
            machine.highestSequence = Math.max(machine.highestSequence, heartbeat.sequence());
        }
    }

    @Override
    public List<TermAnnouncement> nextAnnouncements(int most) {
        return term.recovery.nextAnnouncements(most);
    }

    /**
     * Detects failures, places, preempts and scales; to be called several times a second.
     *
     * @param nowMicros the time
     */
    public void tick(long nowMicros) {
        if (!term.startGuard.mayDetectFailures(nowMicros)) {
            return;
        }
        term.evictions.expireLeases(nowMicros);
        term.evictions.stopBrokenGangs(nowMicros);
        term.evictions.evictFromSlowMachines(nowMicros);
        term.dagInheritance.refresh(nowMicros);
        term.evictions.removeFromFullLedgers(nowMicros);
        if (mayPlaceTasks(nowMicros)) {
            term.planner.plan(nowMicros);
        }
        term.autoscaler.plan(nowMicros, term.termStartMicros);
    }

    @Override
    public Transaction nextWriteBatch(long nowMicros, long wallMicros) {
        return term.writeBatches.next(nowMicros, wallMicros);
    }

    @Override
    public void writeConfirmed(long revision, long nowMicros) {
        term.writeBatches.confirmed(revision, nowMicros);
    }

    @Override
    public List<String> unresolvedWriteKeys() {
        return term.writeBatches.unresolvedKeys();
    }

    @Override
    public void writeResolved(long nowMicros) {
        term.writeBatches.resolved(nowMicros);
    }

    @Override
    public void writeRejected(long nowMicros) {
        term.writeBatches.rejected(nowMicros);
    }

    @Override
    public void writeNotExecuted(long nowMicros) {
        term.writeBatches.notExecuted(nowMicros);
    }

    @Override
    public List<String> writeConflicted(List<String> failed, long nowMicros) {
        return term.writeBatches.conflicted(failed, nowMicros);
    }

    @Override
    public void keyReadBack(String key, long nowMicros) {
        if (!isCloudRecord(key)) {
            term.ledgers.keyReadBack(key, nowMicros);
        }
    }

    @Override
    public void cloudRecordReadBack(String key, StoredRecord record, long version) {
        term.cloudRecords.readBack(key, record, version);
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

    @Override
    public void ledgerReadBack(String key, StoredRecord.Ledger ledger, long version) {
        term.ledgers.ledgerReadBack(key, ledger, version);
    }

    @Override
    public void jobReadBack(String id, StoredRecord.JobRecord record, long version, long nowMicros) {
        term.jobReconciler.jobReadBack(id, record, version, nowMicros);
    }

    @Override
    public int spareWriteBudget(long nowMicros) {
        return term.writeBatches.spareWrites(nowMicros);
    }

    @Override
    public void otherWritesSent(int writes) {
        term.writeBatches.spend(writes);
    }

    @Override
    public void machineTypesChanged(List<MachineType> types, long nowMicros) {
        term.fleet.setMachineTypes(types);
    }

    @Override
    public List<CloudCall> cloudCalls(long nowMicros) {
        return term.startGuard.mayCallCloud(nowMicros) ? term.autoscaler.nextCalls(nowMicros) : List.of();
    }

    @Override
    public void machinesRented(String request, List<String> names, long nowMicros) {
        term.autoscaler.machinesRented(request, names, nowMicros);
    }

    @Override
    public void noCapacity(String request, long nowMicros) {
        term.autoscaler.noCapacity(request, nowMicros);
    }

    @Override
    public void provisioningUnanswered(String request, long nowMicros) {
        term.autoscaler.requestUnanswered(request, nowMicros);
    }

    @Override
    public void provisioningNotExecuted(String request) {
        term.autoscaler.requestNotExecuted(request);
    }

    @Override
    public void machinesDeleted(List<String> names, long nowMicros) {
        for (String name : names) {
            Machine machine = term.fleet.get(name);
            if (machine != null) {
                term.recovery.machineDeleted(machine, nowMicros);
                term.placements.removeAll(machine);
            }
            term.machineDeletions.machineDeleted(name, nowMicros);
            term.fleet.markDeleted(name, nowMicros);
            term.recovery.reconcileLedgers(name, nowMicros);
        }
    }

    @Override
    public void machinesListed(List<ListedMachine> machines, long askedMicros, long nowMicros) {
        term.autoscaler.machinesListed(machines, askedMicros, nowMicros);
    }

    @Override
    public int machineCount() {
        return term.fleet.machines().size();
    }

    @Override
    public boolean mayBeArchived(String id) {
        return !term.recovery.isLoading() && term.ledgers.mayBeArchived(id);
    }

    @Override
    public FailoverTimings failoverTimings() {
        return term.failoverProgress;
    }

    @Override
    public List<Hint> hints(long nowMicros) {
        return Hints.snapshot(term.fleet, term.ledgers.jobs(), term.runtimeEstimator, nowMicros);
    }

    @Override
    public List<Hint> durableHints(long nowMicros) {
        return Hints.durableSnapshot(term.fleet, term.ledgers.jobs(), term.runtimeEstimator, nowMicros);
    }

    @Override
    public void hintsReceived(List<Hint> earlier, boolean kept, long nowMicros) {
        term.recovery.hintsReceived(earlier, kept, term.runtimeEstimator, nowMicros);
    }

    @Override
    public List<JobProgress> progress() {
        List<JobProgress> result = new ArrayList<>();
        for (Job job : term.ledgers.jobs()) {
            result.add(new JobProgress(job.id(), job.finishedCount(), job.runningCount()));
        }
        return result;
    }

    @Override
    public List<EndedJob> takeFinishedJobs() {
        return term.jobOutcomes.takeEndedJobs();
    }

    @Override
    public List<String> takeNotices() {
        List<String> lines = term.taskOutcomes.takeNotices();
        String failoverLine = term.failoverProgress.logLine();
        if (failoverLine != null) {
            lines.add(failoverLine);
        }
        return lines;
    }

    @Override
    public List<String> takeCompletions(long nowMicros) {
        return term.jobOutcomes.takeCompletionLines(nowMicros);
    }

    @Override
    public String summary(long nowMicros) {
        return new TermSummary(term.fleet, term.ledgers, term.settings, nowMicros)
                .line(
                        term.dagInheritance.waitingJobCount(),
                        term.planner,
                        term.evictions.slowMachinesFound(),
                        term.provisioningRequests);
    }

    /** Machines that plans looked at in this term. */
    long machinesExamined() {
        return term.planner.machinesExamined();
    }

    Resources teamUsage(String team) {
        return term.placements.teamUsage(team);
    }
}
