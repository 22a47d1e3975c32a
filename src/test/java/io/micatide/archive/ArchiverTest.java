package io.micatide.archive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.JobState;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the number of values, writes and reads per look-up of a large archive, and how damaged and rejected values are handled. */
class ArchiverTest {
    /** A store in memory that executes the operations of an archiver. */
    private static final class Store {
        final TreeMap<String, StoredRecord> values = new TreeMap<>();
        final List<Archiver.ArchivableJob> jobRecords = new ArrayList<>();
        StoredRecord.ArchiveManifest manifest = Archiver.emptyManifest(3, 5);
        long version = 1;
        int changes;
        int reads;
        int limit;
        int refusals;

        Store(int limit) {
            this.limit = limit;
            values.put(StoreKeys.ARCHIVE_MANIFEST, manifest);
        }

        void execute(Archiver archiver, ArchiveOperation operation) throws DamagedSegmentException {
            if (operation instanceof ArchiveOperation.Write write) {
                write(archiver, write.transaction());
            } else if (operation instanceof ArchiveOperation.FindAfter find) {
                archiver.keyFound(values.higherKey(find.key()));
            } else if (operation instanceof ArchiveOperation.ReadSegment read) {
                reads++;
                try {
                    archiver.segmentRead(read.key(), SegmentCodec.unpack(read.key(), (StoredRecord.ArchiveSegment)
                            values.get(read.key())));
                } catch (DamagedSegmentException e) {
                    archiver.segmentDamaged(read.key());
                }
            }
        }

        private void write(Archiver archiver, Transaction transaction) {
            for (Transaction.Write write : transaction.writes()) {
                if (write.record() != null && StoreCodec.encodedBytes(write.record()) > limit) {
                    refusals++;
                    assertTrue(archiver.writeRejected());
                    return;
                }
            }
            version++;
            for (Transaction.Write write : transaction.writes()) {
                changes++;
                if (write.record() != null) {
                    values.put(write.key(), write.record());
                } else if (write.key().startsWith(StoreKeys.JOBS)) {
                    jobRecords.removeIf(job -> StoreKeys.job(job.id()).equals(write.key()));
                } else {
                    values.remove(write.key());
                }
            }
            if (transaction.writes().get(0).record() instanceof StoredRecord.ArchiveManifest written) {
                manifest = written;
            }
            archiver.writeSucceeded(version);
        }

        /** Offers the job records and executes operations until the archiver has none left. */
        void drain(Archiver archiver, Archiver.BatchPolicy policy) throws DamagedSegmentException {
            for (int idle = 0; idle < 3; ) {
                archiver.offerCandidates(List.copyOf(jobRecords), version, policy);

                ArchiveOperation operation = archiver.nextOperation(16);
                idle = operation == null ? idle + 1 : 0;
                for (; operation != null; operation = archiver.nextOperation(16)) {
                    execute(archiver, operation);
                }
            }
        }
    }

    private static Archiver.ArchivableJob finishedJob(int number, int idLength) {
        StringBuilder id = new StringBuilder(String.format("wk-%06d", number * 7_919L % 1_000_000));
        for (Random random = new Random(number); id.length() < idLength; ) {
            id.append((char) ('a' + random.nextInt(26)));
        }
        return new Archiver.ArchivableJob(id.toString(), 1, outcome(number), 0);
    }

    private static JobOutcome outcome(int number) {
        return number % 5 == 0
                ? new JobOutcome(JobState.CANCELLED, number % 2 == 0, number % 300)
                : new JobOutcome(JobState.DONE, false, 1 + number % 300);
    }

