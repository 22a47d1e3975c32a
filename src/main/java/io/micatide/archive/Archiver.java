package io.micatide.archive;

import io.micatide.store.JobOutcome;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Moves finished jobs from their records into the archive during one leader's term: writes runs of new jobs, merges runs of similar size, and
 * deletes records and segments that are no longer needed. Returns each read or write as an {@link ArchiveOperation} and expects its outcome
 * through one of the outcome methods; it performs no input or output itself. Not thread-safe: use by one thread at a time.
 *
 * <p>Invariant, even if any process is killed at any time: each finished job has its record or is in a run that the manifest names. For
 * this, segments are written first, while no manifest names them; then the manifest is updated to name their run, by a compare-and-swap on
 * its version; and a record is deleted only when a job cache that was read after that update shows no open job that needs the record. Every
 * write has the leader's fencing token as a condition, and the name of a run is never reused. One operation is in flight at a time, and an
 * operation of unknown outcome is repeated until its outcome is known.
 */
public class Archiver {
    /**
     * A job in its final state that has no task that can run and that no open job needs, as the job cache shows it.
     *
     * @param id the job's id
     * @param version version of the job's record
     * @param outcome the job's outcome, or null if a late write of a previous version created the record again after the job was archived:
     *     the record is then only deleted
     * @param dependencyRecords number of further records that hold names of the job's dependencies
     */
    public record ArchivableJob(String id, long version, JobOutcome outcome, int dependencyRecords) {}

    /** How many finished jobs it takes to start a run. */
    public enum BatchPolicy {
        /** At least {@link ArchiveLimits#batchSize} jobs. */
        FULL_BATCHES,
        /** Any number, since the jobs have waited long enough. */
        ANY_SIZE
    }

    /** Creates a term's archiver; tests use it to inject faults. */
    @FunctionalInterface
    public interface Factory {
        /**
         * Creates an archiver; the parameters are those of its constructor.
         *
         * @param fencingToken fencing token of the leader
         * @param limits limits that the archiver respects
         * @param manifest the stored manifest
         * @param manifestVersion version of the stored manifest
         * @return the term's archiver
         */
        Archiver create(
                long fencingToken, ArchiveLimits limits, StoredRecord.ArchiveManifest manifest, long manifestVersion);
    }

    private final long fencingToken;
    private final HashPartitioner partitioner;
    private final SegmentSizing sizing;
    private final MergePolicy mergePolicy;
    private final JobRecordRemoval recordRemoval;
    private final UnreferencedSegments unreferencedSegments = new UnreferencedSegments();
    /** Names of runs with a segment that is missing or damaged; these runs are not merged. */
    private final Set<String> damagedRuns = new HashSet<>();

    private int maxTransactionWrites;
    private StoredRecord.ArchiveManifest manifest;
    private long manifestVersion;
    /** Whether a write of the manifest may have been applied without this leader seeing its outcome. */
    private boolean isManifestUncertain;

    private int runsStarted;
    /** Builder of the run that is being written, or null between runs. */
    private RunBuilder builder;

    private boolean isOperationInFlight;
    /** The transaction in flight, or null if there is none or the operation is a read. */
    private Transaction transactionInFlight;

    /**
     * Creates a term's archiver.
     *
     * @param fencingToken fencing token of the leader
     * @param limits limits that the archiver respects
     * @param manifest the stored manifest
     * @param manifestVersion version of the stored manifest
     */
    public Archiver(
            long fencingToken, ArchiveLimits limits, StoredRecord.ArchiveManifest manifest, long manifestVersion) {
        this.fencingToken = fencingToken;
        this.partitioner = new HashPartitioner(manifest);
        this.sizing = new SegmentSizing(limits.valueBytes());
        this.mergePolicy = new MergePolicy(limits);
        this.recordRemoval = new JobRecordRemoval(limits.batchSize());
        this.maxTransactionWrites = limits.transactionWrites();
        this.manifest = manifest;
        this.manifestVersion = manifestVersion;
    }

