package io.micatide.archive;

import io.micatide.store.JobOutcome;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A leader's work on the archive: finished rows go into runs, runs of like size into larger ones, and what nothing names is removed.
 *
 * <p>What holds at every moment, whoever is killed where: each job that is over has its row or is in a run that the manifest names. So
 * segments are written first, unnamed; then the manifest names them, by a condition on its version; and a row goes only when a copy of
 * the rows that was read after that shows no open job that needs it. Every write has the leader's token as a condition, and no name of
 * a run is ever used again. One step is under way at a time, and a step of unknown outcome is repeated until it is known.
 */
public class Archiver {
    /** What the archivist wants done next. */
    public sealed interface StoreOperation {}

    /** Answered by {@link #segmentOf} or {@link #segmentDamaged}. */
    public record ReadSegment(String key) implements StoreOperation {}

    /** The first key of the archive after this one; answered by {@link #keyFound}. */
    public record FindAfter(String key) implements StoreOperation {}

    /** Answered by {@link #manifestRead}. */
    public record ReadManifest() implements StoreOperation {}

    /** Answered by {@link #writeSucceeded}, {@link #writeConflicted}, {@link #outcomeUnknown} or {@link #writeRejected}. */
    public record Write(Transaction transaction) implements StoreOperation {}

    /**
     * A job whose row is final, of which no task can run and which no open job needs, as a copy of the rows shows it.
     *
     * @param outcome null of a row that a late write of a former version brought back: the job is archived, the row just goes
     * @param dependencyRecords how many rows of names belong to it
     */
    public record ArchivableJob(String id, long version, JobOutcome outcome, int dependencyRecords) {}

    /** Makes a term's archivist; a rehearsal may plant a fault in one. */
    @FunctionalInterface
    public interface Factory {
        Archiver create(
                long fencingToken,
                int valueBytes,
                int changes,
                int worthARun,
                StoredRecord.ArchiveManifest manifest,
                long manifestVersion);
    }

    /** What one run takes of rows at most: as much as a small heap holds easily. */
    private static final int MAX_JOBS_PER_NEW_RUN = 4_096;
    /** So many runs of like size become one; a size is this many times the one below. */
    private static final int MERGE_FACTOR = 4;

    private static final int MAX_RUNS_PER_MERGE = 8;
    /** What a value takes besides the packed bytes, which base64 makes longer by a third. */
    private static final int FRAME_BYTES = 96;

    private static final int MANIFEST_BYTES = 160;
    private static final int MANIFEST_RUN_BYTES = 48;
    private static final int MAX_SEGMENT_BYTES = 16 * 1024;
    private static final int MIN_SEGMENT_BYTES = 512;
    /**
     * Segments of a run differ by chance, by the root of the jobs that one holds; one that is too full costs the whole run anew. So much
     * of that is left free: one segment in 300,000 is fuller.
     */
    private static final double HEADROOM_DEVIATIONS = 4.5;
    /** After every key of a run. */
    private static final String AFTER_LAST_SEGMENT = "/~";

    private final long fencingToken;
    private final int batchSize;
    private final HashPartitioner partitioner;
    private final int maxRuns;
    private int segmentBytes;
    private int maxTransactionWrites;
    private StoredRecord.ArchiveManifest manifest;
    private long manifestVersion;
    private boolean manifestUncertain;
    private String sweepCursor = StoreKeys.ARCHIVE_SEGMENTS;
    private boolean sweepComplete;
    private boolean sweepRequired;
    private int runsStarted;
    private Build build;
    private boolean operationInFlight;
    /** The changes of the write under way. */
    private Transaction transactionInFlight;
    /** Segments that nothing names any more. */
    private final Deque<String> unreferencedSegments = new ArrayDeque<>();
    /** Rows that this leader has archived, with the manifest's version then. */
    private final Map<String, Long> archivedAtVersion = new HashMap<>();

    private final Map<String, ArchivableJob> removableRecords = new LinkedHashMap<>();
    private List<ArchivableJob> candidates = List.of();
    private boolean batchReady;
    /** Runs with a segment that cannot be read: they stay as they are. */
    private final Set<String> damagedRuns = new HashSet<>();