    /**
     * Bounds what a large archive costs: values, runs, writes and reads per look-up. The columns are the number of jobs, the byte limit of a
     * value, the length of ids, and the upper limits of values, runs and hundredths of a write per job besides the deletion of its record.
     * The ids of the last row have the maximum length; some forty bytes of each cannot be compressed.
     */
    @ParameterizedTest
    @CsvSource({
        "20000, 16384, 9, 12, 10, 6",
        "20000, 2048, 9, 110, 10, 10",
        "20000, 1024, 9, 300, 10, 25",
        "5000, 2048, 63, 400, 9, 40",
    })
    void longHistoryTakesFewValuesAndFewWrites(
            int jobs, int limit, int idLength, int maxValues, int maxRuns, int maxChanges)
            throws DamagedSegmentException {
        Store store = new Store(limit);
        Archiver archiver = new Archiver(7, new ArchiveLimits(limit, 16, 256), store.manifest, 1);
        for (int from = 0; from < jobs; from += 256) {
            for (int number = from; number < Math.min(jobs, from + 256); number++) {
                store.jobRecords.add(finishedJob(number, idLength));
            }
            store.drain(archiver, Archiver.BatchPolicy.ANY_SIZE);
        }
        assertEquals(0, store.refusals);
        assertEquals(List.of(), store.jobRecords);
        assertTrue(store.values.size() - 1 <= maxValues, store.values.size() + " values");
        assertTrue(
                store.manifest.runs().size() <= maxRuns, store.manifest.runs().size() + " runs");
        assertTrue(store.changes <= jobs * (100 + maxChanges) / 100, store.changes + " changes");

        MembershipFilters filters = new MembershipFilters(1 << 20);
        filters.setManifest(store.manifest);
        for (String key = filters.nextSegmentToRead(); key != null; key = filters.nextSegmentToRead()) {
            filters.segmentRead(key, SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment) store.values.get(key)));
        }
        int reads = 0;
        for (int number = 0; number < jobs; number++) {
            Archiver.ArchivableJob job = finishedJob(number, idLength);
            JobOutcome found = null;
            for (String key : filters.candidateSegments(job.id())) {
                reads++;
                JobOutcome outcome =
                        SegmentCodec.find(key, (StoredRecord.ArchiveSegment) store.values.get(key), job.id());
                found = outcome == null ? found : outcome;
            }
            assertEquals(job.outcome(), found, job.id());
        }
        assertTrue(reads < jobs * 1.2, reads + " reads for " + jobs);
        int falsePositives = 0;
        for (int number = 0; number < 10_000; number++) {
            falsePositives += filters.candidateSegments("wk-x" + number).size();
        }
        assertTrue(falsePositives < 10_000 * 0.2, falsePositives + " reads for 10000 ids that were never submitted");
    }

    /** The store rejects values because its limit is below the one that the archiver was given: the jobs are packed again in more values. */
    @ParameterizedTest
    @CsvSource({"1500", "900", "640"})
    void repacksSegmentsWhenLimitsFall(int limit) throws DamagedSegmentException {
        Store store = new Store(16384);
        Archiver archiver = new Archiver(7, new ArchiveLimits(16384, 16, 256), store.manifest, 1);
        for (int number = 0; number < 3000; number++) {
            store.jobRecords.add(finishedJob(number, 9));
        }
        store.limit = limit;
        store.drain(archiver, Archiver.BatchPolicy.ANY_SIZE);
        assertTrue(store.refusals > 0);
        assertEquals(List.of(), store.jobRecords);
        assertEquals(
                3000,
                store.manifest.runs().stream()
                        .mapToLong(StoredRecord.ArchiveRun::jobs)
                        .sum());
        Set<String> named = new HashSet<>();
        store.manifest.runs().forEach(run -> {
            for (int number = 0; number < run.segments(); number++) {
                named.add(StoreKeys.segment(run.name(), number));
            }
        });
        assertEquals(
                named,
                new HashSet<>(store.values
                        .subMap(StoreKeys.ARCHIVE_SEGMENTS, StoreKeys.ARCHIVE_SEGMENTS + "~")
                        .keySet()));
    }

    /** A damaged run is never merged, so that its remaining content can still be repaired; other runs are still merged. */
    @Test
    void damagedRunIsNeverMerged() throws DamagedSegmentException {
        Store store = new Store(16384);
        Archiver archiver = new Archiver(7, new ArchiveLimits(16384, 16, 256), store.manifest, 1);
        String damaged = null;
        for (int round = 0; round < 12; round++) {
            for (int number = round * 256; number < (round + 1) * 256; number++) {
                store.jobRecords.add(finishedJob(number, 9));
            }
            store.drain(archiver, Archiver.BatchPolicy.ANY_SIZE);
            if (round == 0) {
                damaged = store.manifest.runs().get(0).name();
                String key = StoreKeys.segment(damaged, 0);
                StoredRecord.ArchiveSegment segment = (StoredRecord.ArchiveSegment) store.values.get(key);
                segment.packed()[20] ^= 1;
                StoredRecord.ArchiveSegment damagedSegment = segment;
                assertThrows(DamagedSegmentException.class, () -> SegmentCodec.unpack(key, damagedSegment));
            }
        }
        String name = damaged;
        assertTrue(store.manifest.runs().stream().anyMatch(run -> run.name().equals(name)));
        assertEquals(
                12 * 256,
                store.manifest.runs().stream()
                        .mapToLong(StoredRecord.ArchiveRun::jobs)
                        .sum());
        assertTrue(store.manifest.runs().size() < 9);
    }

    /** Segments that a killed archiver left behind are deleted, and no others. */
    @Test
    void removesSegmentsThatTheManifestDoesNotName() throws DamagedSegmentException {
        Store store = new Store(16384);
        Archiver first = new Archiver(7, new ArchiveLimits(16384, 16, 256), store.manifest, 1);
        for (int number = 0; number < 600; number++) {
            store.jobRecords.add(finishedJob(number, 9));
        }
        store.drain(first, Archiver.BatchPolicy.ANY_SIZE);
        Set<String> named = Set.copyOf(store.values.keySet());
        for (String run : List.of("0-1", "6-1", "7-9", "zz-1")) {
            store.values.put(StoreKeys.segment(run, 0), new StoredRecord.ArchiveSegment("x", new byte[1]));
            store.values.put(StoreKeys.segment(run, 1), new StoredRecord.ArchiveSegment("x", new byte[1]));
        }
        store.drain(
                new Archiver(8, new ArchiveLimits(16384, 16, 256), store.manifest, store.version),
                Archiver.BatchPolicy.FULL_BATCHES);
        assertEquals(named, store.values.keySet());
    }

    /** A packed segment that is truncated, has any byte changed, or is read under another key is reported as damaged. */
    @Test
    void detectsAnyDamagedByte() throws DamagedSegmentException {
        List<ArchivedJob> jobs = new ArrayList<>();
        for (int number = 0; number < 200; number++) {
            jobs.add(new ArchivedJob(String.format("wk-%06d", number * 31), outcome(number)));
        }
        StoredRecord.ArchiveSegment segment = SegmentCodec.pack("history/a/000000", jobs);
        assertEquals(jobs, SegmentCodec.unpack("history/a/000000", segment));
        assertNotNull(SegmentCodec.find("history/a/000000", segment, "wk-000031"));
        assertNull(SegmentCodec.find("history/a/000000", segment, "wk-000032"));
        for (int at = 0; at < segment.packed().length; at++) {
            byte[] changed = segment.packed().clone();
            changed[at] ^= 1 << at % 8;
            StoredRecord.ArchiveSegment damaged = new StoredRecord.ArchiveSegment(segment.digest(), changed);
            assertThrows(DamagedSegmentException.class, () -> SegmentCodec.unpack("history/a/000000", damaged));
        }
        assertThrows(DamagedSegmentException.class, () -> SegmentCodec.unpack("history/a/000001", segment));
        StoredRecord.ArchiveSegment truncated =
                new StoredRecord.ArchiveSegment(segment.digest(), java.util.Arrays.copyOf(segment.packed(), 20));
        assertThrows(DamagedSegmentException.class, () -> SegmentCodec.unpack("history/a/000000", truncated));
    }
}
