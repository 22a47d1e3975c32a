package io.micatide.jobs;

import io.micatide.model.JobState;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A controller's cache of the job records, updated with the changes in the store since its revision. An answer to a user must
 * come from a cache that was refreshed after the request arrived; only final states may be answered without a refresh.
 *
 * <p>The record of a finished job is deleted once the job is archived, and the job leaves the cache, which thus holds open and recently
 * finished jobs. Since the archive manifest is read together with the records, a job that is missing from a refreshed cache is either in a
 * run of the cache's manifest or was never accepted.
 */
public final class JobCache {
    /**
     * A job's record and its version.
     *
     * @param id of the job
     * @param record of the job
     * @param version revision of the record
     */
    public record Entry(String id, StoredRecord.JobRecord record, long version) {}

    /**
     * The state of a job according to its own record and the records of its dependencies.
     *
     * @param id of the job
     * @param record of the job
     * @param version revision of the record
     * @param state of the job; cancelled also if the record is open but a dependency is cancelled
     * @param hasUnfinishedDependencies whether a dependency is not done
     * @param readyWall wall-clock time from which the job's times count, in microseconds: its submission, or the end of its latest dependency
     */
    public record View(
            String id,
            StoredRecord.JobRecord record,
            long version,
            JobState state,
            boolean hasUnfinishedDependencies,
            long readyWall) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Entry> openJobs = new HashMap<>();
    /** Finished jobs whose records still exist, in the order in which this controller learned of their end. */
    private final Map<String, Entry> finishedJobs = new LinkedHashMap<>();

    private final DependencyGraph dependencies = new DependencyGraph();
    /** The ids of jobs and of their dependencies, of which each job keeps the same instance. */
    private final SharedIds sharedIds = new SharedIds();

    private final JobMemoryUsage memoryUsage = new JobMemoryUsage();
    /** Job records that were read before all their records of further dependencies; empty between two reads. */
    private final Map<String, Entry> incompleteEntries = new HashMap<>();
    /** Further dependencies by job and number of their record, kept until the job's record and all of them are read. */
    private final Map<String, Map<Integer, List<String>>> furtherDependencies = new HashMap<>();
    /** Number of records of further dependencies by job; they are deleted with the job's record. */
    private final Map<String, Integer> furtherDependencyRecords = new HashMap<>();
    /**
     * Records that may belong to archived jobs, since a late write of a previous version can bring a deleted record back. These jobs are
     * neither shown to users nor started.
     */
    private final Map<String, Entry> unverifiedEntries = new LinkedHashMap<>();
    /** Versions of records that exist although their job was found to be archived, by job. */
    private final Map<String, Long> staleRecordVersions = new HashMap<>();

    private final CancellationLog cancellationLog = new CancellationLog();
    /** Ids of the jobs returned by the full read in progress; null while there is none. */
    private Set<String> keysSeenInFullRead;

    private long revision;
    private long layoutVersion;
    private StoredRecord.Layout layout;
    private long archiveVersion;
    private StoredRecord.ArchiveManifest archiveManifest;

    public long revision() {
        return revision;
    }

    /** Records that all changes up to the given revision have been applied. */
    public void advanceTo(long newRevision) {
        revision = Math.max(revision, newRevision);
    }

    /**
     * Begins a full read, which replaces the content of the cache. Known jobs are kept until {@link #finishFullRead}.
     *
     * @param newRevision revision of the first page of the full read
     */
    public void beginFullRead(long newRevision) {
        revision = newRevision;
        keysSeenInFullRead = new HashSet<>();
    }