    /**
     * Returns the manifest of an empty archive. The salt is the key of the hash of ids; it only has to differ between installations.
     *
     * @param saltA first half of the salt
     * @param saltB second half of the salt
     * @return a manifest without runs
     */
    public static StoredRecord.ArchiveManifest emptyManifest(long saltA, long saltB) {
        return new StoredRecord.ArchiveManifest(0, saltA & Long.MAX_VALUE, saltB & Long.MAX_VALUE, List.of());
    }

    /**
     * Replaces the candidates with those found in a newer job cache.
     *
     * @param finished jobs that may be archived or whose record may be deleted
     * @param manifestVersion version of the archive manifest in that job cache
     * @param policy how many jobs it takes to start a run now
     */
    public void offerCandidates(Collection<ArchivableJob> finished, long manifestVersion, BatchPolicy policy) {
        recordRemoval.offer(finished, policy, job -> isRecordRemovable(job.id(), manifestVersion));
    }

    /**
     * Returns whether the job's record may be deleted: only if the manifest of the given version names a run with the job. Ensures that a job
     * is archived before its record is deleted; a test overrides this method to show that jobs are lost otherwise.
     */
    boolean isRecordRemovable(String id, long manifestVersion) {
        return recordRemoval.isArchivedAt(id, manifestVersion);
    }

    /**
     * Returns the next operation, which is in flight until its outcome is reported.
     *
     * @param writeBudget number of writes that planning passes leave unused now
     * @return the operation, or null if there is nothing to do, nothing fits the budget, or an operation is in flight
     */
    public ArchiveOperation nextOperation(int writeBudget) {
        if (isOperationInFlight) {
            return null;
        }
        ArchiveOperation operation = chooseOperation(Math.min(writeBudget, maxTransactionWrites));
        isOperationInFlight = operation != null;
        transactionInFlight = operation instanceof ArchiveOperation.Write write ? write.transaction() : null;
        return operation;
    }

    private ArchiveOperation chooseOperation(int maxWrites) {
        if (isManifestUncertain) {
            return new ArchiveOperation.ReadManifest();
        }
        if (!unreferencedSegments.isSweepComplete()) {
            return new ArchiveOperation.FindAfter(unreferencedSegments.sweepCursor());
        }
        if (recordRemoval.hasRemovable()) {
            Transaction removal = maxWrites < 1 ? null : recordRemoval.planRemoval(leadership(), maxWrites);
            return removal == null ? null : new ArchiveOperation.Write(removal);
        }
        if (builder == null) {
            startNextRun();
        }
        if (builder != null) {
            return continueRun(maxWrites);
        }
        if (unreferencedSegments.isEmpty() || maxWrites < 1) {
            return null;
        }
        return new ArchiveOperation.Write(
                new Transaction(List.of(leadership()), unreferencedSegments.planDeletes(maxWrites)));
    }

    private Transaction.Condition leadership() {
        return new Transaction.Condition(StoreKeys.LEADER, fencingToken);
    }

    private Transaction.Condition unchangedManifest() {
        return new Transaction.Condition(StoreKeys.ARCHIVE_MANIFEST, manifestVersion);
    }

    private void startNextRun() {
        if (recordRemoval.hasBatch()) {
            RunBuilder.Input input = new RunBuilder.Input(List.of(), recordRemoval.takeBatch());
            startRun(sizing.segmentsForJobs(partitioner, input.archivedJobs()), input);
            return;
        }
        List<StoredRecord.ArchiveRun> merged = mergePolicy.selectRuns(manifest.runs(), damagedRuns);
        if (!merged.isEmpty()) {
            long jobs = merged.stream().mapToLong(StoredRecord.ArchiveRun::jobs).sum();
            long bytes =
                    merged.stream().mapToLong(StoredRecord.ArchiveRun::bytes).sum();
            startRun(sizing.segmentsForMerge(jobs, bytes), new RunBuilder.Input(merged, List.of()));
        }
    }

