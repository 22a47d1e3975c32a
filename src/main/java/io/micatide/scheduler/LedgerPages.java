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
 * Composes the ledger pages of an open job: which finished ranges and machine names their values hold. The first page
 * names the machines; it and the further pages hold the finished tasks. What was recorded once stays recorded.
 */
final class LedgerPages {
    /** One job in many ranges fills this much of a batch; the rest of its pages goes with the next one. */
    private static final int MAX_JOB_LEDGER_BYTES = WriteBatchBuilder.MAX_BYTES / 2;

    private final LedgerFormat format;
    private final LedgerMachines ledgerMachines;

    LedgerPages(LedgerFormat format, LedgerMachines ledgerMachines) {
        this.format = format;
        this.ledgerMachines = ledgerMachines;
    }

    /** Says on which further machines a job is likely to run, so that its ledger can name them in advance. */
    @FunctionalInterface
    interface CandidateMachineSource {
        List<String> machines(Job job, int max);
    }

    /** What there is to write of a job's pages. */
    sealed interface Composition {}

    /** New values of some pages. */
    record PageUpdate(JobWrite jobWrite, List<Transaction.Write> writes, int estimatedBytes) implements Composition {}

    /** The batch has no room for the job, or its ledger cannot be written as it is: later. */
    record Deferred() implements Composition {}

    /** The stored pages say all that there is to say. */
    record Unchanged() implements Composition {}

    /**
     * Composes the pages that changed.
     *
     * @param maxPages how many pages the batch still has room for; not positive for none
     */
    Composition compose(Job job, int maxPages, CandidateMachineSource candidates) {
        Set<String> machines = ledgerMachines.requiredMachines(job);
        BitSet firstPage = finishedTasksOfPage(job, 0, format.firstPageRangeBytes(format.encodedBytes(machines)));
        if (firstPage != null && maxPages <= 0) {
            // Known before its machines are named: with hundreds of jobs to write, naming thousands for each of those
            // that a full batch leaves over took most of a leader's processor.
            return new Deferred();
        }
        if (firstPage != null) {
            addCandidateMachines(job, machines, firstPage, candidates);
        } else {
            // What an earlier leader wrote under a larger limit no longer fits. It gets smaller as machines are
            // reconciled and tasks end; until then further machines cannot be named.
            machines = new HashSet<>(job.ledgerMachines);
            job.ledgerFull |= !job.machinesToRecord.isEmpty();
        }
        List<Integer> pages = changedPages(job, firstPage != null, maxPages);
        if (pages.isEmpty() || pages.size() > maxPages) {
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

    /** The first page if it can be written, then further pages with news, cut to what the batch has room for. */
    private static List<Integer> changedPages(Job job, boolean withFirstPage, int maxPages) {
        List<Integer> pages = new ArrayList<>();
        if (withFirstPage) {
            pages.add(0);
        }
        for (int page = job.dirtyPages.nextSetBit(1); page >= 0; page = job.dirtyPages.nextSetBit(page + 1)) {
            pages.add(page);
        }
        while (pages.size() > maxPages && pages.size() > 1) {
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
                // What has no room in a value stays with the workers, who report it until it is recorded.
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

    /** The finished tasks that a page can hold in so many bytes, or null if not even the recorded ones fit. */
    private BitSet finishedTasksOfPage(Job job, int page, int maxBytes) {
        int pageTasks = format.pageTasks();
        return TaskRanges.truncateToLength(
                job.finishedTasks, job.recordedTasks, page * pageTasks, (page + 1) * pageTasks, maxBytes);
    }

    /** Whether the page would say only what it says already; not so of the first before it was ever written. */
    private static boolean isAlreadyStored(Job job, int page, BitSet finished, Set<String> machines) {
        BitSet unrecorded = (BitSet) finished.clone();
        unrecorded.andNot(job.recordedTasks);
        return unrecorded.isEmpty()
                && (page > 0
                        || (job.pageVersions.containsKey(0)
                                && job.machinesToRecord.isEmpty()
                                && job.ledgerMachines.equals(machines)));
    }
}