    /** A run in the making. */
    private static final class Build {
        final String name;
        final int segments;
        final List<StoredRecord.ArchiveRun> merged;
        final List<ArchivableJob> rows;
        final SegmentMerger content;
        int next;
        long jobs;
        long bytes;
        StoredRecord.ArchiveSegment packed;
        int packedJobs;

        Build(
                String name,
                int segments,
                List<StoredRecord.ArchiveRun> merged,
                List<ArchivableJob> rows,
                SegmentMerger content) {
            this.name = name;
            this.segments = segments;
            this.merged = merged;
            this.rows = rows;
            this.content = content;
        }

        String key() {
            return StoreKeys.segment(name, next);
        }

        StoredRecord.ArchiveRun run() {
            return new StoredRecord.ArchiveRun(name, segments, jobs, bytes);
        }
    }

    /**
     * @param fencingToken the leader's
     * @param valueBytes what a value may hold
     * @param changes what a transaction may change
     * @param worthARun how many rows are worth a run, which takes two writes
     */
    public Archiver(
            long fencingToken,
            int valueBytes,
            int changes,
            int worthARun,
            StoredRecord.ArchiveManifest manifest,
            long manifestVersion) {
        this.fencingToken = fencingToken;
        this.batchSize = worthARun;
        this.segmentBytes = Math.min(valueBytes, MAX_SEGMENT_BYTES);
        this.maxRuns = Math.max(MERGE_FACTOR + 1, (valueBytes - MANIFEST_BYTES) / MANIFEST_RUN_BYTES);
        this.maxTransactionWrites = changes;
        this.manifest = manifest;
        this.manifestVersion = manifestVersion;
        this.partitioner = new HashPartitioner(manifest);
    }

    /** Of a manifest that nobody has written yet; the salt need only differ between installations. */
    public static StoredRecord.ArchiveManifest emptyManifest(long saltA, long saltB) {
        return new StoredRecord.ArchiveManifest(0, saltA & Long.MAX_VALUE, saltB & Long.MAX_VALUE, List.of());
    }

    /**
     * What may be archived by a copy of the rows that had this manifest.
     *
     * @param anyway few are archived as well: they have waited long enough
     */
    public void offerCandidates(Collection<ArchivableJob> ended, long copyOfVersion, boolean anyway) {
        List<ArchivableJob> fresh = new ArrayList<>();
        for (ArchivableJob each : ended) {
            if (each.outcome() == null || isRecordRemovable(each.id(), copyOfVersion)) {
                removableRecords.put(each.id(), each);
            } else if (!archivedAtVersion.containsKey(each.id())) {
                fresh.add(each);
            }
        }
        candidates = fresh;
        batchReady = fresh.size() >= batchSize || (anyway && !fresh.isEmpty());
    }

    /** Guards the order of the two writes: a test that lets rows go before they are archived loses jobs. */
    boolean isRecordRemovable(String id, long copyOfVersion) {
        Long since = archivedAtVersion.get(id);
        return since != null && copyOfVersion >= since;
    }

    /** Whether there is something to do that needs no offer. */
    public boolean hasPendingWork() {
        return build != null || !sweepComplete || !removableRecords.isEmpty() || !unreferencedSegments.isEmpty();
    }

    /**
     * The next step, or null if there is none, or none with so few changes, or one is under way.
     *
     * @param mostWrites how many changes the rounds leave over now
     */
    public StoreOperation nextOperation(int mostWrites) {
        if (operationInFlight) {
            return null;
        }
        StoreOperation operation = choose(Math.min(mostWrites, maxTransactionWrites));
        operationInFlight = operation != null;
        transactionInFlight = operation instanceof Write write ? write.transaction() : null;
        return operation;
    }

    private StoreOperation choose(int budget) {
        if (manifestUncertain) {
            return new ReadManifest();
        }
        if (!sweepComplete) {
            return new FindAfter(sweepCursor);
        }
        if (!removableRecords.isEmpty()) {
            return budget < 1 ? null : removeRows(budget);
        }
        if (build == null) {
            begin();
        }
        if (build != null) {
            return buildOn(budget);
        }
        if (unreferencedSegments.isEmpty() || budget < 1) {
            return null;
        }
        List<Transaction.Write> writes = new ArrayList<>();
        for (String key : unreferencedSegments) {
            if (writes.size() < budget) {
                writes.add(new Transaction.Write(key, null, 0));
            }
        }
        return new Write(new Transaction(List.of(leads()), writes));
    }

