package io.micatide.scheduler;

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
 * How a leader gets back what the leader before it knew: it waits for the machines that the ledgers name, applies hints, and knows the jobs that were
 * cancelled while nobody led.
 *
 * <p>Invariant: a machine that a ledger names is awaited until it reports under this term or its deletion is answered. Only then do the ledgers cease to
 * name it for the leader before, and the tasks of these jobs that nobody reported may be started elsewhere.
 */
final class FailoverRecovery {
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final PlacementTable placements;
    private final FailoverProgress progress;
    private final Hints hints = new Hints();
    /** Records of jobs that were cancelled before this term, by job. */
    private final Map<String, StoredRecord.JobRecord> cancelledBeforeTerm = new HashMap<>();

    private boolean loading = true;
    private boolean hasFoundLedgers;

    FailoverRecovery(ClusterState cluster, FailoverProgress progress) {
        this.fleet = cluster.fleet();
        this.ledgers = cluster.ledgers();
        this.placements = cluster.placements();
        this.progress = progress;
    }

    /** Whether stored records are still being read. */
    boolean isLoading() {
        return loading;
    }

    /** Whether a ledger was stored when the term began: without any, nothing was running. */
    boolean hasFoundLedgers() {
        return hasFoundLedgers;
    }

    /** The job was cancelled before this term; its tasks may still run. */
    void jobCancelledBeforeTerm(String id, StoredRecord.JobRecord record) {
        cancelledBeforeTerm.put(id, record);
    }

    /**
     * A ledger without an open job belongs to one that was cancelled while nobody led: its tasks may still run, have to be stopped and count for their
     * team until then. Of completed jobs only further pages can be left.
     *
     * @return whether it belongs to a job; otherwise it is to be deleted
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
     * Adds a job that was cancelled before this term, so that what is found of it counts for its team like anything else. It has no ledger if a former
     * version removed that too early.
     *
     * @return the job, or null if no such job was cancelled
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

    /** All records are read: machines that the ledgers name are known of from here on. */
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

    /** The machine has reported under this term: no start of an earlier leader can land on it any more. */
    void markReconciled(Machine machine, long nowMicros) {
        machine.isReconciled = true;
        if (machine.isAwaitedAfterFailover) {
            machine.isAwaitedAfterFailover = false;
            progress.machineReconciled(nowMicros);
        }
        applyHint(machine, nowMicros);
        reconcileLedgers(machine.name, nowMicros);
    }

    /** The deletion of the machine is answered: it is not waited for any longer. */
    void machineDeleted(Machine machine, long nowMicros) {
        if (machine.isAwaitedAfterFailover) {
            progress.machineReconciled(nowMicros);
        }
    }

    /** Nothing that an earlier leader sent can appear on this machine any more. */
    void reconcileLedgers(String machineName, long nowMicros) {
        // Only of jobs that wait for no other machine. Written anew at each of them, all ledgers together took the
        // write
        // rate for seconds.
        for (Job job : ledgers.reconcileMachine(machineName)) {
            placements.markLedgerDirtyIfStopped(job, nowMicros);
            ledgers.markDirty(job, nowMicros);
        }
    }

    /**
     * What an earlier leader had learned.
     *
     * @param isStored whether it comes from the store: older than what a standby was sent, which it leaves as it is
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
     * Announcements of the term to machines that jobs wait for and that have not reported to this leader, each once. The leader before told where they are;
     * the others come by themselves, and are not waited for here.
     *
     * @param limit how many at most
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
