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
 * Moves finished jobs from their records into the archive during one leader's term: writes runs of new jobs, merges runs of like size, and
 * deletes records and segments that are no longer needed. Returns each read or write as a {@link ArchiveOperation} and is told its outcome;
 * does no input or output itself. One thread at a time.
 *
 * <p>Invariant, whichever process is killed at whatever moment: each finished job has its record or is in a run that the manifest names. So
 * segments are written first, while no manifest names them; then the manifest names their run, by a compare-and-swap on its version; and a
 * record is deleted only when a copy of the records that was read after that shows no open job that needs it. Every write has the leader's
 * fencing token as a condition, and the name of a run is never used again. One operation is in flight at a time, and one of unknown
 * outcome is repeated until its outcome is known.
 */
public class Archiver {
    /**
     * A job whose record is final, of which no task can run and which no open job needs, as a copy of the records shows it.
     *
     * @param id the job's id
     * @param version version of its record
     * @param outcome null of a record that a late write of a former version brought back: the job is archived, the record is just deleted
     * @param dependencyRecords how many records with names of dependencies belong to it
     */
    public record ArchivableJob(String id, long version, JobOutcome outcome, int dependencyRecords) {}

    /** How many finished jobs are worth a run. */
    public enum BatchPolicy {
        /** Only as many as {@link ArchiveLimits#batchSize}. */
        FULL_BATCHES,
        /** Any number: they have waited long enough. */
        ANY_SIZE
    }

    /** Makes a term's archiver; a test may plant a fault in one. */
    @FunctionalInterface
    public interface Factory {
        /**
         * Makes an archiver; the parameters are those of its constructor.
         *
         * @param fencingToken the leader's
         * @param limits what it keeps to
         * @param manifest as it is stored
         * @param manifestVersion version of the manifest
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
    /** Names of runs with a segment that cannot be read: they stay as they are. */
    private final Set<String> damagedRuns = new HashSet<>();

    private int maxTransactionWrites;
    private StoredRecord.ArchiveManifest manifest;
    private long manifestVersion;
    /** Whether a write of the manifest may have been carried out unseen. */
    private boolean isManifestUncertain;

    private int runsStarted;
    /** The run that is being written, null between runs. */
    private RunBuilder builder;

    private boolean isOperationInFlight;
    /** The transaction in flight, null if the operation is a read. */
    private Transaction transactionInFlight;

    /**
     * Makes a term's archiver.
     *
     * @param fencingToken the leader's
     * @param limits what it keeps to
     * @param manifest as it is stored
     * @param manifestVersion version of the manifest
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
     * The manifest of an archive that is empty. The salt, which keys the hash of ids, need only differ between installations.
     *
     * @param saltA first half of the salt
     * @param saltB second half
     * @return a manifest without runs
     */
    public static StoredRecord.ArchiveManifest emptyManifest(long saltA, long saltB) {
        return new StoredRecord.ArchiveManifest(0, saltA & Long.MAX_VALUE, saltB & Long.MAX_VALUE, List.of());
    }

    /**
     * Replaces the candidates by those of a newer copy of the job records.
     *
     * @param finished jobs that may be archived or whose record may be deleted
     * @param manifestVersion version of the manifest that the copy held
     * @param policy how many jobs are worth a run now
     */
    public void offerCandidates(Collection<ArchivableJob> finished, long manifestVersion, BatchPolicy policy) {
        recordRemoval.offer(finished, policy, job -> isRecordRemovable(job.id(), manifestVersion));
    }

    /** Guards the order of the two writes: a test that lets records go before their jobs are archived loses jobs. */
    boolean isRecordRemovable(String id, long manifestVersion) {
        return recordRemoval.isArchivedAt(id, manifestVersion);
    }

    /**
     * The next operation, which is in flight until its outcome is told.
     *
     * @param writeBudget how many writes scheduling rounds leave over now
     * @return null if there is nothing to do, nothing that fits the budget, or an operation in flight
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
        return new ArchiveOperation.Write(new Transaction(List.of(leadership()), unreferencedSegments.planDeletes(maxWrites)));
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
     * The manifest's version is a condition of a segment's write as well: a try without an answer that arrives after its run was named,
     * merged and removed would bring the segment back.
     */
    private Transaction segmentPut() {
        String key = builder.nextKey();
        return new Transaction(
                List.of(leadership(), unchangedManifest(), new Transaction.Condition(key, 0)),
                List.of(new Transaction.Write(key, builder.packNextSegment(), 0)));
    }

    /** Names the finished run in the manifest, in place of those that went into it. */
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

    /** Writes the run anew, in more segments and under a new name. */
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
     * Outcome of {@link ArchiveOperation.FindAfter}.
     *
     * @param key the first key after the one asked for, null if there is none
     */
    public void keyFound(String key) {
        isOperationInFlight = false;
        unreferencedSegments.keyFound(key, manifest);
    }

    /**
     * Outcome of {@link ArchiveOperation.ReadSegment}.
     *
     * @param key the segment's key
     * @param jobs its content
     */
    public void segmentRead(String key, List<ArchivedJob> jobs) {
        isOperationInFlight = false;
        if (builder != null) {
            builder.addSegment(key, jobs);
        }
    }

    /**
     * Outcome of {@link ArchiveOperation.ReadSegment}: the segment is missing or not what was written. Its run stays as it is.
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
     * Outcome of {@link ArchiveOperation.Write}: it is stored.
     *
     * @param revision the store's revision of it, which is the version of every record that it put
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
     * Outcome of {@link ArchiveOperation.Write}: some of its conditions do not hold.
     *
     * @param keys those of the conditions that failed; the leader's is not among them
     */
    public void writeConflicted(Collection<String> keys) {
        isOperationInFlight = false;
        StoredRecord first = firstRecordInFlight();
        if (first instanceof StoredRecord.ArchiveSegment && !keys.contains(StoreKeys.ARCHIVE_MANIFEST)) {
            // An earlier try was carried out after all: nobody else uses the name.
            builder.segmentStored();
        } else if (first != null) {
            isManifestUncertain = true;
        } else {
            // An earlier try deleted them.
            keys.forEach(this::keyDeleted);
        }
    }

    /** The outcome of the operation in flight is not known, or it was certainly not carried out: it is tried again. */
    public void outcomeUnknown() {
        isOperationInFlight = false;
        isManifestUncertain |=
                transactionInFlight != null && firstRecordInFlight() instanceof StoredRecord.ArchiveManifest;
    }

    /**
     * Outcome of {@link ArchiveOperation.ReadManifest}. A try of this leader may still arrive, so the manifest is written again until one try is seen.
     *
     * @param stored the manifest as it is stored
     * @param version its version
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
     * Outcome of {@link ArchiveOperation.Write}: the store does not take it, most likely since its limits fell.
     *
     * @return whether it will be tried in another form
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

    /** The record that the first write in flight puts, null if it deletes. */
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
     * The manifest as far as this leader knows it.
     *
     * @return never null
     */
    public StoredRecord.ArchiveManifest manifest() {
        return manifest;
    }
}
