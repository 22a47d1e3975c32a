package io.micatide.scheduler;

import io.micatide.jobs.JobMemoryUsage;
import io.micatide.model.Hint;
import io.micatide.model.MachineType;
import io.micatide.model.TermAnnouncement;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rebuilds the state of the previous leader after a failover: waits for the machines that the ledgers name, applies hints, and keeps the jobs that
 * were cancelled while there was no leader.
 *
 * <p>Invariant: a machine that a ledger names is awaited until it sends a heartbeat under this term or its deletion is confirmed. Only then do the
 * ledgers stop naming it on behalf of the previous leader, and tasks of these jobs that no heartbeat listed may be started on other machines.
 */
final class FailoverRecovery {
    /** A larger record of a cancelled job is reduced to the fields that placement needs. */
    private static final int MAX_KEPT_RECORD_BYTES = 4_096;

    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final PlacementTable placements;
    private final FailoverProgress progress;
    private final Hints hints = new Hints();
    /** Records of jobs that were cancelled before this term, by job id. */
    private final Map<String, StoredRecord.JobRecord> cancelledBeforeTerm = new HashMap<>();

    private boolean loading = true;
    private boolean hasFoundLedgers;

    FailoverRecovery(ClusterState cluster, FailoverProgress progress) {
        this.fleet = cluster.fleet();
        this.ledgers = cluster.ledgers();
        this.placements = cluster.placements();
        this.progress = progress;
    }

    /** Returns whether the stored records are still being read. */
    boolean isLoading() {
        return loading;
    }

    /** Returns whether a ledger was stored when the term began. Without any ledger no task was running. */
    boolean hasFoundLedgers() {
        return hasFoundLedgers;
    }

    /**
     * Keeps what is needed of a job that was cancelled before this term and whose tasks may still run. It is kept for the whole term, in which
     * the job itself may be archived.
     */
    void jobCancelledBeforeTerm(String id, StoredRecord.JobRecord record) {
        cancelledBeforeTerm.put(
                id,
                JobMemoryUsage.estimateBytes(id, record) <= MAX_KEPT_RECORD_BYTES
                        ? record
                        : new StoredRecord.JobRecord(
                                record.state(),
                                record.spec().withPlacementFieldsOnly(),
                                record.submittedWall(),
                                record.taskCount()));
    }

    /**
     * Loads a ledger of a previous leader. A ledger without an open job belongs to a job that was cancelled while there was no leader: its tasks may
     * still run, must be stopped, and count towards the usage of their team until then. Of completed jobs only pages after the first can be left in
     * the store.
     *
     * @return whether the ledger belongs to a job; if not, it must be deleted
     */
    boolean ledgerLoaded(String key, StoredRecord.Ledger ledger, long version, long nowMicros) {
        String id = StoreKeys.jobIdOf(key);
        hasFoundLedgers = true;
        if (ledgers.get(id) == null) {
            addCancelledBeforeTerm(id, nowMicros);
        }
        return ledgers.loadLedger(key, ledger, version);
    }

    /**
     * Adds a job that was cancelled before this term, so that its remaining tasks count towards the usage of its team like all others. The job has no
     * ledger if a previous version of the program deleted the ledger too early.
     *
     * @return the job, or null if no job of this id was cancelled before this term
     */
    Job addCancelledBeforeTerm(String id, long nowMicros) {
        StoredRecord.JobRecord record = cancelledBeforeTerm.get(id);
        if (record == null) {
            return null;
        }
        Job job = ledgers.addJob(record.spec(), 0, record.submittedWall(), nowMicros, nowMicros);
        job.cancelled = true;
        return job;
    }

    /**
     * Completes the load after all records have been read: adds the machines that the ledgers name to the fleet as awaited, and applies the hints.
     */
    void allRecordsLoaded(long nowMicros) {
        loading = false;
        for (Job job : ledgers.jobs()) {
            for (String name : job.unreconciledMachines) {
                fleet.getOrAdd(name, nowMicros).isAwaitedAfterFailover = true;
            }
            placements.markLedgerDirtyIfStopped(job, nowMicros);
        }
        applyHints(nowMicros);
        progress.stateLoaded(
                (int) fleet.machines().stream()
                        .filter(machine -> machine.isAwaitedAfterFailover)
                        .count(),
                nowMicros);
    }

    /** Marks the machine as reconciled: it sent a heartbeat under this term, so no start of a previous leader can take effect on it. */
    void markReconciled(Machine machine, long nowMicros) {
        machine.isReconciled = true;
        if (machine.isAwaitedAfterFailover) {
            machine.isAwaitedAfterFailover = false;
            progress.machineReconciled(nowMicros);
        }
        applyHint(machine, nowMicros);
        reconcileLedgers(machine.name, nowMicros);
    }

    /** Counts an awaited machine as reconciled when its deletion is confirmed. */
    void machineDeleted(Machine machine, long nowMicros) {
        if (machine.isAwaitedAfterFailover) {
            progress.machineReconciled(nowMicros);
        }
    }

    /** Releases the jobs that waited for the machine, on which no start of a previous leader can take effect any more. */
    void reconcileLedgers(String machineName, long nowMicros) {
        // Marks only jobs that wait for no further machine: rewriting a ledger for each of its machines
        // used up the write rate for seconds.
        for (Job job : ledgers.reconcileMachine(machineName)) {
            placements.markLedgerDirtyIfStopped(job, nowMicros);
            ledgers.markDirty(job, nowMicros);
        }
    }

    /**
     * Adds hints of a previous leader and applies them once all records have been read.
     *
     * @param isStored whether the hints come from the store; these are older than the hints sent to a standby and don't replace them
     */
    void hintsReceived(List<Hint> previousHints, boolean isStored, RuntimeEstimator runtimeEstimator, long nowMicros) {
        hints.add(previousHints, isStored, runtimeEstimator);
        if (!loading) {
            applyHints(nowMicros);
        }
    }

    private void applyHints(long nowMicros) {
        ledgers.jobs().forEach(hints::apply);
        for (Machine machine : fleet.machines()) {
            machine.deletionRequested |= machine.isAwaitedAfterFailover && hints.wasDeleted(machine.name);
            if (machine.isReconciled) {
                applyHint(machine, nowMicros);
            }
        }
    }

    private void applyHint(Machine machine, long nowMicros) {
        MachineType type = fleet.typeOf(machine);
        if (type != null) {
            hints.apply(machine, type.cacheGb(), nowMicros);
        }
    }

    /**
     * Returns announcements of the term to awaited machines that have not sent a heartbeat to this leader, at most one for each machine. The hints of
     * the previous leader hold their addresses; machines without a known address find the new leader on their own.
     *
     * @param limit maximum number of announcements
     */
    List<TermAnnouncement> nextAnnouncements(int limit) {
        List<TermAnnouncement> result = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (result.size() >= limit) {
                break;
            }
            if (machine.isAwaitedAfterFailover
                    && !machine.wasAnnounced
                    && !machine.deletionRequested
                    && machine.lastHeartbeatMicros < 0) {
                machine.wasAnnounced = true;
                TermAnnouncement announcement = hints.announcementFor(machine.name);
                if (announcement != null) {
                    result.add(announcement);
                }
            }
        }
        return result;
    }
}