    /** Finishes a full read. Jobs that it did not return have been archived meanwhile and are removed, unless their record is newer. */
    public void finishFullRead() {
        List<String> removed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!keysSeenInFullRead.contains(entry.id()) && entry.version() <= revision) {
                removed.add(entry.id());
            }
        }
        keysSeenInFullRead = null;
        removed.forEach(id -> remove(id, revision));
        cancellationLog.allRecordsReadAt(revision);
    }

    /** Returns the log of cancelled jobs, including jobs that are no longer in the cache. */
    public CancellationLog cancellationLog() {
        return cancellationLog;
    }

    /**
     * Marks a job as cancelled that a peer reported as cancelled. The record itself is read later.
     *
     * @param id of the job
     * @param version of the job record with the cancellation
     * @return the result of {@link #apply}
     */
    public List<String> markCancelled(String id, long version) {
        Entry known = entries.get(id);
        if (known == null || known.record().state().isFinal()) {
            return List.of();
        }
        StoredRecord.JobRecord open = known.record();
        return apply(
                id,
                new StoredRecord.JobRecord(
                                JobState.CANCELLED,
                                open.spec().withDependencies(List.of()),
                                open.submittedWall(),
                                open.taskCount())
                        .withCheckedAgainstArchive(open.checkedAgainstArchive()),
                version);
    }

    public Entry get(String id) {
        return entries.get(id);
    }

    /** Returns the estimated heap that the jobs of this cache take. */
    public JobMemoryUsage memoryUsage() {
        return memoryUsage;
    }

    /** Returns the number of edges of the dependency graph. */
    public int dependencyEdges() {
        return dependencies.edges();
    }

    public Collection<Entry> openJobs() {
        return openJobs.values();
    }

    /** Returns the finished jobs whose records still exist, in the order in which this controller learned of their end. */
    public Collection<Entry> finishedJobs() {
        return finishedJobs.values();
    }

    /** Returns the number of records of further dependencies that belong to a job. */
    public int furtherDependencyRecords(String id) {
        return furtherDependencyRecords.getOrDefault(id, 0);
    }

    /** Returns the dependencies that records of open jobs name. The records of these jobs must not be deleted. */
    public Set<String> dependencies() {
        Set<String> ids = new HashSet<>();
        openJobs.values().forEach(entry -> ids.addAll(entry.record().spec().dependencies()));
        incompleteEntries
                .values()
                .forEach(entry -> ids.addAll(entry.record().spec().dependencies()));
        return ids;
    }

    /** Returns the version of the layout record, which marks that all controllers can read at least layout 2, or 0 while there is none. */
    public long layoutVersion() {
        return layoutVersion;
    }

    /** Returns the layout record, or null while there is none. */
    public StoredRecord.Layout layout() {
        return layout;
    }

    public void layoutRead(long version, StoredRecord.Layout newLayout) {
        layoutVersion = version;
        layout = newLayout;
    }

    /** Returns the version of the archive manifest, or 0 while there is no archive. It is a condition of every write that adds a job. */
    public long archiveVersion() {
        return archiveVersion;
    }

    /** Returns the archive manifest, or null while there is none. */
    public StoredRecord.ArchiveManifest archiveManifest() {
        return archiveManifest;
    }

    public void archiveManifestRead(long version, StoredRecord.ArchiveManifest manifest) {
        if (version > archiveVersion) {
            archiveVersion = version;
            archiveManifest = manifest;
        }
    }

    /** Returns the state of a job in the cache; cancelled also if a dependency is cancelled. */
    public JobState state(String id) {
        JobState own = entries.get(id).record().state();
        return own == JobState.OPEN && dependencies.isCancelledByDependency(id) ? JobState.CANCELLED : own;
    }

    public View view(String id) {
        Entry entry = entries.get(id);
        return new View(
                id,
                entry.record(),
                entry.version(),
                state(id),
                dependencies.hasUnfinishedDependencies(id),
                dependencies.readyWall(id, entry.record().submittedWall()));
    }

    /** Returns all jobs that are not done: those that wait, and all those of which tasks may still be on a machine. */
    public List<View> openAndCancelledJobs() {
        List<View> result = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.record().state() != JobState.DONE) {
                result.add(view(entry.id()));
            }
        }
        return result;
    }

    /** Returns the record of a finished job, or null if the job is open or not in the cache. */
    private StoredRecord.JobRecord finalRecord(String id) {
        Entry entry = entries.get(id);
        return entry == null || !entry.record().state().isFinal() ? null : entry.record();
    }

    /**
     * Applies a record of further dependencies of a job. Once the job's record and all its further dependencies are read, the job is applied.
     *
     * @param id of the job
     * @param piece number of the record of further dependencies, from 1
     * @param names ids of the dependencies
     * @return the result of {@link #apply}, or an empty list while records are missing
     */
    public List<String> applyDependencies(String id, int piece, List<String> names) {
        furtherDependencyRecords.merge(id, piece, Math::max);
        if (entries.containsKey(id)) {
            return List.of();
        }
        furtherDependencies.computeIfAbsent(id, k -> new TreeMap<>()).put(piece, sharedIds.share(names));
        Entry entry = incompleteEntries.get(id);
        return entry == null ? List.of() : apply(id, entry.record(), entry.version());
    }

    /** Returns a job's record with all its dependencies, or null while records of further dependencies are missing. */
    private StoredRecord.JobRecord withAllDependencies(String id, StoredRecord.JobRecord stored, long version) {
        if (stored.furtherDependencyRecords() == 0 || stored.state().isFinal()) {
            return stored.spec() == null || stored.spec().dependencies().isEmpty()
                    ? stored
                    : stored.withDependencies(
                            sharedIds.share(stored.spec().dependencies()), stored.furtherDependencyRecords());
        }
        Map<Integer, List<String>> further = furtherDependencies.getOrDefault(id, Map.of());
        if (further.size() < stored.furtherDependencyRecords()) {
            incompleteEntries.put(id, new Entry(id, stored, version));
            return null;
        }
        List<String> all = new ArrayList<>(stored.spec().dependencies());
        further.values().forEach(all::addAll);
        return stored.withDependencies(sharedIds.share(all), 0);
    }

    /**
     * Applies a job record unless a newer one is known. A record that may belong to an archived job is kept aside until it is verified.
     *
     * @param id of the job
     * @param stored the record as stored
     * @param version revision of the record
     * @return the jobs whose state changed, the given job first; empty if nothing changed
     */
    public List<String> apply(String id, StoredRecord.JobRecord stored, long version) {
        if (keysSeenInFullRead != null) {
            keysSeenInFullRead.add(id);
        }
        Entry known = entries.get(id);
        if ((known != null && known.version() >= version) || staleRecordVersions.getOrDefault(id, 0L) >= version) {
            return List.of();
        }
        if (known == null && mayBeArchived(stored, version)) {
            unverifiedEntries.merge(id, new Entry(id, stored, version), (a, b) -> a.version() > b.version() ? a : b);
            return List.of();
        }
        return applyVerified(id, stored, version);
    }

    /**
     * Returns whether a record may belong to an archived job: it is newer than the archive and was written by a previous version, which does
     * not check the archive. The current version marks the records that it writes as checked.
     */
    private boolean mayBeArchived(StoredRecord.JobRecord stored, long version) {
        return archiveManifest != null
                && !stored.checkedAgainstArchive()
                && version > (archiveManifest.sinceVersion() == 0 ? archiveVersion : archiveManifest.sinceVersion());
    }

    private List<String> applyVerified(String readId, StoredRecord.JobRecord stored, long version) {
        String id = sharedIds.share(readId);
        Entry known = entries.get(id);
        StoredRecord.JobRecord completeRecord = withAllDependencies(id, stored, version);
        if (completeRecord == null) {
            return List.of();
        }
        incompleteEntries.remove(id);
        furtherDependencies.remove(id);
        // The writer of a later record knew the job. The archive lookup for the earlier record may still be in flight.
        unverifiedEntries.remove(id);
        Entry entry = new Entry(id, completeRecord, version);
        entries.put(id, entry);
        if (known != null) {
            memoryUsage.remove(id, known.record());
        }
        memoryUsage.add(id, completeRecord);
        List<String> changed = new ArrayList<>(List.of(id));
        if (completeRecord.state().isFinal()) {
            if (completeRecord.state() == JobState.CANCELLED) {
                cancellationLog.record(id, version);
            }
            openJobs.remove(id);
            finishedJobs.put(id, entry);
            dependencies.jobFinished(id);
            changed.addAll(
                    completeRecord.state() == JobState.DONE
                            ? dependencies.jobCompleted(id, completeRecord)
                            : dependencies.jobCancelled(id));
        } else {
            openJobs.put(id, entry);
            if (known == null) {
                changed.addAll(dependencies.jobOpened(id, completeRecord.spec().dependencies(), this::finalRecord));
            }
        }
        return changed;
    }

    /**
     * Removes a job whose record was deleted, since the job is archived.
     *
     * @param id of the job
     * @param version revision of the deletion; newer records of the job stay
     */
    public void remove(String id, long version) {
        Entry entry = entries.get(id);
        if (entry != null && entry.version() <= version) {
            entries.remove(id);
            memoryUsage.remove(id, entry.record());
            sharedIds.dropUnused(entries.keySet());
            openJobs.remove(id);
            finishedJobs.remove(id);
            dependencies.jobFinished(id);
            furtherDependencyRecords.remove(id);
            furtherDependencies.remove(id);
        }
        incompleteEntries.computeIfPresent(id, (name, known) -> known.version() <= version ? null : known);
        unverifiedEntries.computeIfPresent(id, (name, known) -> known.version() <= version ? null : known);
        staleRecordVersions.computeIfPresent(id, (name, known) -> known <= version ? null : known);
    }

    // ---- records written by previous versions

    /** Returns the records to look up in the archive; each lookup ends with {@link #markVerified} or {@link #markStale}. */
    public List<Entry> unverifiedEntries() {
        return List.copyOf(unverifiedEntries.values());
    }

    public boolean isUnverified(String id) {
        return unverifiedEntries.containsKey(id);
    }

    /** Applies an unverified record whose job is not archived, and returns the result of {@link #apply}. */
    public List<String> markVerified(String id) {
        Entry entry = unverifiedEntries.remove(id);
        return entry == null ? List.of() : applyVerified(id, entry.record(), entry.version());
    }

    /** Marks an unverified record as stale, since its job is archived. It is to be deleted; the job is neither shown to users nor started. */
    public void markStale(String id) {
        Entry entry = unverifiedEntries.remove(id);
        if (entry != null) {
            staleRecordVersions.put(id, entry.version());
        }
    }

    /** Returns the versions of the stale records that still exist, by job. */
    public Map<String, Long> staleRecordVersions() {
        return staleRecordVersions;
    }
}
