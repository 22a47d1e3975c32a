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

/** What a long history comes to: values, reads for a look-up, changes; and what is damaged or refused. */
class ArchiverTest {
    /** Values by key as the state service would hold them; carries out the steps of an archivist. */
    private static final class Store {
        final TreeMap<String, StoredRecord> values = new TreeMap<>();
        final List<Archiver.Ended> rows = new ArrayList<>();
        StoredRecord.ArchiveManifest manifest = Archiver.first(3, 5);
        long version = 1;
        int changes;
        int reads;
        int limit;
        int refusals;

        Store(int limit) {
            this.limit = limit;
            values.put(StoreKeys.ARCHIVE_MANIFEST, manifest);
        }

        void carryOut(Archiver archivist, Archiver.Step step) throws DamagedSegmentException {
            if (step instanceof Archiver.Write write) {
                write(archivist, write.transaction());
            } else if (step instanceof Archiver.FindAfter find) {
                archivist.listed(values.higherKey(find.key()));
            } else if (step instanceof Archiver.ReadSegment read) {
                reads++;
                try {
                    archivist.segment(read.key(), SegmentCodec.unpack(read.key(), (StoredRecord.ArchiveSegment)
                            values.get(read.key())));
                } catch (DamagedSegmentException e) {
                    archivist.damaged(read.key());
                }
            }
        }

        private void write(Archiver archivist, Transaction transaction) {
            for (Transaction.Write each : transaction.writes()) {
                if (each.record() != null && StoreCodec.encodedBytes(each.record()) > limit) {
                    refusals++;
                    assertTrue(archivist.refused());
                    return;
                }
            }
            version++;
            for (Transaction.Write each : transaction.writes()) {
                changes++;
                if (each.record() != null) {
                    values.put(each.key(), each.record());
                } else if (each.key().startsWith(StoreKeys.JOBS)) {
                    rows.removeIf(row -> StoreKeys.job(row.id()).equals(each.key()));
                } else {
                    values.remove(each.key());
                }
            }
            if (transaction.writes().get(0).record() instanceof StoredRecord.ArchiveManifest history) {
                manifest = history;
            }
            archivist.written(version);
        }

        /** Until there is nothing left to do. */
        void drain(Archiver archivist, boolean anyway) throws DamagedSegmentException {
            for (int idle = 0; idle < 3; ) {
                archivist.offer(List.copyOf(rows), version, anyway);
                Archiver.Step step = archivist.next(16);
                idle = step == null ? idle + 1 : 0;
                for (; step != null; step = archivist.next(16)) {
                    carryOut(archivist, step);
                }
            }
        }
    }

    private static Archiver.Ended ended(int number, int idLength) {
        StringBuilder id = new StringBuilder(String.format("wk-%06d", number * 7_919L % 1_000_000));
        for (Random random = new Random(number); id.length() < idLength; ) {
            id.append((char) ('a' + random.nextInt(26)));
        }
        return new Archiver.Ended(id.toString(), 1, outcome(number), 0);
    }

    private static JobOutcome outcome(int number) {
        return number % 5 == 0
                ? new JobOutcome(JobState.CANCELLED, number % 2 == 0, number % 300)
                : new JobOutcome(JobState.DONE, false, 1 + number % 300);
    }