    private void startRun(int segments, RunBuilder.Input input) {
        runsStarted++;
        String name = Long.toString(fencingToken, Character.MAX_RADIX)
                + "-"
                + Integer.toString(runsStarted, Character.MAX_RADIX);
        builder = new RunBuilder(name, segments, input, partitioner);
    }

    private ArchiveOperation continueRun(int maxWrites) {
        if (builder.isComplete()) {
            return maxWrites < 1 ? null : new ArchiveOperation.Write(manifestUpdate());
        }
        String unread = builder.nextUnreadSegment();
        if (unread != null) {
            return new ArchiveOperation.ReadSegment(unread);
        }
        if (!sizing.fits(builder.packNextSegment())) {
            restartRun();
            return continueRun(maxWrites);
        }
        return maxWrites < 1 ? null : new ArchiveOperation.Write(segmentPut());
    }

    /**
     * Returns the transaction that stores the next segment. The manifest's version is one of its conditions: otherwise a request without an
     * answer that reaches the store after the run was named, merged and deleted would create the segment again.
     */
    private Transaction segmentPut() {
        String key = builder.nextKey();
        return new Transaction(
                List.of(leadership(), unchangedManifest(), new Transaction.Condition(key, 0)),
                List.of(new Transaction.Write(key, builder.packNextSegment(), 0)));
    }

    /** Returns the transaction that replaces the merged runs with the complete run in the manifest. */
    private Transaction manifestUpdate() {
        List<StoredRecord.ArchiveRun> runs = new ArrayList<>(manifest.runs());
        runs.removeAll(builder.input().mergedRuns());
        runs.add(builder.run());
        StoredRecord.ArchiveManifest updated = new StoredRecord.ArchiveManifest(
                manifest.sinceVersion() == 0 ? manifestVersion : manifest.sinceVersion(),
                manifest.saltA(),
                manifest.saltB(),
                List.copyOf(runs));
        return new Transaction(
                List.of(leadership(), unchangedManifest()),
                List.of(new Transaction.Write(StoreKeys.ARCHIVE_MANIFEST, updated, 0)));
    }

    /** Starts the run again with more segments and a new name. */
    private void restartRun() {
        RunBuilder abandoned = builder;
        abandonRun();
        startRun(SegmentSizing.increase(abandoned.segmentCount()), abandoned.input());
    }

    private void abandonRun() {
        unreferencedSegments.addRun(builder.name(), builder.possiblyStoredSegments());
        unreferencedSegments.requireSweep();
        builder = null;
    }

    // ---- outcomes

    /**
     * Handles the outcome of {@link ArchiveOperation.FindAfter}.
     *
     * @param key the first key after the requested one, or null if there is none
     */
    public void keyFound(String key) {
        isOperationInFlight = false;
        unreferencedSegments.keyFound(key, manifest);
    }

    /**
     * Handles the outcome of {@link ArchiveOperation.ReadSegment}: the segment was read.
     *
     * @param key the segment's key
     * @param jobs the segment's content
     */
    public void segmentRead(String key, List<ArchivedJob> jobs) {
        isOperationInFlight = false;
        if (builder != null) {
            builder.addSegment(key, jobs);
        }
    }

    /**
     * Handles the outcome of {@link ArchiveOperation.ReadSegment}: the segment is missing or damaged. Its run is not merged from now on.
     *
     * @param key the segment's key
     */
    public void segmentDamaged(String key) {
        isOperationInFlight = false;
        damagedRuns.add(key.substring(StoreKeys.ARCHIVE_SEGMENTS.length(), key.lastIndexOf('/')));
        if (builder != null) {
            abandonRun();
        }
    }

