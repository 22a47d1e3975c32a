package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.scheduler.WriteBatch.JobWrite;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.TaskRanges;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the open jobs of a term and their ledgers, and composes the batches that write them.
 *
 * <p>A write whose answer was lost may be applied minutes later. Every value is therefore written on condition of its
 * last known version, and a machine counts as recorded only if the ledger names it under every possible outcome of the
 * last write.
 *
 * <p>A job whose write is in flight is in no other batch until the outcome is reported: by {@link #writeConfirmed}, by
 * {@link #writeConflicted} followed by {@link #keyReadBack}, or by {@link #writeResolved} once its keys were read back.
 */
final class JobLedgers {
    /** Time for which a job is not written after the store rejected a transaction with it. */
    private static final long REJECTED_BACKOFF_MICROS = 5 * Micros.SECOND;

    private final long fencingToken;
    private final LedgerFormat format;
    private final LedgerMachines ledgerMachines;
    private final WriteBatchPlanner planner;
    private final OpenJobs jobs = new OpenJobs();
    private final DependencyCancellations dependencyCancellations = new DependencyCancellations();
    private final ConflictedKeys conflictedKeys = new ConflictedKeys();
    /** Jobs that wait for the reconciliation of a machine after a failover, by machine name. */
    private final Map<String, List<Job>> jobsAwaitingMachine = new HashMap<>();

    JobLedgers(Settings settings, long fencingToken) {
        this.fencingToken = fencingToken;
        this.format = new LedgerFormat(settings);
        this.ledgerMachines = new LedgerMachines(format);
        this.planner = new WriteBatchPlanner(settings, jobs, new LedgerPages(format, ledgerMachines));
    }

    // ---- open jobs

    /** The open jobs in the order in which they were added. */
    Collection<Job> jobs() {
        return jobs.all();
    }

    /** Returns the number of jobs of this class that this leader has seen, open or not. */
    int jobsSeenOfClass(String jobClass) {
        return jobs.seenOfClass(jobClass);
    }

    /** Returns the open job of this id, or null. */
    Job get(String id) {
        return jobs.get(id);
    }

    /** Adds an open job: see {@link OpenJobs#add}. */
    Job addJob(JobSpec spec, long version, long submittedWall, long submittedMicros, long readyMicros) {
        return jobs.add(spec, version, submittedWall, submittedMicros, readyMicros);
    }

    /** Removes a job whose stored record is final; no further write is composed for it. */
    void removeJob(Job job) {
        jobs.remove(job);
    }

    /** Returns whether a finished job needs no further work: none of its tasks can run, and no ledger of it is stored. */
    boolean mayBeArchived(String id) {
        return !jobs.contains(id) && !dependencyCancellations.contains(id);
    }

    /** Marks the records written from now on as checked against the archive. */
    void archiveEnabled() {
        planner.archiveEnabled();
    }

    /**
     * Registers a job whose stored record must be changed to cancelled, because a dependency was cancelled.
     *
     * @param record the record as stored, with its version
     */
    void addDependencyCancellation(String id, StoredRecord.JobRecord record, long version) {
        dependencyCancellations.add(id, record, version);
    }

    /** Removes a job that {@link #addDependencyCancellation} registered; does nothing for others. */
    void removeDependencyCancellation(String id) {
        dependencyCancellations.remove(id);
    }

    // ---- ledgers of a previous leader

    /** Applies a ledger page that a previous leader wrote; returns false if no open job has this key. */
    boolean loadLedger(String key, StoredRecord.Ledger ledger, long version) {
        Job job = jobs.get(StoreKeys.jobIdOf(key));
        if (job == null) {
            return false;
        }
        int page = StoreKeys.ledgerPageOf(key);
        applyStoredLedger(job, page, ledger, version);
        if (page == 0) {
            job.unreconciledMachines.addAll(ledger.machines());
            for (String machine : ledger.machines()) {
                jobsAwaitingMachine
                        .computeIfAbsent(machine, name -> new ArrayList<>())
                        .add(job);
            }
        }
        return true;
    }

    private void applyStoredLedger(Job job, int page, StoredRecord.Ledger ledger, long version) {
        job.pageVersions.put(page, version);
        BitSet finished = new BitSet();
        TaskRanges.parseInto(ledger.finishedTasks(), page * format.pageTasks(), finished);
        job.addRecordedTasks(finished);
        if (page == 0) {
            job.ledgerMachines = new HashSet<>(ledger.machines());
            job.gangAttempt = Math.max(job.gangAttempt, ledger.gangAttempt());
        }
    }

    /**
     * Marks a machine as reconciled: no task that a previous leader sent can still appear on it.
     *
     * <p>Jobs are indexed by machine for this. Checking every job for every machine took a million lookups in the
     * seconds after a failover with a thousand machines.
     *
     * @return the open jobs for which this was the last machine to be reconciled
     */
    List<Job> reconcileMachine(String machine) {
        List<Job> reconciled = new ArrayList<>();
        for (Job job : Objects.requireNonNullElse(jobsAwaitingMachine.remove(machine), List.<Job>of())) {
            if (job.unreconciledMachines.remove(machine)
                    && !job.hasUnreconciledMachines()
                    && jobs.get(job.id()) == job) {
                reconciled.add(job);
            }
        }
        return reconciled;
    }

    // ---- pending writes

    /** Marks the job as having something to be written. */
    void markDirty(Job job, long nowMicros) {
        jobs.markDirty(job, nowMicros);
    }

    /** Marks a task as finished and its ledger page as to be written. */
    void markTaskFinished(Job job, int index, long nowMicros) {
        if (job.markFinished(index)) {
            job.dirtyPages.set(index / format.pageTasks());
            markDirty(job, nowMicros);
        }
    }

    /** Applies the layout record that was read: see {@link LedgerFormat#layoutMarked}. */
    void layoutMarked(long version, int tasksPerPage) {
        format.layoutMarked(version, tasksPerPage);
    }

    /** Returns the number of tasks of a ledger page. */
    int pageTasks() {
        return format.pageTasks();
    }

    /** Returns whether the job may be placed on the machine: its ledger names the machine or has space for the name. */
    boolean mayRecordMachine(Job job, Machine machine, long nowMicros) {
        return ledgerMachines.canName(job, machine, nowMicros);
    }

    /** Returns whether a job with pending tasks uses as many machines as its ledger can name. */
    boolean isMachineListFull(Job job) {
        return ledgerMachines.isFull(job);
    }

    /** Requests that the ledger names the machine. A start on it is sent only once this is recorded. */
    void recordMachine(Job job, Machine machine, long nowMicros) {
        if (!job.ledgerMachines.contains(machine.name)) {
            job.machinesToRecord.add(machine.name);
            markDirty(job, nowMicros);
        }
    }

    // ---- the next batch

    /**
     * Composes the next batch. Its jobs are in flight until the outcome is reported.
     *
     * @param nowMicros current time on the steady clock
     * @param wallMicros the time of day, which the records of completed jobs keep
     * @param limits the numbers of writes that the rate limit of the store allows
     * @param additionalWrites writes of the same transaction that do not concern jobs with ledgers
     * @param candidates source of machines to name in advance, so that later starts need not wait for a write
     * @return the batch, or empty if there is nothing to write
     */
    Optional<WriteBatch> nextWriteBatch(
            long nowMicros,
            long wallMicros,
            WriteBatch.Limits limits,
            WriteBatch.AdditionalWrites additionalWrites,
            LedgerPages.CandidateMachineSource candidates) {
        WriteBatchBuilder batch = new WriteBatchBuilder(fencingToken, additionalWrites);
        planner.addJobs(batch, nowMicros, wallMicros, limits, candidates);
        dependencyCancellations.addTo(
                batch, limits.maxDeferrableWrites(), planner.isCheckedAgainstArchive(), conflictedKeys::containsKeyOf);
        if (batch.isEmpty()) {
            return Optional.empty();
        }
        batch.jobWrites().forEach(this::beginWrite);
        return Optional.of(batch.build(format.layoutVersion()));
    }

    /** Marks the job as in flight. Until the outcome is known, only machines in both old and new ledger are recorded. */
    private void beginWrite(JobWrite write) {
        jobs.markInFlight(write.job());
        write.job().ledgerMachines.retainAll(write.machines());
    }

    // ---- outcomes

    /**
     * Applies a batch that the store executed: its machines are recorded, so that starts may be sent, and workers may
     * forget the recorded tasks.
     */
    void writeConfirmed(WriteBatch batch, long revision, long nowMicros) {
        batch.cancelledByDependency().forEach(dependencyCancellations::remove);
        for (JobWrite write : batch.jobWrites()) {
            Job job = write.job();
            job.writeInFlight = false;
            if (write.endsJob()) {
                jobs.remove(job);
                continue;
            }
            for (int page : write.pages()) {
                job.pageVersions.put(page, revision);
                job.recordedTasks.or(write.finishedTasks().get(page));
            }
            if (write.pages().contains(0)) {
                job.ledgerMachines = new HashSet<>(write.machines());
            }
            applyRecordedState(job, nowMicros);
        }
    }

    /** Releases the starts whose machines are recorded, and computes what is still to be written. */
    private void applyRecordedState(Job job, long nowMicros) {
        job.machinesToRecord.removeAll(job.ledgerMachines);
        for (List<Placement> placements : job.liveAttempts.values()) {
            for (Placement placement : placements) {
                releaseIfRecorded(job, placement);
            }
        }
        job.dirtyPages.clear();
        job.dirtySinceMicros = -1;
        int pageTasks = format.pageTasks();
        BitSet unrecordedTasks = (BitSet) job.finishedTasks.clone();
        unrecordedTasks.andNot(job.recordedTasks);
        for (int index = unrecordedTasks.nextSetBit(0);
                index >= 0;
                index = unrecordedTasks.nextSetBit((index / pageTasks + 1) * pageTasks)) {
            job.dirtyPages.set(index / pageTasks);
        }
        if (!job.dirtyPages.isEmpty() || !job.machinesToRecord.isEmpty() || job.allFinished() || job.cancelled) {
            markDirty(job, nowMicros);
        }
    }

    private static void releaseIfRecorded(Job job, Placement placement) {
        if (placement.phase != Placement.Phase.AWAITING_LEDGER) {
            return;
        }
        if (job.ledgerMachines.contains(placement.machine.name)) {
            placement.transitionTo(Placement.Phase.READY);
        } else {
            job.machinesToRecord.add(placement.machine.name);
        }
    }

    /** Returns the keys of a batch that must be read back before its jobs are written again, if the outcome is unknown. */
    List<String> unresolvedKeys(WriteBatch batch) {
        List<String> keys = new ArrayList<>();
        for (Transaction.Condition condition : batch.transaction().conditions()) {
            if (!condition.key().equals(StoreKeys.LEADER)
                    && !condition.key().equals(StoreKeys.LAYOUT)
                    && !condition.key().equals(StoreKeys.FEATURE_STAGES)) {
                keys.add(condition.key());
            }
        }
        return keys;
    }

    /** Applies a ledger page that was read back after a write of unknown outcome; {@code ledger} null if absent. */
    void ledgerReadBack(String key, StoredRecord.Ledger ledger, long version) {
        Job job = jobs.get(StoreKeys.jobIdOf(key));
        if (job == null) {
            return;
        }
        int page = StoreKeys.ledgerPageOf(key);
        if (ledger == null) {
            job.pageVersions.remove(page);
            if (page == 0) {
                job.ledgerMachines.clear();
            }
        } else if (version != job.pageVersions.getOrDefault(page, 0L)) {
            applyStoredLedger(job, page, ledger, version);
        }
    }

    /**
     * Applies the rejection of a batch that the store will not accept, most likely because its limits were lowered. The
     * jobs of the batch are not written for some time, so that they delay neither the other jobs nor the leader's lease.
     */
    void writeRejected(WriteBatch batch, long nowMicros) {
        for (JobWrite write : batch.jobWrites()) {
            write.job().nextWriteMicros = nowMicros + REJECTED_BACKOFF_MICROS;
            write.job().ledgerFull |= !write.job().machinesToRecord.isEmpty();
        }
        batch.cancelledByDependency().forEach(dependencyCancellations::remove);
    }

    /** Allows the jobs of a batch to be written again: all its keys were read back, or none was written. */
    void writeResolved(WriteBatch batch, long nowMicros) {
        for (JobWrite write : batch.jobWrites()) {
            writeResolved(write.job(), nowMicros);
        }
    }

    private void writeResolved(Job job, long nowMicros) {
        job.writeInFlight = false;
        if (jobs.contains(job.id())) {
            applyRecordedState(job, nowMicros);
            markDirty(job, nowMicros);
        }
    }

    /**
     * Applies a conflict: the batch was certainly not executed, because these keys have other versions than expected. All
     * its other keys have the expected versions, so the jobs that own none of the failed keys may be written again at once.
     *
     * @return the keys to be read back, each to be followed by {@link #keyReadBack}
     */
    List<String> writeConflicted(WriteBatch batch, Collection<String> failedKeys, long nowMicros) {
        Set<String> keys = new LinkedHashSet<>(unresolvedKeys(batch));
        keys.retainAll(failedKeys);
        Set<String> conflictedJobs = new HashSet<>();
        for (String key : keys) {
            if (!Scheduler.isCloudRecord(key)) {
                conflictedJobs.add(StoreKeys.jobIdOf(key));
                conflictedKeys.add(key);
            }
        }
        for (JobWrite write : batch.jobWrites()) {
            if (!conflictedJobs.contains(write.job().id())) {
                writeResolved(write.job(), nowMicros);
            }
        }
        return List.copyOf(keys);
    }

    /** Records that a key in conflict was read back. The job may be written again when all its keys in conflict were. */
    void keyReadBack(String key, long nowMicros) {
        if (conflictedKeys.remove(key)) {
            Job job = jobs.get(StoreKeys.jobIdOf(key));
            if (job != null) {
                writeResolved(job, nowMicros);
            }
        }
    }
}
