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
 * The open jobs of a term, their ledgers and the batches that write them.
 *
 * <p>A write whose answer was lost may be applied minutes later. So every value is written on condition that it is as
 * it was last known, and a machine counts as recorded only if it is so by every outcome that the last write can have.
 *
 * <p>A job whose write is in flight is in no other batch until the outcome is told: by {@link #writeConfirmed}, by
 * {@link #writeConflicted} with {@link #keyReadBack}, or by {@link #writeResolved} once its values were read back.
 */
final class JobLedgers {
    /** How long a job is not written after the store rejected a transaction with it. */
    private static final long REJECTED_BACKOFF_MICROS = 5 * Micros.SECOND;

    private final long fencingToken;
    private final LedgerFormat format;
    private final LedgerMachines ledgerMachines;
    private final WriteBatchPlanner planner;
    private final OpenJobs jobs = new OpenJobs();
    private final DependencyCancellations dependencyCancellations = new DependencyCancellations();
    private final ConflictedKeys conflictedKeys = new ConflictedKeys();
    /** Jobs that wait for the reconciliation of a machine after a failover, by machine. */
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

    int jobsSeenOfClass(String jobClass) {
        return jobs.seenOfClass(jobClass);
    }

    /** The open job of this id, or null. */
    Job get(String id) {
        return jobs.get(id);
    }

    /** Adds an open job: see {@link OpenJobs#add}. */
    Job addJob(JobSpec spec, long version, long submittedWall, long submittedMicros, long readyMicros) {
        return jobs.add(spec, version, submittedWall, submittedMicros, readyMicros);
    }

    /** The job is over by its stored record: nothing more is written of it. */
    void removeJob(Job job) {
        jobs.remove(job);
    }

    /** Whether nothing of an ended job is left to do: no task of it can run, no ledger of it is stored. */
    boolean mayBeArchived(String id) {
        return !jobs.contains(id) && !dependencyCancellations.contains(id);
    }

    /** There is an archive: records say that their writers know it. */
    void archiveEnabled() {
        planner.archiveEnabled();
    }

    /** The job's record is to be closed, since a dependency was cancelled; {@code record} as it is stored now. */
    void addDependencyCancellation(String id, StoredRecord.JobRecord record, long version) {
        dependencyCancellations.add(id, record, version);
    }

    /** The job's record needs no closing, or not any more. */
    void removeDependencyCancellation(String id) {
        dependencyCancellations.remove(id);
    }

    // ---- ledgers of an earlier leader

    /** Takes over a ledger value of an earlier leader; false if it belongs to no job that is known. */
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
     * Nothing that an earlier leader sent can appear on this machine any more. Returns the open jobs that waited for
     * this machine last. Asking every job for every machine took a million look-ups in the seconds after a failover of
     * a thousand machines.
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

    // ---- what has to be written

    void markDirty(Job job, long nowMicros) {
        jobs.markDirty(job, nowMicros);
    }

    void markTaskFinished(Job job, int index, long nowMicros) {
        if (job.markFinished(index)) {
            job.dirtyPages.set(index / format.pageTasks());
            markDirty(job, nowMicros);
        }
    }

    /** The layout record was read: see {@link LedgerFormat#layoutMarked}. */
    void layoutMarked(long version, int tasksOfPage) {
        format.layoutMarked(version, tasksOfPage);
    }

    int pageTasks() {
        return format.pageTasks();
    }

    /** Whether the job may be placed on the machine: its ledger names it or has room for its name. */
    boolean mayRecordMachine(Job job, Machine machine, long nowMicros) {
        return ledgerMachines.canName(job, machine, nowMicros);
    }

    /** Whether a job with waiting tasks is on as many machines as its ledger can name. */
    boolean isMachineListFull(Job job) {
        return ledgerMachines.isFull(job);
    }

    /** Starts wait for this: the ledger must name the machine before a task can be started on it. */
    void recordMachine(Job job, Machine machine, long nowMicros) {
        if (!job.ledgerMachines.contains(machine.name)) {
            job.machinesToRecord.add(machine.name);
            markDirty(job, nowMicros);
        }
    }

    // ---- the next batch

    /**
     * The next batch, or empty if nothing is worth writing. Its jobs are in flight until the outcome is told.
     *
     * @param wallMicros the time of day, which the records of completed jobs keep
     * @param limits what the write rate of the store leaves
     * @param additionalWrites what is written along with the jobs
     * @param candidates names machines in advance, so that later starts need not wait for a write
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

    /** Until the outcome is known, only what both the old and the new ledger name counts as recorded. */
    private void beginWrite(JobWrite write) {
        jobs.markInFlight(write.job());
        write.job().ledgerMachines.retainAll(write.machines());
    }

    // ---- outcomes

    /** The batch is in the store: machines are recorded, workers may forget finished tasks, starts may go out. */
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

    /** Releases the starts whose machines are recorded, and finds out what is still to be written. */
    private void applyRecordedState(Job job, long nowMicros) {
        job.machinesToRecord.removeAll(job.ledgerMachines);
        for (List<Placement> attempts : job.liveAttempts.values()) {
            for (Placement placement : attempts) {
                releaseIfRecorded(job, placement);
            }
        }
        job.dirtyPages.clear();
        job.dirtySinceMicros = -1;
        int pageTasks = format.pageTasks();
        BitSet unrecorded = (BitSet) job.finishedTasks.clone();
        unrecorded.andNot(job.recordedTasks);
        for (int i = unrecorded.nextSetBit(0); i >= 0; i = unrecorded.nextSetBit((i / pageTasks + 1) * pageTasks)) {
            job.dirtyPages.set(i / pageTasks);
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

    /** The keys whose values must be read before their jobs are written again: the outcome is not known. */
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

    /** A value as read back after a write without a certain outcome; {@code ledger} null if there is none. */
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
     * The store does not take what the batch writes, most likely since its limits fell: its jobs go on without being
     * written for a while, so that neither the other jobs nor the leader's lease depend on them.
     */
    void writeRejected(WriteBatch batch, long nowMicros) {
        for (JobWrite write : batch.jobWrites()) {
            write.job().nextWriteMicros = nowMicros + REJECTED_BACKOFF_MICROS;
            write.job().ledgerFull |= !write.job().machinesToRecord.isEmpty();
        }
        batch.cancelledByDependency().forEach(dependencyCancellations::remove);
    }

    /** Every value of the batch was read back, or none was written: its jobs may be written again. */
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
     * The batch was certainly not executed, since these keys are not as they were known; whatever else it names still
     * is. The others of its jobs may be written again at once, without those that the keys belong to.
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

    /** A key that a batch was refused for has been read back; its job is written again when all of them are. */
    void keyReadBack(String key, long nowMicros) {
        if (conflictedKeys.remove(key)) {
            Job job = jobs.get(StoreKeys.jobIdOf(key));
            if (job != null) {
                writeResolved(job, nowMicros);
            }
        }
    }
}
