package io.micatide.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Settings;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.TaskRanges;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JobLedgersTest {
    /** Returns the next batch, or null if there is nothing to write; {@code candidates} may be named in advance. */
    private static WriteBatch nextBatch(
            JobLedgers ledgers, long nowMicros, int maxWrites, int maxDeferrableWrites, List<String> candidates) {
        return ledgers.nextWriteBatch(
                        nowMicros,
                        nowMicros,
                        new WriteBatch.Limits(maxWrites, maxDeferrableWrites),
                        WriteBatch.AdditionalWrites.NONE,
                        (job, max) -> candidates)
                .orElse(null);
    }

    private static List<Job> jobsOf(WriteBatch batch) {
        return batch.jobWrites().stream().map(WriteBatch.JobWrite::job).toList();
    }

    private static Job addJob(JobLedgers ledgers, String id, int tasks) {
        return ledgers.addJob(SchedulerHarness.job(id, JobKind.ARRAY, "blue", Priority.NORMAL, tasks, 5), 7, 0, 0, 0);
    }

    /** Every n-th task of a job is finished: its batches respect the limits, and the next leader reads the same tasks. */
    @ParameterizedTest
    @CsvSource({
        "10, 1, 16384",
        "5000, 3, 16384",
        "100000, 1, 16384",
        "100000, 2, 16384",
        "100000, 7, 16384",
        "5000, 1, 2048",
        "5000, 2, 2048",
        "100000, 3, 2048",
        "100000, 100, 2048"
    })
    void largeFragmentedJobsKeepTheLimits(int tasks, int step, int bytes) {
        Settings settings = new SchedulerHarness(1, 0, bytes, 16).settings;
        JobLedgers ledgers = new JobLedgers(settings, 5);
        JobSpec spec = SchedulerHarness.job("wk-1", JobKind.ARRAY, "blue", Priority.NORMAL, tasks, 5);
        Job job = ledgers.addJob(spec, 7, 0, 0, 0);
        for (int i = 0; i < tasks - 1; i += step) {
            ledgers.markTaskFinished(job, i, 0);
        }
        Map<String, StoredRecord.Ledger> stored = new HashMap<>();
        int batches = 0;
        for (long now = 10 * Micros.SECOND; ; now += 10 * Micros.SECOND) {
            WriteBatch batch = nextBatch(
                    ledgers, now, settings.maxTransactionWrites(), settings.maxTransactionWrites(), List.of());
            if (batch == null) {
                break;
            }
            assertTrue(++batches < 200, "still writing after 200 batches");
            int estimatedBytes = 0;
            for (Transaction.Write write : batch.transaction().writes()) {
                StoredRecord.Ledger ledger = (StoredRecord.Ledger) write.record();
                assertTrue(ledger.finishedTasks().length() < settings.maxValueBytes() * 5 / 8, write.key());
                assertTrue(StoreCodec.encodedBytes(ledger) <= bytes, write.key());
                estimatedBytes += ledger.finishedTasks().length() + 200;
                stored.put(write.key(), ledger);
            }
            assertTrue(estimatedBytes < 60_000, "a transaction of " + estimatedBytes + " bytes");
            assertTrue(batch.transaction().writes().size() <= settings.maxTransactionWrites());
            assertTrue(batch.transaction().conditions().size() <= 4 * settings.maxTransactionWrites());
            ledgers.writeConfirmed(batch, 100 + batches, now);
        }
        BitSet recorded = (BitSet) job.recordedTasks.clone();
        recorded.andNot(job.finishedTasks);
        assertTrue(recorded.isEmpty());
        if (bytes == settings.maxValueBytes()) {
            assertEquals(job.finishedTasks, job.recordedTasks);
        } else {
            // Tasks that fit are recorded once and not written again. Workers keep reporting the others.
            assertTrue(
                    job.recordedTasks.cardinality() > Math.min(tasks / step - 2, 300),
                    "recorded: " + job.recordedTasks.cardinality());
        }
        JobLedgers nextLeaderLedgers = new JobLedgers(settings, 900);
        Job loadedJob = nextLeaderLedgers.addJob(spec, 7, 0, 0, 0);
        stored.forEach((key, ledger) -> assertTrue(nextLeaderLedgers.loadLedger(key, ledger, 1)));
        assertEquals(job.recordedTasks, loadedJob.finishedTasks);
    }

    /**
     * Failover after the limits were lowered, of a job whose ledger a previous leader wrote under larger limits: it names
     * more machines than fit now, and its finished tasks are fragmented. No machine is dropped before it is reconciled, no
     * batch exceeds the new limits, writing comes to an end, and the job can be completed.
     */
    @ParameterizedTest
    @CsvSource({
        // tasks, every n-th finished before, machines in the previous ledger, writes per transaction, compressed names
        "350, 2, 250, 5, false",
        "3000, 2, 219, 5, false",
        "100000, 3, 40, 5, false",
        "3000, 2, 0, 10, false",
        "350, 2, 250, 5, true",
        "3000, 2, 500, 5, true",
        "100000, 3, 40, 5, true",
    })
    void ledgersWrittenUnderLargerLimitsAreTakenOver(
            int tasks, int step, int machines, int maxWrites, boolean compressed) {
        Settings settings = new SchedulerHarness(1, 0, 2048, maxWrites).settings;
        JobLedgers ledgers = new JobLedgers(settings, 900);
        ledgers.layoutMarked(compressed ? 44 : 0, ledgers.pageTasks());
        Job job = addJob(ledgers, "wk-1", tasks);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            names.add(String.format("i-%06d", i));
        }
        BitSet previouslyFinished = new BitSet();
        for (int i = 0; i < tasks; i += step) {
            previouslyFinished.set(i);
        }
        int pageTasks = settings.pageTasks();
        for (int page = 0; page * pageTasks < tasks; page++) {
            assertTrue(ledgers.loadLedger(
                    StoreKeys.ledger("wk-1", page),
                    new StoredRecord.Ledger(
                            page == 0 ? names : List.of(),
                            0,
                            TaskRanges.format(previouslyFinished, page * pageTasks, (page + 1) * pageTasks)),
                    5));
        }
        assertEquals(previouslyFinished, job.recordedTasks);
        int written = 0;
        int idle = 0;
        for (int second = 1; second < 400 && idle < 20; second++) {
            long now = second * Micros.SECOND;
            // Machines are reconciled one by one, and scattered tasks finish.
            if (second % 2 == 0 && !job.unreconciledMachines.isEmpty()) {
                job.unreconciledMachines.remove(
                        job.unreconciledMachines.iterator().next());
                ledgers.markDirty(job, now);
            }
            if (second < 200) {
                ledgers.markTaskFinished(job, (second * 7919) % tasks, now);
            }
            WriteBatch batch = nextBatch(
                    ledgers, now, settings.maxTransactionWrites(), settings.maxTransactionWrites() - 2, names);
            idle = batch == null ? idle + 1 : 0;
            if (batch == null) {
                continue;
            }
            written++;
            assertTrue(batch.transaction().writes().size() <= maxWrites);
            assertTrue(batch.transaction().conditions().size() <= 4 * maxWrites);
            for (Transaction.Write write : batch.transaction().writes()) {
                assertTrue(StoreCodec.encodedBytes(write.record()) <= 2048, write.key());
                if (write.key().equals(StoreKeys.ledger("wk-1", 0))) {
                    assertTrue(((StoredRecord.Ledger) write.record()).machines().containsAll(job.unreconciledMachines));
                    // Compressed names are written on condition of the layout record: every controller can read them.
                    assertEquals(compressed, ((StoredRecord.Ledger) write.record()).compressedNames());
                    assertEquals(
                            compressed,
                            batch.transaction().conditions().contains(new Transaction.Condition(StoreKeys.LAYOUT, 44)));
                }
            }
            ledgers.writeConfirmed(batch, 1000 + second, now);
            BitSet dropped = (BitSet) previouslyFinished.clone();
            dropped.andNot(job.recordedTasks);
            assertTrue(dropped.isEmpty(), "a recorded task was dropped from the ledger");
        }
        assertTrue(idle >= 20, "the ledger is still rewritten, batches: " + written);
        for (int i = 0; i < tasks; i++) {
            ledgers.markTaskFinished(job, i, 500 * Micros.SECOND);
        }
        WriteBatch last = nextBatch(ledgers, 510 * Micros.SECOND, maxWrites, maxWrites, List.of());
        assertTrue(last.transaction().writes().get(0).record() instanceof StoredRecord.JobRecord jobRecord
                && jobRecord.state() == JobState.DONE);
        assertTrue(last.transaction().writes().size() <= maxWrites);
    }

    /** A job is placed on no more machines than its ledger can name within the value limit. */
    @ParameterizedTest
    @CsvSource({
        "2048, 112, 1, false",
        "16384, 927, 1, false",
        "2048, 1000, 1, true",
        "2048, 615, 2, true",
        "2048, 248, 1000, true"
    })
    void aJobUsesNoMoreMachinesThanItsLedgerCanName(int bytes, int maxMachines, int nameStep, boolean compressed) {
        JobLedgers ledgers = new JobLedgers(new SchedulerHarness(1, 0, bytes, 5).settings, 900);
        ledgers.layoutMarked(compressed ? 44 : 0, ledgers.pageTasks());
        Job job = addJob(ledgers, "wk-1", 5000);

        int used = 0;
        for (int i = 0; i < 1000; i++) {
            Machine machine = new Machine(String.format("i-%06d", i * nameStep), 0);
            if (ledgers.mayRecordMachine(job, machine, i)) {
                ledgers.recordMachine(job, machine, 0);
                used++;
            }
        }
        assertEquals(maxMachines, used);
        WriteBatch batch = nextBatch(ledgers, 0, 5, 5, List.of());
        assertTrue(StoreCodec.encodedBytes(batch.transaction().writes().get(0).record()) <= bytes);
    }

    /** A batch that the store rejects delays no other job, and its own job only for the backoff. */
    @Test
    void aRejectedBatchDelaysNoOtherJob() {
        JobLedgers ledgers = new JobLedgers(new SchedulerHarness(1, 0).settings, 900);
        Job first = addJob(ledgers, "wk-1", 10);
        Job second = addJob(ledgers, "wk-2", 10);
        ledgers.recordMachine(first, new Machine("i-1", 0), 0);
        WriteBatch batch = nextBatch(ledgers, 0, 5, 5, List.of());
        ledgers.writeRejected(batch, 0);
        ledgers.writeResolved(batch, 0);
        ledgers.recordMachine(second, new Machine("i-1", 0), 0);
        WriteBatch next = nextBatch(ledgers, 100, 5, 5, List.of());
        assertEquals(List.of(second), jobsOf(next));
        assertTrue(first.ledgerFull, "placements that wait for the rejected write are removed");
        WriteBatch later = nextBatch(ledgers, 20 * Micros.SECOND, 5, 5, List.of());
        assertEquals(List.of(first), jobsOf(later));
    }

    /**
     * After a conflict with a cancellation, the other jobs of the batch are written at once, and only the key in conflict is
     * read back. Otherwise, after a restart of all controllers, five batches a second are refused as a whole, and reading
     * their keys uses up the request rate of the store.
     */
    @ParameterizedTest
    @CsvSource({"job/wk-2", "ledger/wk-2"})
    void aConflictingJobDelaysNoOtherJob(String conflictingKey) {
        JobLedgers ledgers = new JobLedgers(new SchedulerHarness(1, 0).settings, 900);
        List<Job> jobs = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            jobs.add(addJob(ledgers, "wk-" + i, 10));
            ledgers.recordMachine(jobs.get(i - 1), new Machine("i-1", 0), 0);
        }
        WriteBatch batch = nextBatch(ledgers, 0, 5, 5, List.of());
        assertEquals(jobs, jobsOf(batch));
        assertEquals(List.of(conflictingKey), ledgers.writeConflicted(batch, List.of(conflictingKey), 0));
        WriteBatch next = nextBatch(ledgers, 0, 5, 5, List.of());
        assertEquals(List.of(jobs.get(0), jobs.get(2)), jobsOf(next));
        ledgers.writeConfirmed(next, 1000, 0);
        assertEquals(null, nextBatch(ledgers, 0, 5, 5, List.of()));
        ledgers.keyReadBack(conflictingKey, 0);
        WriteBatch later = nextBatch(ledgers, 0, 5, 5, List.of());
        assertEquals(List.of(jobs.get(1)), jobsOf(later));
    }

    /** Without deferrable writes, finished tasks are not written, but starts of jobs are. */
    @Test
    void finishedTasksLeaveTheWriteRateToStarts() {
        JobLedgers ledgers = new JobLedgers(new SchedulerHarness(1, 0, 2048, 5).settings, 900);
        for (int i = 0; i < 8; i++) {
            ledgers.markTaskFinished(addJob(ledgers, "wk-" + i, 10), 3, 0);
        }
        Job starting = addJob(ledgers, "wk-8", 10);
        ledgers.recordMachine(starting, new Machine("i-1", 0), 0);
        long now = 5 * Micros.SECOND;
        WriteBatch batch = nextBatch(ledgers, now, 4, 0, List.of());
        assertEquals(List.of(starting), jobsOf(batch));
        ledgers.writeConfirmed(batch, 1000, now);
        assertEquals(null, nextBatch(ledgers, now, 4, 0, List.of()));
        assertEquals(3, nextBatch(ledgers, now, 4, 3, List.of()).jobWrites().size());
    }

    /** Stored pages are read with the page size of the layout record, even if the settings now give another size. */
    @Test
    void theLayoutRecordKeepsThePageSize() {
        JobLedgers ledgers = new JobLedgers(new SchedulerHarness(1, 0).settings, 900);
        ledgers.layoutMarked(44, 256);
        Job job = addJob(ledgers, "wk-1", 1000);
        ledgers.loadLedger(StoreKeys.ledger("wk-1", 2), new StoredRecord.Ledger(List.of(), 0, "0-9", true), 5);
        assertEquals("512-521", TaskRanges.format(job.finishedTasks, 0, 1000));
        ledgers.markTaskFinished(job, 600, 0);
        WriteBatch batch = nextBatch(ledgers, 5 * Micros.SECOND, 5, 5, List.of());
        assertEquals(
                "0-9,88",
                ((StoredRecord.Ledger) batch.transaction().writes().get(1).record()).finishedTasks());
    }
}
