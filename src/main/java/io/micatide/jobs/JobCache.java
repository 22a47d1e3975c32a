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
 * A controller's copy of the job rows, brought up to date by the changes since its revision. What a user is told must
 * come from a copy that was refreshed after the question; only final states may be told from the copy as it is.
 *
 * <p>A job that is over loses its row once it is archived, and with it its place here: the copy holds open and recent jobs. Since the
 * manifest of the archive is read with the rows, a job that a fresh copy does not hold is either in a run of the copy's manifest or was
 * never accepted.
 */
public final class JobCache {
    /** A job's row and its version. */
    public record Entry(String id, StoredRecord.JobRecord record, long version) {}

    /**
     * A job as it stands by its own row and by the rows of the jobs that it needs.
     *
     * @param state withdrawn with a job that it needs, it is cancelled although its row is open
     * @param hasUnfinishedDependencies some job that it needs is not done
     * @param readyWall from when its times count: its submission, or the end of the last job that it needs
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
    /** Jobs that are over and still have their rows, in the order in which that was seen. */
    private final Map<String, Entry> finishedJobs = new LinkedHashMap<>();

    private final DependencyGraph dependencies = new DependencyGraph();
    /** Rows that came before all their names, and names that came before their rows; empty between two reads. */
    private final Map<String, Entry> incompleteEntries = new HashMap<>();

    private final Map<String, Map<Integer, List<String>>> furtherDependencies = new HashMap<>();
    /** How many rows of names belong to a job; they go with its row. */
    private final Map<String, Integer> furtherDependencyRecords = new HashMap<>();
    /** Rows that may be of archived jobs: a late write of a former version brought them back. Nothing is told or started of them. */
    private final Map<String, Entry> unverifiedEntries = new LinkedHashMap<>();
    /** What was found to be archived although it has a row, with the row's version. */
    private final Map<String, Long> staleRecordVersions = new HashMap<>();

    private final CancellationLog cancellationLog = new CancellationLog();
    /** What the full read under way has shown, null between two. */
    private Set<String> keysSeenInFullRead;

    private long revision;
    private long layoutVersion;
    private StoredRecord.Layout layout;
    private long archiveVersion;
    private StoredRecord.ArchiveManifest archiveManifest;

    public long revision() {
        return revision;
    }

    /** All changes up to this revision have been applied. */
    public void advanceTo(long newRevision) {
        revision = Math.max(revision, newRevision);
    }

    /** Starts over from the revision of the first page of a full read; what is known stays known until {@link #finishFullRead}. */
    public void beginFullRead(long newRevision) {
        revision = newRevision;
        keysSeenInFullRead = new HashSet<>();
    }

