package io.micatide.scheduler;

import io.micatide.scheduler.WriteBatch.JobWrite;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.TaskRanges;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Composes the ledger pages of an open job. The first page names machines and holds finished tasks; the further pages
 * hold finished tasks only.
 *
 * <p>Invariant: a finished task that was recorded once stays recorded in every later value of its page.
 */
final class LedgerPages {
    /** Bytes of one batch that a job with many finished ranges may use; its other pages go with a later batch. */
    private static final int MAX_JOB_LEDGER_BYTES = WriteBatchBuilder.MAX_BYTES / 2;

    private final LedgerFormat format;
    private final LedgerMachines ledgerMachines;

    LedgerPages(LedgerFormat format, LedgerMachines ledgerMachines) {
        this.format = format;
        this.ledgerMachines = ledgerMachines;
    }

    /** Predicts on which further machines a job will run, so that its ledger can name them in advance. */
    @FunctionalInterface
    interface CandidateMachineSource {
        /** Returns the names of at most {@code limit} machines. They are added to the ledger in this order while they fit. */
        List<String> machines(Job job, int limit);
    }

    /** Result of composing the pages of a job. */
    sealed interface Composition {}

    /** New values of some pages, with their estimated size in a transaction. */
    record PageUpdate(JobWrite jobWrite, List<Transaction.Write> writes, int estimatedBytes) implements Composition {}

    /** The job must be written later: the batch has no writes left, or the ledger cannot be written in its current state. */
    record Deferred() implements Composition {}

    /** The stored pages are up to date. */
    record Unchanged() implements Composition {}

    /**
     * Composes the pages that changed.
     *
     * @param pageLimit number of pages that still fit into the batch; none if not positive
     */
    Composition compose(Job job, int pageLimit, CandidateMachineSource candidates) {
        Set<String> machines = ledgerMachines.requiredMachines(job);
        BitSet firstPage = finishedTasksOfPage(job, 0, format.firstPageRangeBytes(format.encodedBytes(machines)));
        if (firstPage != null && pageLimit <= 0) {
            // Checked before the candidates are collected: with hundreds of jobs to write, collecting thousands of
            // names for each job that does not fit into a full batch took most of a leader's CPU time.
            return new Deferred();
        }
        if (firstPage != null) {
            addCandidateMachines(job, machines, firstPage, candidates);
        } else {
            // The ledger was written by a previous leader under a larger limit and no longer fits. It shrinks as
            // machines are reconciled and tasks end; until then it cannot name further machines.
            machines = new HashSet<>(job.ledgerMachines);
            job.ledgerFull |= !job.machinesToRecord.isEmpty();
        }
        List<Integer> pages = changedPages(job, firstPage != null, pageLimit);
        if (pages.isEmpty() || pages.size() > pageLimit) {
            return new Deferred();
        }
        return composePages(job, pages, firstPage, machines);
    }

    private void addCandidateMachines(
            Job job, Set<String> machines, BitSet firstPage, CandidateMachineSource candidates) {
        int rangeBytes = TaskRanges.format(firstPage, 0, format.pageTasks()).length();
        ledgerMachines.addCandidates(
                machines,
                candidates.machines(job, format.maxCandidateMachines()),
                Math.min(format.maxNameBytes(), format.contentBytes() - rangeBytes));
    }

    /** Lists the first page if it can be written, then the dirty further pages, at most as many as fit into the batch. */
    private static List<Integer> changedPages(Job job, boolean withFirstPage, int pageLimit) {
        List<Integer> pages = new ArrayList<>();
        if (withFirstPage) {
            pages.add(0);
        }
        for (int page = job.dirtyPages.nextSetBit(1); page >= 0; page = job.dirtyPages.nextSetBit(page + 1)) {
            pages.add(page);
        }
        while (pages.size() > pageLimit && pages.size() > 1) {
            pages.remove(pages.size() - 1);
        }
        return pages;
    }

    private Composition composePages(Job job, List<Integer> pages, BitSet firstPage, Set<String> machines) {
        List<Integer> writtenPages = new ArrayList<>();
        Map<Integer, BitSet> finishedTasks = new HashMap<>();
        List<Transaction.Write> writes = new ArrayList<>();
        int bytes = 0;
        for (int page : pages) {
            BitSet finished = page == 0 ? firstPage : finishedTasksOfPage(job, page, format.contentBytes());
            if (finished == null) {
                // Finished tasks that do not fit into a value are reported by the workers until they are recorded.
                continue;
            }
            StoredRecord.Ledger ledger = ledger(job, page, finished, machines);
            if ((page > 0 && bytes + ledger.finishedTasks().length() > MAX_JOB_LEDGER_BYTES)
                    || isAlreadyStored(job, page, finished, machines)) {
                continue;
            }
            writtenPages.add(page);
            finishedTasks.put(page, finished);
            writes.add(new Transaction.Write(StoreKeys.ledger(job.id(), page), ledger, 0));
            bytes += WriteBatchBuilder.estimatedBytes(ledger);
        }
        return writtenPages.isEmpty()
                ? new Unchanged()
                : new PageUpdate(new JobWrite(job, false, machines, writtenPages, finishedTasks), writes, bytes);
    }

    private StoredRecord.Ledger ledger(Job job, int page, BitSet finished, Set<String> machines) {
        int pageTasks = format.pageTasks();
        String ranges = TaskRanges.format(finished, page * pageTasks, (page + 1) * pageTasks);
        return page == 0
                ? new StoredRecord.Ledger(List.copyOf(machines), job.gangAttempt, ranges, format.compressesNames())
                : new StoredRecord.Ledger(List.of(), 0, ranges, false);
    }

    /** Returns the finished tasks that a page can hold in {@code maxBytes}, or null if not even the recorded ones fit. */
    private BitSet finishedTasksOfPage(Job job, int page, int maxBytes) {
        int pageTasks = format.pageTasks();
        return TaskRanges.truncateToLength(
                job.finishedTasks, job.recordedTasks, page * pageTasks, (page + 1) * pageTasks, maxBytes);
    }

    /** Returns whether the stored page has this content already; false for a first page that was never written. */
    private static boolean isAlreadyStored(Job job, int page, BitSet finished, Set<String> machines) {
        BitSet unrecordedTasks = (BitSet) finished.clone();
        unrecordedTasks.andNot(job.recordedTasks);
        return unrecordedTasks.isEmpty()
                && (page > 0
                        || (job.pageVersions.containsKey(0)
                                && job.machinesToRecord.isEmpty()
                                && job.ledgerMachines.equals(machines)));
    }
}
