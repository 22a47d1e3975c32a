package io.micatide.scheduler;

import io.micatide.jobs.JobCache;
import io.micatide.model.JobState;
import io.micatide.store.StoredRecord;

/**
 * Reconciles the open jobs with their records in the store.
 *
 * <p>Invariants: a job is open here exactly while its record is open and all of its dependencies are finished. A cancelled job stays until none of
 * its tasks can be on a machine; no task of it is started, and its existing tasks are stopped.
 */
final class JobReconciler {
    private final JobLedgers ledgers;
    private final PlacementTable placements;
    private final DagInheritance dagInheritance;
    private final FailoverRecovery recovery;
    private final JobOutcomes jobOutcomes;

    JobReconciler(
            ClusterState cluster, DagInheritance dagInheritance, FailoverRecovery recovery, JobOutcomes jobOutcomes) {
        this.ledgers = cluster.ledgers();
        this.placements = cluster.placements();
        this.dagInheritance = dagInheritance;
        this.recovery = recovery;
        this.jobOutcomes = jobOutcomes;
    }

    /**
     * Applies a job after its record was read or its dependencies changed.
     *
     * @param wallMicros time of day, used only for the ages of jobs
     * @param nowMicros current time on the steady clock
     */
    void jobChanged(JobCache.View view, long wallMicros, long nowMicros) {
        String id = view.id();
        StoredRecord.JobRecord record = view.record();
        long submittedMicros = nowMicros - Math.max(0, wallMicros - record.submittedWall());
        if (view.state() == JobState.OPEN && view.hasUnfinishedDependencies()) {
            dagInheritance.addWaitingJob(record.spec(), view.version(), submittedMicros);
            return;
        }
        dagInheritance.removeWaitingJob(id);
        if (record.state() == JobState.OPEN && view.state() == JobState.CANCELLED) {
            ledgers.addDependencyCancellation(id, record, view.version());
            return;
        }
        ledgers.removeDependencyCancellation(id);
        if (record.state() == JobState.OPEN) {
            long readyMicros = nowMicros - Math.max(0, wallMicros - view.readyWall());
            applyOpenRecord(view, submittedMicros, readyMicros);
        } else {
            applyFinalRecord(id, record, nowMicros);
        }
    }

    private void applyOpenRecord(JobCache.View view, long submittedMicros, long readyMicros) {
        Job job = ledgers.get(view.id());
        if (job != null) {
            job.version = view.version();
            return;
        }
        StoredRecord.JobRecord record = view.record();
        ledgers.addJob(record.spec(), view.version(), record.submittedWall(), submittedMicros, readyMicros);
        dagInheritance.openJobAdded();
    }

    private void applyFinalRecord(String id, StoredRecord.JobRecord record, long nowMicros) {
        Job job = ledgers.get(id);
        boolean isCancelled = record.state() == JobState.CANCELLED;
        if (job == null) {
            if (recovery.isLoading() && isCancelled && record.spec() != null) {
                recovery.jobCancelledBeforeTerm(id, record);
            }
        } else if (!job.cancelled) {
            if (isCancelled) {
                cancel(job, nowMicros);
            } else if (!job.writeInFlight) {
                // Only a leader writes completions, so this was written by this leader, and the response
                // was lost or is still outstanding.
                ledgers.removeJob(job);
            }
        }
    }

    private void cancel(Job job, long nowMicros) {
        job.cancelled = true;
        placements.removeOrStopAll(job, 0, nowMicros);
        placements.markLedgerDirtyIfStopped(job, nowMicros);
    }

    /**
     * Applies the record of a job that was read back after a write of unknown outcome: completed by this leader, cancelled, or still open.
     *
     * @param version version of the record
     */
    void jobReadBack(String id, StoredRecord.JobRecord record, long version, long nowMicros) {
        Job job = ledgers.get(id);
        if (job != null && record.state() == JobState.DONE) {
            ledgers.removeJob(job);
            jobOutcomes.finalRecordStored(id, record, version);
        } else if (job != null && record.state() == JobState.CANCELLED && !job.cancelled) {
            cancel(job, nowMicros);
        } else if (job != null) {
            job.version = version;
        } else if (record.state() == JobState.CANCELLED) {
            ledgers.removeDependencyCancellation(id);
        }
    }
}