    private Transaction.Condition leads() {
        return new Transaction.Condition(StoreKeys.LEADER, fencingToken);
    }

    /** Names that belong to a row go before it or with it: a row without them would be a job that nobody can read. */
    private StoreOperation removeRows(int budget) {
        List<Transaction.Condition> conditions = new ArrayList<>(List.of(leads()));
        List<Transaction.Write> writes = new ArrayList<>();
        for (ArchivableJob each : removableRecords.values()) {
            if (writes.size() + each.dependencyRecords() + 1 > budget
                    && !(writes.isEmpty() && each.dependencyRecords() > 0)) {
                break;
            }
            conditions.add(new Transaction.Condition(StoreKeys.job(each.id()), each.version()));
            for (int piece = 1; piece <= each.dependencyRecords() && writes.size() < budget; piece++) {
                writes.add(new Transaction.Write(StoreKeys.dependencies(each.id(), piece), null, 0));
            }
            if (writes.size() < budget) {
                writes.add(new Transaction.Write(StoreKeys.job(each.id()), null, 0));
            }
        }
        return writes.isEmpty() ? null : new Write(new Transaction(conditions, writes));
    }

    // ---- runs

    private void begin() {
        if (batchReady && !candidates.isEmpty()) {
            List<ArchivableJob> rows = candidates.subList(0, Math.min(candidates.size(), MAX_JOBS_PER_NEW_RUN));
            List<ArchivedJob> jobs = rows.stream()
                    .map(each -> new ArchivedJob(each.id(), each.outcome()))
                    .toList();
            int segments = 1;
            while (!fits(jobs, segments)) {
                segments = more(segments);
            }
            start(segments, List.of(), rows, jobs);
            batchReady = false;
            return;
        }
        List<StoredRecord.ArchiveRun> merged = mergeable();
        if (!merged.isEmpty()) {
            start(
                    segments(
                            merged.stream()
                                    .mapToLong(StoredRecord.ArchiveRun::jobs)
                                    .sum(),
                            merged.stream()
                                    .mapToLong(StoredRecord.ArchiveRun::bytes)
                                    .sum()),
                    merged,
                    List.of(),
                    List.of());
        }
    }

    private static int more(int segments) {
        return Math.max(segments + 1, segments * 5 / 4);
    }

    /** In how many segments so many jobs go that take so many bytes. */
    private int segments(long jobs, long bytes) {
        if (bytes <= room() / 2) {
            return 1;
        }
        // With m jobs in one, m and some deviations of it have to fit.
        double fit = (double) room() * jobs / bytes;
        double root = (Math.sqrt(HEADROOM_DEVIATIONS * HEADROOM_DEVIATIONS + 4 * fit) - HEADROOM_DEVIATIONS) / 2;
        return (int) Math.max(1, Math.ceil(jobs / Math.max(1, root * root)));
    }

    private void start(
            int segments, List<StoredRecord.ArchiveRun> merged, List<ArchivableJob> rows, List<ArchivedJob> jobs) {
        String name = Long.toString(fencingToken, Character.MAX_RADIX) + "-"
                + Integer.toString(++runsStarted, Character.MAX_RADIX);
        build = new Build(name, segments, merged, rows, new SegmentMerger(partitioner, segments, merged, jobs));
    }

    private int room() {
        return (segmentBytes - FRAME_BYTES) * 3 / 4;
    }

    private boolean fits(List<ArchivedJob> jobs, int segments) {
        SegmentMerger content = new SegmentMerger(partitioner, segments, List.of(), jobs);
        for (int number = 0; number < segments; number++) {
            if (SegmentCodec.pack("", content.takeSegment(number)).packed().length > room()) {
                return false;
            }
        }
        return true;
    }

    private int size(StoredRecord.ArchiveRun run) {
        int size = 0;
        for (long jobs = run.jobs() / batchSize; jobs >= MERGE_FACTOR; jobs /= MERGE_FACTOR) {
            size++;
        }
        return size;
    }