    /**
     * Handles the outcome of {@link ArchiveOperation.Write}: the transaction is stored.
     *
     * @param revision the store's revision of the transaction, which is the version of every record that it put
     */
    public void writeSucceeded(long revision) {
        isOperationInFlight = false;
        StoredRecord first = firstRecordInFlight();
        if (first instanceof StoredRecord.ArchiveSegment) {
            builder.segmentStored();
        } else if (first instanceof StoredRecord.ArchiveManifest stored) {
            manifestStored(stored, revision);
        } else {
            transactionInFlight.writes().forEach(write -> keyDeleted(write.key()));
        }
    }

    /**
     * Handles the outcome of {@link ArchiveOperation.Write}: some of its conditions do not hold.
     *
     * @param keys keys of the conditions that failed; the leader's key is not among them
     */
    public void writeConflicted(Collection<String> keys) {
        isOperationInFlight = false;
        StoredRecord first = firstRecordInFlight();
        if (first instanceof StoredRecord.ArchiveSegment && !keys.contains(StoreKeys.ARCHIVE_MANIFEST)) {
            // An earlier attempt was applied after all: no other process uses the name of this run.
            builder.segmentStored();
        } else if (first != null) {
            isManifestUncertain = true;
        } else {
            // An earlier attempt deleted these keys.
            keys.forEach(this::keyDeleted);
        }
    }

    /** Handles an operation whose outcome is unknown or that was certainly not applied: it is retried. */
    public void outcomeUnknown() {
        isOperationInFlight = false;
        isManifestUncertain |=
                transactionInFlight != null && firstRecordInFlight() instanceof StoredRecord.ArchiveManifest;
    }

    /**
     * Handles the outcome of {@link ArchiveOperation.ReadManifest}. An earlier write of this leader may still reach the store, so the manifest is
     * written again until one of these writes is seen in it.
     *
     * @param stored the stored manifest
     * @param version version of the stored manifest
     */
    public void manifestRead(StoredRecord.ArchiveManifest stored, long version) {
        isOperationInFlight = false;
        isManifestUncertain = false;
        if (builder != null && stored.runs().stream().anyMatch(run -> run.name().equals(builder.name()))) {
            manifestStored(stored, version);
        } else {
            manifest = stored;
            manifestVersion = version;
        }
    }

    /**
     * Handles the outcome of {@link ArchiveOperation.Write}: the store rejects the transaction, most likely because its limits were lowered.
     *
     * @return whether it will be retried with smaller values or fewer writes
     */
    public boolean writeRejected() {
        isOperationInFlight = false;
        StoredRecord first = firstRecordInFlight();
        if (first instanceof StoredRecord.ArchiveSegment && sizing.reduce()) {
            restartRun();
            return true;
        }
        if (first == null && maxTransactionWrites > 1) {
            maxTransactionWrites /= 2;
            return true;
        }
        return false;
    }

    /** Returns the record that the first write in flight puts, or null if that write is a delete. */
    private StoredRecord firstRecordInFlight() {
        return transactionInFlight.writes().get(0).record();
    }

    private void manifestStored(StoredRecord.ArchiveManifest stored, long version) {
        manifest = stored;
        manifestVersion = version;
        RunBuilder.Input input = builder.input();
        input.mergedRuns().forEach(run -> unreferencedSegments.addRun(run.name(), run.segments()));
        recordRemoval.jobsArchived(input.newJobs(), version);
        builder = null;
        unreferencedSegments.manifestChanged();
    }

    private void keyDeleted(String key) {
        if (key.startsWith(StoreKeys.ARCHIVE_SEGMENTS)) {
            unreferencedSegments.segmentDeleted(key);
        } else {
            recordRemoval.keyDeleted(key);
        }
    }

    /**
     * Returns the manifest as far as this leader knows it.
     *
     * @return the manifest, never null
     */
    public StoredRecord.ArchiveManifest manifest() {
        return manifest;
    }
}