    /** The full read is over: what it did not show and is not younger has been archived meanwhile. */
    public void finishFullRead() {
        List<String> gone = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!keysSeenInFullRead.contains(entry.id()) && entry.version() <= revision) {
                gone.add(entry.id());
            }
        }
        keysSeenInFullRead = null;
        gone.forEach(id -> remove(id, revision));
        cancellationLog.allRecordsReadAt(revision);
    }

    /** What this copy has come to know as cancelled, also of jobs that it does not hold any more. */
    public CancellationLog cancellationLog() {
        return cancellationLog;
    }

    /**
     * A sibling's word that a job is cancelled by its row of this version; the row itself is still to be read. Returns what {@link #apply}
     * does.
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

    public Collection<Entry> openJobs() {
        return openJobs.values();
    }

    /** Jobs that are over and still have their rows, the longest known first. */
    public Collection<Entry> finishedJobs() {
        return finishedJobs.values();
    }

    /** How many rows of names belong to a job. */
    public int furtherDependencyRecords(String id) {
        return furtherDependencyRecords.getOrDefault(id, 0);
    }

    /** The jobs that rows of open jobs name: none of them may lose its own. */
    public Set<String> dependencies() {
        Set<String> names = new HashSet<>();
        openJobs.values().forEach(entry -> names.addAll(entry.record().spec().dependencies()));
        incompleteEntries.values().forEach(entry -> names.addAll(entry.record().spec().dependencies()));
        return names;
    }

    /** The version of the mark that all controllers read layout 2, or 0 while there is none. */
    public long layoutVersion() {
        return layoutVersion;
    }

    /** The mark, or null while there is none. */
    public StoredRecord.Layout layout() {
        return layout;
    }

    public void layoutRead(long version, StoredRecord.Layout mark) {
        layoutVersion = version;
        layout = mark;
    }

    /** The version of the archive's manifest, or 0 while there is no archive: a condition of everything that adds a job. */
    public long archiveVersion() {
        return archiveVersion;
    }

    /** The archive's manifest, or null while there is none. */
    public StoredRecord.ArchiveManifest archiveManifest() {
        return archiveManifest;
    }

    public void archiveManifestRead(long version, StoredRecord.ArchiveManifest manifest) {
        if (version > archiveVersion) {
            archiveVersion = version;
            archiveManifest = manifest;
        }
    }

    /** How a known job stands, also by what it needs. */
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

    /** Everything of which a task may be on a machine, and what waits. */
    public List<View> openAndCancelledJobs() {
        List<View> result = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.record().state() != JobState.DONE) {
                result.add(view(entry.id()));
            }
        }
        return result;
    }

    private StoredRecord.JobRecord finalRecord(String id) {
        Entry entry = entries.get(id);
        return entry == null || !entry.record().state().isFinal() ? null : entry.record();
    }

    /** Applies further names of a job; returns what {@link #apply} does once its row and all of them are there. */
    public List<String> applyDependencies(String id, int piece, List<String> names) {
        furtherDependencyRecords.merge(id, piece, Math::max);
        if (entries.containsKey(id)) {
            return List.of();
        }
        furtherDependencies.computeIfAbsent(id, k -> new TreeMap<>()).put(piece, names);
        Entry row = incompleteEntries.get(id);
        return row == null ? List.of() : apply(id, row.record(), row.version());
    }

    /** The row with all names that belong to it, or null while some are missing. */
    private StoredRecord.JobRecord withAllDependencies(String id, StoredRecord.JobRecord row, long version) {
        if (row.furtherDependencyRecords() == 0 || row.state().isFinal()) {
            return row;
        }
        Map<Integer, List<String>> further = furtherDependencies.getOrDefault(id, Map.of());
        if (further.size() < row.furtherDependencyRecords()) {
            incompleteEntries.put(id, new Entry(id, row, version));
            return null;
        }
        List<String> all = new ArrayList<>(row.spec().dependencies());
        further.values().forEach(all::addAll);
        return row.withDependencies(all, 0);
    }

    /** Applies a row unless a newer one is known; returns the jobs that stand otherwise than before, itself first. */
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

    /** Of a former version, which does not ask the archive; whoever writes a row now says that it did. */
    private boolean mayBeArchived(StoredRecord.JobRecord stored, long version) {
        return archiveManifest != null
                && !stored.checkedAgainstArchive()
                && version > (archiveManifest.sinceVersion() == 0 ? archiveVersion : archiveManifest.sinceVersion());
    }

    private List<String> applyVerified(String id, StoredRecord.JobRecord stored, long version) {
        Entry known = entries.get(id);
        StoredRecord.JobRecord row = withAllDependencies(id, stored, version);
        if (row == null) {
            return List.of();
        }
        incompleteEntries.remove(id);
        furtherDependencies.remove(id);
        // Whoever wrote a later row knew the job; the look-up of the earlier one may still be under way.
        unverifiedEntries.remove(id);
        Entry entry = new Entry(id, row, version);
        entries.put(id, entry);
        List<String> changed = new ArrayList<>(List.of(id));
        if (row.state().isFinal()) {
            if (row.state() == JobState.CANCELLED) {
                cancellationLog.record(id, version);
            }
            openJobs.remove(id);
            finishedJobs.put(id, entry);
            dependencies.jobFinished(id);
            changed.addAll(
                    row.state() == JobState.DONE ? dependencies.jobCompleted(id, row) : dependencies.jobCancelled(id));
        } else {
            openJobs.put(id, entry);
            if (known == null) {
                changed.addAll(dependencies.jobOpened(id, row.spec().dependencies(), this::finalRecord));
            }
        }
        return changed;
    }

    /** A row went, by the change of this revision: its job is archived. */
    public void remove(String id, long version) {
        Entry entry = entries.get(id);
        if (entry != null && entry.version() <= version) {
            entries.remove(id);
            openJobs.remove(id);
            finishedJobs.remove(id);
            dependencies.jobFinished(id);
            furtherDependencyRecords.remove(id);
            furtherDependencies.remove(id);
        }
        incompleteEntries.computeIfPresent(id, (name, row) -> row.version() <= version ? null : row);
        unverifiedEntries.computeIfPresent(id, (name, row) -> row.version() <= version ? null : row);
        staleRecordVersions.computeIfPresent(id, (name, row) -> row <= version ? null : row);
    }

    // ---- rows of former versions

    /** Rows that have to be looked up in the archive, by {@link #markVerified} or {@link #markStale}. */
    public List<Entry> unverifiedEntries() {
        return List.copyOf(unverifiedEntries.values());
    }

    public boolean isUnverified(String id) {
        return unverifiedEntries.containsKey(id);
    }

    /** Not archived: a job like any other; returns what {@link #apply} does. */
    public List<String> markVerified(String id) {
        Entry entry = unverifiedEntries.remove(id);
        return entry == null ? List.of() : applyVerified(id, entry.record(), entry.version());
    }

    /** Archived long ago: the row is to go, and nothing of it is ever told or started. */
    public void markStale(String id) {
        Entry entry = unverifiedEntries.remove(id);
        if (entry != null) {
            staleRecordVersions.put(id, entry.version());
        }
    }

    /** Ghosts whose rows are still there, with the rows' versions. */
    public Map<String, Long> staleRecordVersions() {
        return staleRecordVersions;
    }
}