    /** Runs of like size once there are enough of them, or the smallest when the manifest gets long. */
    private List<StoredRecord.ArchiveRun> mergeable() {
        Map<Integer, List<StoredRecord.ArchiveRun>> bySize = new TreeMap<>();
        for (StoredRecord.ArchiveRun run : manifest.runs()) {
            if (!damagedRuns.contains(run.name())) {
                bySize.computeIfAbsent(size(run), k -> new ArrayList<>()).add(run);
            }
        }
        for (List<StoredRecord.ArchiveRun> like : bySize.values()) {
            if (like.size() >= MERGE_FACTOR) {
                return List.copyOf(like.subList(0, Math.min(like.size(), MAX_RUNS_PER_MERGE)));
            }
        }
        if (manifest.runs().size() < maxRuns - 1) {
            return List.of();
        }
        List<StoredRecord.ArchiveRun> smallest = new ArrayList<>();
        bySize.values().forEach(smallest::addAll);
        smallest.sort(Comparator.comparingLong(StoredRecord.ArchiveRun::jobs));
        return smallest.size() < 2
                ? List.of()
                : List.copyOf(smallest.subList(0, Math.min(smallest.size(), MERGE_FACTOR)));
    }

    private StoreOperation buildOn(int budget) {
        if (build.next == build.segments) {
            return budget < 1
                    ? null
                    : new Write(new Transaction(
                            List.of(leads(), new Transaction.Condition(StoreKeys.ARCHIVE_MANIFEST, manifestVersion)),
                            List.of(new Transaction.Write(StoreKeys.ARCHIVE_MANIFEST, manifestWithNewRun(), 0))));
        }
        if (build.packed == null) {
            String unread = build.content.nextUnreadSegment(build.next);
            if (unread != null) {
                return new ReadSegment(unread);
            }
            List<ArchivedJob> jobs = build.content.takeSegment(build.next);
            build.packed = SegmentCodec.pack(build.key(), jobs);
            build.packedJobs = jobs.size();
            if (build.packed.packed().length > room()) {
                again(more(build.segments));
                return buildOn(budget);
            }
        }
        // By the manifest too: a try without an answer that arrives after its run was named, merged and removed would
        // bring it back.
        return budget < 1
                ? null
                : new Write(new Transaction(
                        List.of(
                                leads(),
                                new Transaction.Condition(StoreKeys.ARCHIVE_MANIFEST, manifestVersion),
                                new Transaction.Condition(build.key(), 0)),
                        List.of(new Transaction.Write(build.key(), build.packed, 0))));
    }

    /** The manifest with the run that was built and without those that went into it. */
    private StoredRecord.ArchiveManifest manifestWithNewRun() {
        List<StoredRecord.ArchiveRun> runs = new ArrayList<>(manifest.runs());
        runs.removeAll(build.merged);
        runs.add(build.run());
        return new StoredRecord.ArchiveManifest(
                manifest.sinceVersion() == 0 ? manifestVersion : manifest.sinceVersion(),
                manifest.saltA(),
                manifest.saltB(),
                List.copyOf(runs));
    }

    /** Starts the run over in more segments; what was written of it goes. */
    private void again(int segments) {
        Build before = build;
        abandon();
        List<ArchivedJob> jobs = before.rows.stream()
                .map(each -> new ArchivedJob(each.id(), each.outcome()))
                .toList();
        start(segments, before.merged, before.rows, jobs);
    }

    private void abandon() {
        for (int number = 0; number <= Math.min(build.next, build.segments - 1); number++) {
            unreferencedSegments.add(StoreKeys.segment(build.name, number));
        }
        build = null;
        sweepRequired = true;
    }

    // ---- outcomes

    /** The first key of the archive after the one asked for, null if there is none. */
    public void keyFound(String key) {
        operationInFlight = false;
        if (key == null || !key.startsWith(StoreKeys.ARCHIVE_SEGMENTS)) {
            sweepComplete = true;
            return;
        }
        int slash = key.indexOf('/', StoreKeys.ARCHIVE_SEGMENTS.length());
        String name = slash < 0 ? "" : key.substring(StoreKeys.ARCHIVE_SEGMENTS.length(), slash);
        if (manifest.runs().stream().anyMatch(run -> run.name().equals(name))) {
            sweepCursor = StoreKeys.ARCHIVE_SEGMENTS + name + AFTER_LAST_SEGMENT;
        } else {
            unreferencedSegments.add(key);
            sweepCursor = key;
        }
    }

    public void segmentRead(String key, List<ArchivedJob> jobs) {
        operationInFlight = false;
        if (build != null) {
            build.content.addSegment(key, jobs);
        }
    }

