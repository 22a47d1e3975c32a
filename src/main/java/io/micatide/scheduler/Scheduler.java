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
 * The scheduler of one term of leadership, from the leader's claim until it is fenced. Its state ends with the term; the next leader rebuilds it from
 * the ledgers and the workers' heartbeats.
 *
 * <p>This class only dispatches to the components that own the state: {@link HeartbeatReconciler}, {@link JobReconciler} and {@link FailoverRecovery}
 * update the cluster state, {@link Evictions}, {@link PlacementPlanner} and {@link Autoscaler} make decisions, and {@link WriteBatches} writes to the
 * store. The order in which one call invokes them is part of the behavior. Times are microseconds of the leader's steady clock, except for the wall
 * time of jobs. Not thread-safe: called only by the leader's actor.
 */
public final class Scheduler
        implements HeartbeatListener, StoredStateListener, WriteBatchSource, CloudCallSource, TermStatus {
    private final SchedulerComponents components;

    /**
     * Creates the scheduler of a new term.
     *
     * @param settings settings of the deployment
     * @param tuning settings that the operator may change
     * @param maxArrayTasks number of tasks of arrays that may be placed at once, see {@link ArrayTaskLimit}
     * @param fencingToken fencing token of the term
     * @param nowMicros time of the claim
     */
    public Scheduler(Settings settings, Tuning tuning, long maxArrayTasks, long fencingToken, long nowMicros) {
        this(settings, tuning, maxArrayTasks, fencingToken, nowMicros, PlacementPlanner::new);
    }

    Scheduler(
            Settings settings,
            Tuning tuning,
            long maxArrayTasks,
            long fencingToken,
            long nowMicros,
            SchedulerComponents.PlannerFactory plannerFactory) {
        this.components = new SchedulerComponents(
                settings, tuning, ArrayTaskLimit.of(maxArrayTasks), fencingToken, nowMicros, plannerFactory);
    }

    /**
     * Returns the fencing token of the term.
     *
     * @return the token that all commands of this leader carry
     */
    public long fencingToken() {
        return components.fencingToken;
    }

    @Override
    public void jobChanged(JobCache.View view, long wallMicros, long nowMicros) {
        components.jobReconciler.jobChanged(view, wallMicros, nowMicros);
    }

    @Override
    public void ledgerLoaded(String key, StoredRecord.Ledger ledger, long version, long nowMicros) {
        if (!components.recovery.ledgerLoaded(key, ledger, version, nowMicros)) {
            components.writeBatches.deleteOrphanedLedger(key);
        }
    }

    @Override
    public void provisioningRequestLoaded(String name, StoredRecord.Provisioning record, long version, long nowMicros) {
        components.provisioningRequests.load(name, record, version, nowMicros);
    }

    @Override
    public void provisioningFenceRead(long version, long number) {
        components.provisioningRequests.fenceRead(version, number);
    }

    @Override
    public void featureFlagsChanged(long version, boolean fencesRequests, boolean recordsDeletions) {
        components.cloudRecords.featureFlagsChanged(version, fencesRequests, recordsDeletions);
    }

    @Override
    public void machineDeletionLoaded(String key, StoredRecord.MachinesToDelete record, long version, long nowMicros) {
        components.machineDeletions.load(key, record.machines(), version);
        record.machines().forEach(name -> components.fleet.getOrAdd(name, nowMicros).deletionRequested = true);
    }

    @Override
    public void layoutMarked(long version, StoredRecord.Layout layout) {
        components.ledgers.layoutMarked(version, layout.pageTasks());
    }

    @Override
    public void archiveEnabled() {
        components.ledgers.archiveEnabled();
    }

    @Override
    public void allRecordsLoaded(long nowMicros) {
        if (!components.recovery.hasFoundLedgers() && components.provisioningRequests.requests.isEmpty()) {
            components.autoscaler.markFirstTerm();
        }
        components.recovery.allRecordsLoaded(nowMicros);
    }

    /**
     * Records that the store was read and the response has been applied.
     *
     * @param requestSentMicros time at which the read was requested
     */
    public void storeReadAt(long requestSentMicros) {
        components.startGuard.storeReadAt(requestSentMicros);
    }

    /**
     * Sets the time until which the leader certainly holds its lease. After that time no task is started and no machine is rented or returned: a
     * leader whose process was paused for 20 s regards every task as lost, and a machine that does not know the leader's successor yet would still
     * execute its starts.
     *
     * @param untilMicros end of the lease as it is known now
     */
    public void leaseHeldUntil(long untilMicros) {
        components.startGuard.leaseHeldUntil(untilMicros);
    }

    /**
     * Records that this process resumed after a pause during which its clock ran on. The state that it read before is outdated, and a machine without
     * recent heartbeats is not evidence of a failure until its worker has had time to send the next one.
     *
     * @param nowMicros time at which the process resumed
     */
    public void processResumed(long nowMicros) {
        components.startGuard.processResumed(nowMicros);
    }

    private boolean mayPlaceTasks(long nowMicros) {
        return components.startGuard.mayStartTasks(nowMicros)
                && !components.fleet.machineTypes().isEmpty();
    }

    @Override
    public List<Command> handleHeartbeat(Heartbeat heartbeat, long nowMicros) {
        List<Command> commands = new ArrayList<>();
        Machine machine = components.heartbeatReconciler.apply(heartbeat, commands, nowMicros);
        if (machine != null) {
            if (machine.isReconciled && mayPlaceTasks(nowMicros)) {
                components.planner.refill(machine, nowMicros);
            }
            components.heartbeatCommands.addStopsAndStarts(machine, commands, nowMicros);
        }
        return commands;
    }

    @Override
    public void announcementAnswered(Heartbeat heartbeat, long nowMicros) {
        Machine machine = components.fleet.get(heartbeat.machine());
        if (machine == null || !machine.isReconciled) {
            components.heartbeatReconciler.apply(heartbeat, new ArrayList<>(), nowMicros);
        } else {
            machine.highestSequence = Math.max(machine.highestSequence, heartbeat.sequence());
        }
    }

    @Override
    public List<TermAnnouncement> nextAnnouncements(int limit) {
        return components.recovery.nextAnnouncements(limit);
    }

    /**
     * Detects failures, places and preempts tasks, and scales the fleet. Must be called several times a second.
     *
     * @param nowMicros current time
     */
    public void tick(long nowMicros) {
        if (!components.startGuard.mayDetectFailures(nowMicros)) {
            return;
        }
        components.evictions.expireLeases(nowMicros);
        components.evictions.stopBrokenGangs(nowMicros);
        components.evictions.evictFromSlowMachines(nowMicros);
        components.taskOutcomes.endQuarantines(nowMicros);
        components.dagInheritance.refresh(nowMicros);
        components.evictions.removeFromFullLedgers(nowMicros);
        if (mayPlaceTasks(nowMicros)) {
            components.planner.plan(nowMicros);
        }
        components.autoscaler.plan(nowMicros, components.termStartMicros);
    }

    @Override
    public Transaction nextWriteBatch(long nowMicros, long wallMicros) {
        return components.writeBatches.next(nowMicros, wallMicros);
    }

    @Override
    public void writeConfirmed(long revision, long nowMicros) {
        components.writeBatches.confirmed(revision, nowMicros);
    }

    @Override
    public List<String> unresolvedWriteKeys() {
        return components.writeBatches.unresolvedKeys();
    }

    @Override
    public void writeResolved(long nowMicros) {
        components.writeBatches.resolved(nowMicros);
    }

    @Override
    public void writeRejected(long nowMicros) {
        components.writeBatches.rejected(nowMicros);
    }

    @Override
    public void writeNotExecuted(long nowMicros) {
        components.writeBatches.notExecuted(nowMicros);
    }

    @Override
    public List<String> writeConflicted(List<String> failed, long nowMicros) {
        return components.writeBatches.conflicted(failed, nowMicros);
    }

    @Override
    public void keyReadBack(String key, long nowMicros) {
        if (!isCloudRecord(key)) {
            components.ledgers.keyReadBack(key, nowMicros);
        }
    }

    @Override
    public void cloudRecordReadBack(String key, StoredRecord record, long version) {
        components.cloudRecords.readBack(key, record, version);
    }

    /**
     * Returns whether a key of the store belongs to a record about cloud calls instead of a job.
     *
     * @param key key of the store
     * @return true if the record must be passed to {@link #cloudRecordReadBack}
     */
    public static boolean isCloudRecord(String key) {
        return CloudRecords.owns(key);
    }

    @Override
    public void ledgerReadBack(String key, StoredRecord.Ledger ledger, long version) {
        components.ledgers.ledgerReadBack(key, ledger, version);
    }

    @Override
    public void jobReadBack(String id, StoredRecord.JobRecord record, long version, long nowMicros) {
        components.jobReconciler.jobReadBack(id, record, version, nowMicros);
    }

    @Override
    public int spareWriteBudget(long nowMicros) {
        return components.writeBatches.spareWrites(nowMicros);
    }

    @Override
    public void otherWritesSent(int writes) {
        components.writeBatches.spend(writes);
    }

    @Override
    public void machineTypesChanged(List<MachineType> types, long nowMicros) {
        components.fleet.setMachineTypes(types);
    }

    @Override
    public List<CloudCall> cloudCalls(long nowMicros) {
        return components.startGuard.mayCallCloud(nowMicros) ? components.autoscaler.nextCalls(nowMicros) : List.of();
    }

    @Override
    public void machinesRented(String request, List<String> names, long nowMicros) {
        components.autoscaler.machinesRented(request, names, nowMicros);
    }

    @Override
    public void noCapacity(String request, long nowMicros) {
        components.autoscaler.noCapacity(request, nowMicros);
    }

    @Override
    public void provisioningUnanswered(String request, long nowMicros) {
        components.autoscaler.requestUnanswered(request, nowMicros);
    }

    @Override
    public void provisioningNotExecuted(String request) {
        components.autoscaler.requestNotExecuted(request);
    }

    @Override
    public void machinesDeleted(List<String> names, long nowMicros) {
        for (String name : names) {
            Machine machine = components.fleet.get(name);
            if (machine != null) {
                components.recovery.machineDeleted(machine, nowMicros);
                components.placements.removeAll(machine);
            }
            components.machineDeletions.machineDeleted(name, nowMicros);
            components.fleet.markDeleted(name, nowMicros);
            components.recovery.reconcileLedgers(name, nowMicros);
        }
    }

    @Override
    public void machinesListed(List<ListedMachine> machines, long requestSentMicros, long nowMicros) {
        components.autoscaler.machinesListed(machines, requestSentMicros, nowMicros);
    }

    @Override
    public int machineCount() {
        return components.fleet.machines().size();
    }

    @Override
    public boolean mayBeArchived(String id) {
        return !components.recovery.isLoading() && components.ledgers.mayBeArchived(id);
    }

    @Override
    public FailoverTimings failoverTimings() {
        return components.failoverProgress;
    }

    @Override
    public List<Hint> hints(long nowMicros) {
        return Hints.snapshot(components.fleet, components.ledgers.jobs(), components.runtimeEstimator, nowMicros);
    }

    @Override
    public List<Hint> durableHints(long nowMicros) {
        return Hints.durableSnapshot(
                components.fleet, components.ledgers.jobs(), components.runtimeEstimator, nowMicros);
    }

    @Override
    public void hintsReceived(List<Hint> previousHints, boolean isStored, long nowMicros) {
        components.recovery.hintsReceived(previousHints, isStored, components.runtimeEstimator, nowMicros);
    }

    @Override
    public List<JobProgress> progress() {
        List<JobProgress> result = new ArrayList<>();
        for (Job job : components.ledgers.jobs()) {
            result.add(new JobProgress(job.id(), job.finishedCount(), job.runningCount()));
        }
        return result;
    }

    @Override
    public List<FinishedJob> takeFinishedJobs() {
        return components.jobOutcomes.takeFinishedJobs();
    }

    @Override
    public List<String> takeNotices() {
        List<String> lines = components.taskOutcomes.takeNotices();
        String failoverLine = components.failoverProgress.logLine();
        if (failoverLine != null) {
            lines.add(failoverLine);
        }
        return lines;
    }

    @Override
    public List<String> takeCompletionLines(long nowMicros) {
        return components.jobOutcomes.takeCompletionLines(nowMicros);
    }

    @Override
    public String summary(long nowMicros) {
        return new TermSummary(components.fleet, components.ledgers, components.settings, nowMicros)
                .line(
                        components.dagInheritance.waitingJobCount(),
                        components.planner,
                        components.evictions.slowMachinesFound(),
                        components.provisioningRequests);
    }

    /** Returns the number of machines that planning passes examined in this term. */
    long machinesExamined() {
        return components.planner.machinesExamined();
    }

    Resources teamUsage(String team) {
        return components.placements.teamUsage(team);
    }
}
