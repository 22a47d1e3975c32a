package io.micatide.scheduler;

import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.scheduler.WriteBatch.JobWrite;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the open jobs that the next batch writes: first jobs on which others depend, then jobs that start or end, then
 * finished tasks. Each job is in at most one batch at a time.
 */
final class WriteBatchPlanner {
    /** Time for which finished tasks of a job are collected before they are written. */
    private static final long MAX_BATCHING_DELAY_MICROS = Micros.SECOND;

    private final Settings settings;
    private final OpenJobs jobs;
    private final LedgerPages ledgerPages;
    private boolean checkedAgainstArchive;

    /** The order in which jobs are written. */
    private enum WritePriority {
        UNBLOCKS_DEPENDENTS,
        STARTS_OR_ENDS,
        FINISHED_TASKS;

        private static final List<WritePriority> ORDER = List.of(values());

        static WritePriority of(Job job) {
            if (job.hasDependents && job.allFinished() && !job.cancelled) {
                return UNBLOCKS_DEPENDENTS;
            }
            return !job.machinesToRecord.isEmpty() || job.allFinished() || job.cancelled
                    ? STARTS_OR_ENDS
                    : FINISHED_TASKS;
        }
    }

    WriteBatchPlanner(Settings settings, OpenJobs jobs, LedgerPages ledgerPages) {
        this.settings = settings;
        this.jobs = jobs;
        this.ledgerPages = ledgerPages;
    }

    /** Marks the records written from now on as checked against the archive. */
    void archiveEnabled() {
        checkedAgainstArchive = true;
    }

    boolean isCheckedAgainstArchive() {
        return checkedAgainstArchive;
    }

    /**
     * Adds the writes of open jobs that are due to the batch.
     *
     * @param batch the batch to be added to
     * @param nowMicros current time on the steady clock
     * @param wallMicros the time of day, which the records of completed jobs keep
     * @param limits the numbers of writes that the rate limit of the store allows
     * @param candidates source of machines to name in advance, so that later starts need not wait for a write
     */
    void addJobs(
            WriteBatchBuilder batch,
            long nowMicros,
            long wallMicros,
            WriteBatch.Limits limits,
            LedgerPages.CandidateMachineSource candidates) {
        int maxWrites = Math.min(limits.maxWrites(), settings.maxTransactionWrites());
        List<Job> writable = jobs.writableJobs();
        for (WritePriority priority : WritePriority.ORDER) {
            int maxLedgerWrites = priority == WritePriority.FINISHED_TASKS ? limits.maxDeferrableWrites() : maxWrites;
            for (Job job : writable) {
                if (WritePriority.of(job) != priority || !isDue(job, priority, nowMicros)) {
                    continue;
                }
                if (job.allFinished() || job.cancelled) {
                    addJobEnd(batch, job, maxWrites, wallMicros);
                } else {
                    addLedger(batch, job, maxLedgerWrites, candidates);
                }
            }
        }
    }

    private static boolean isDue(Job job, WritePriority priority, long nowMicros) {
        return !job.writeInFlight
                && nowMicros >= job.nextWriteMicros
                && (priority != WritePriority.FINISHED_TASKS
                        || nowMicros - job.dirtySinceMicros >= MAX_BATCHING_DELAY_MICROS);
    }

    private void addLedger(
            WriteBatchBuilder batch, Job job, int maxWrites, LedgerPages.CandidateMachineSource candidates) {
        LedgerPages.Composition pages = ledgerPages.compose(job, maxWrites - batch.writeCount(), candidates);
        if (pages instanceof LedgerPages.Unchanged) {
            jobs.markClean(job);
        } else if (pages instanceof LedgerPages.PageUpdate update && batch.fits(update.estimatedBytes())) {
            batch.addLedgerUpdate(update);
        }
    }

    /** Adds the end of a job: of one that is done, or of a cancelled one of which no task can be on a machine. */
    private void addJobEnd(WriteBatchBuilder batch, Job job, int maxWrites, long wallMicros) {
        List<Integer> pages = new ArrayList<>(job.pageVersions.keySet());
        while (pages.size() + 1 > settings.maxTransactionWrites()) {
            // The remaining pages are deleted by the next leader, which finds them without an open job.
            pages.remove(pages.size() - 1);
        }
        // In a batch without other writes the job may exceed the limit, because otherwise it could never end.
        if (!batch.isEmpty() && batch.writeCount() + pages.size() + 1 > maxWrites) {
            return;
        }
        if (job.cancelled && pages.isEmpty()) {
            jobs.remove(job);
            return;
        }
        batch.addJobEnd(
                new JobWrite(job, true, Set.of(), pages, Map.of()), job.cancelled ? null : doneRecord(job, wallMicros));
    }

    private StoredRecord.JobRecord doneRecord(Job job, long wallMicros) {
        return new StoredRecord.JobRecord(
                JobState.DONE, null, job.submittedWall, job.spec.taskCount(), wallMicros, 0, checkedAgainstArchive);
    }
}