    /** A segment that a merge needs is missing or not what was written: its run stays as it is. */
    public void segmentDamaged(String key) {
        operationInFlight = false;
        damagedRuns.add(key.substring(StoreKeys.ARCHIVE_SEGMENTS.length(), key.lastIndexOf('/')));
        if (build != null) {
            abandon();
        }
    }

    /** The write under way is stored, with this revision. */
    public void writeSucceeded(long revision) {
        operationInFlight = false;
        Transaction.Write first = transactionInFlight.writes().get(0);
        if (first.record() instanceof StoredRecord.ArchiveSegment) {
            segmentStored();
        } else if (first.record() instanceof StoredRecord.ArchiveManifest history) {
            stored(history, revision);
        } else {
            transactionInFlight.writes().forEach(this::removed);
        }
    }

    private void segmentStored() {
        build.jobs += build.packedJobs;
        build.bytes += build.packed.packed().length;
        build.packed = null;
        build.next++;
    }

    private void stored(StoredRecord.ArchiveManifest history, long version) {
        manifest = history;
        manifestVersion = version;
        for (StoredRecord.ArchiveRun run : build.merged) {
            for (int number = 0; number < run.segments(); number++) {
                unreferencedSegments.add(StoreKeys.segment(run.name(), number));
            }
        }
        build.rows.forEach(each -> archivedAtVersion.put(each.id(), version));
        candidates = List.of();
        build = null;
        if (sweepRequired) {
            // What was begun and given up may have come late until now; from this version on it cannot.
            sweepRequired = false;
            sweepComplete = false;
            sweepCursor = StoreKeys.ARCHIVE_SEGMENTS;
        }
    }

    private void removed(Transaction.Write write) {
        if (write.key().startsWith(StoreKeys.ARCHIVE_SEGMENTS)) {
            unreferencedSegments.remove(write.key());
            return;
        }
        String name = write.key().substring(StoreKeys.JOBS.length());
        if (name.indexOf('/') < 0) {
            removableRecords.remove(name);
            archivedAtVersion.remove(name);
        }
    }

    /** Some conditions of the write under way do not hold; the leader's token is not among them. */
    public void writeConflicted(Collection<String> keys) {
        operationInFlight = false;
        Transaction.Write first = transactionInFlight.writes().get(0);
        if (first.record() instanceof StoredRecord.ArchiveSegment && !keys.contains(StoreKeys.ARCHIVE_MANIFEST)) {
            // An earlier try was carried out after all: nobody else uses the name.
            segmentStored();
        } else if (first.record() != null) {
            manifestUncertain = true;
        } else {
            for (String key : keys) {
                // Gone by an earlier try.
                removed(new Transaction.Write(key, null, 0));
            }
        }
    }

    /** The outcome of the step under way is not known, or it was certainly not carried out: it is tried again. */
    public void outcomeUnknown() {
        operationInFlight = false;
        manifestUncertain |= transactionInFlight != null
                && transactionInFlight.writes().get(0).record() instanceof StoredRecord.ArchiveManifest;
    }

    /** The manifest as it is stored. A try of ours may still arrive, so it is written again until one try is seen. */
    public void manifestRead(StoredRecord.ArchiveManifest stored, long version) {
        operationInFlight = false;
        manifestUncertain = false;
        if (build != null && stored.runs().stream().anyMatch(run -> run.name().equals(build.name))) {
            stored(stored, version);
        } else {
            manifest = stored;
            manifestVersion = version;
        }
    }

    /**
     * The state service does not take the write under way, most likely since its limits fell.
     *
     * @return whether it will be tried in another form
     */
    public boolean writeRejected() {
        operationInFlight = false;
        Transaction.Write first = transactionInFlight.writes().get(0);
        if (first.record() instanceof StoredRecord.ArchiveSegment && segmentBytes > MIN_SEGMENT_BYTES) {
            segmentBytes = Math.max(MIN_SEGMENT_BYTES, segmentBytes * 3 / 4);
            again(more(build.segments));
            return true;
        }
        if (first.record() == null && maxTransactionWrites > 1) {
            maxTransactionWrites /= 2;
            return true;
        }
        return false;
    }

    /** The manifest as far as this leader knows it. */
    public StoredRecord.ArchiveManifest manifest() {
        return manifest;
    }
}