    /** Jobs, value limit, length of ids; most values, runs and hundredths of a change for each job beside the removal of its row. */
    @ParameterizedTest
    @CsvSource({
        "20000, 16384, 9, 12, 10, 6",
        "20000, 2048, 9, 110, 10, 10",
        "20000, 1024, 9, 300, 10, 25",
        // As long as ids may be: some forty bytes of each cannot be packed.
        "5000, 2048, 63, 400, 9, 40",
    })
    void aLongHistoryTakesFewValuesAndFewChanges(
            int jobs, int limit, int idLength, int mostValues, int mostRuns, int mostChanges)
            throws DamagedSegmentException {
        Store store = new Store(limit);
        Archiver archivist = new Archiver(7, limit, 16, 256, store.manifest, 1);
        for (int from = 0; from < jobs; from += 256) {
            for (int number = from; number < Math.min(jobs, from + 256); number++) {
                store.rows.add(ended(number, idLength));
            }
            store.drain(archivist, true);
        }
        assertEquals(0, store.refusals);
        assertEquals(List.of(), store.rows);
        assertTrue(store.values.size() - 1 <= mostValues, store.values.size() + " values");
        assertTrue(
                store.manifest.runs().size() <= mostRuns, store.manifest.runs().size() + " runs");
        assertTrue(store.changes <= jobs * (100 + mostChanges) / 100, store.changes + " changes");

        MembershipFilters filters = new MembershipFilters(1 << 20);
        filters.manifest(store.manifest);
        for (String key = filters.wanted(); key != null; key = filters.wanted()) {
            filters.read(key, SegmentCodec.unpack(key, (StoredRecord.ArchiveSegment) store.values.get(key)));
        }
        int reads = 0;
        for (int number = 0; number < jobs; number++) {
            Archiver.Ended job = ended(number, idLength);
            JobOutcome found = null;
            for (String key : filters.candidates(job.id())) {
                reads++;
                JobOutcome here = SegmentCodec.find(key, (StoredRecord.ArchiveSegment) store.values.get(key), job.id());
                found = here == null ? found : here;
            }
            assertEquals(job.outcome(), found, job.id());
        }
        assertTrue(reads < jobs * 1.2, reads + " reads for " + jobs);
        int mistaken = 0;
        for (int number = 0; number < 10_000; number++) {
            mistaken += filters.candidates("wk-x" + number).size();
        }
        assertTrue(mistaken < 10_000 * 0.2, mistaken + " reads for 10000 ids that nobody submitted");
    }

    /** The limit of a value falls below what was planned with: what does not fit is packed again, in more values. */
    @ParameterizedTest
    @CsvSource({"1500", "900", "640"})
    void limitsThatFall(int limit) throws DamagedSegmentException {
        Store store = new Store(16384);
        Archiver archivist = new Archiver(7, 16384, 16, 256, store.manifest, 1);
        for (int number = 0; number < 3000; number++) {
            store.rows.add(ended(number, 9));
        }
        store.limit = limit;
        store.drain(archivist, true);
        assertTrue(store.refusals > 0);
        assertEquals(List.of(), store.rows);
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

    /** A damaged run is never merged, so nothing of it is lost that could still be mended; the others go on. */
    @Test
    void aDamagedRunStaysAsItIs() throws DamagedSegmentException {
        Store store = new Store(16384);
        Archiver archivist = new Archiver(7, 16384, 16, 256, store.manifest, 1);
        String damaged = null;
        for (int round = 0; round < 12; round++) {
            for (int number = round * 256; number < (round + 1) * 256; number++) {
                store.rows.add(ended(number, 9));
            }
            store.drain(archivist, true);
            if (round == 0) {
                damaged = store.manifest.runs().get(0).name();
                String key = StoreKeys.segment(damaged, 0);
                StoredRecord.ArchiveSegment segment = (StoredRecord.ArchiveSegment) store.values.get(key);
                segment.packed()[20] ^= 1;
                StoredRecord.ArchiveSegment changed = segment;
                assertThrows(DamagedSegmentException.class, () -> SegmentCodec.unpack(key, changed));
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

    /** What an archivist that was killed left behind goes, and nothing else does. */
    @Test
    void whatNothingNamesIsRemoved() throws DamagedSegmentException {
        Store store = new Store(16384);
        Archiver first = new Archiver(7, 16384, 16, 256, store.manifest, 1);
        for (int number = 0; number < 600; number++) {
            store.rows.add(ended(number, 9));
        }
        store.drain(first, true);
        Set<String> named = Set.copyOf(store.values.keySet());
        for (String run : List.of("0-1", "6-1", "7-9", "zz-1")) {
            store.values.put(StoreKeys.segment(run, 0), new StoredRecord.ArchiveSegment("x", new byte[1]));
            store.values.put(StoreKeys.segment(run, 1), new StoredRecord.ArchiveSegment("x", new byte[1]));
        }
        store.drain(new Archiver(8, 16384, 16, 256, store.manifest, store.version), false);
        assertEquals(named, store.values.keySet());
    }

    /** A packed segment with any byte changed, or read under another key, is told from a sound one. */
    @Test
    void damageIsAlwaysSeen() throws DamagedSegmentException {
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
        StoredRecord.ArchiveSegment half =
                new StoredRecord.ArchiveSegment(segment.digest(), java.util.Arrays.copyOf(segment.packed(), 20));
        assertThrows(DamagedSegmentException.class, () -> SegmentCodec.unpack("history/a/000000", half));
    }
}
