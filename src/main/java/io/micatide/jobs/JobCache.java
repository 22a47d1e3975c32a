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
    public record Entry(String id, StoredRecord.JobRow row, long version) {}

    /**
     * A job as it stands by its own row and by the rows of the jobs that it needs.
     *
     * @param state withdrawn with a job that it needs, it is cancelled although its row is open
     * @param waits some job that it needs is not done
     * @param readyWall from when its times count: its submission, or the end of the last job that it needs
     */
    public record View(
            String id, StoredRecord.JobRow row, long version, JobState state, boolean waits, long readyWall) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Entry> open = new HashMap<>();
    /** Jobs that are over and still have their rows, in the order in which that was seen. */
    private final Map<String, Entry> ended = new LinkedHashMap<>();

    private final DependencyGraph dependencies = new DependencyGraph();
    /** Rows that came before all their names, and names that came before their rows; empty between two reads. */
    private final Map<String, Entry> incomplete = new HashMap<>();

    private final Map<String, Map<Integer, List<String>>> pieces = new HashMap<>();
    /** How many rows of names belong to a job; they go with its row. */
    private final Map<String, Integer> furtherRows = new HashMap<>();
    /** Rows that may be of archived jobs: a late write of a former version brought them back. Nothing is told or started of them. */
    private final Map<String, Entry> doubtful = new LinkedHashMap<>();
    /** What was found to be archived although it has a row, with the row's version. */
    private final Map<String, Long> ghosts = new HashMap<>();

    private final CancellationLog cancelLog = new CancellationLog();
    /** What the full read under way has shown, null between two. */
    private Set<String> seen;

    private long revision;
    private long layoutVersion;
    private StoredRecord.Layout layout;
    private long historyVersion;
    private StoredRecord.History history;

    public long revision() {
        return revision;
    }

    /** All changes up to this revision have been applied. */
    public void upTo(long newRevision) {
        revision = Math.max(revision, newRevision);
    }

    /** Starts over from the revision of the first page of a full read; what is known stays known until {@link #readWhole}. */
    public void restartAt(long newRevision) {
        revision = newRevision;
        seen = new HashSet<>();
    }

    /** The full read is over: what it did not show and is not younger has been archived meanwhile. */
    public void readWhole() {
        List<String> gone = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!seen.contains(entry.id()) && entry.version() <= revision) {
                gone.add(entry.id());
            }
        }
        seen = null;
        gone.forEach(id -> removed(id, revision));
        cancelLog.readWholeAt(revision);
    }

    /** What this copy has come to know as cancelled, also of jobs that it does not hold any more. */
    public CancellationLog cancelLog() {
        return cancelLog;
    }

    /**
     * A sibling's word that a job is cancelled by its row of this version; the row itself is still to be read. Returns what {@link #apply}
     * does.
     */
    public List<String> cancelledElsewhere(String id, long version) {
        Entry known = entries.get(id);
        if (known == null || known.row().state().isFinal()) {
            return List.of();
        }
        StoredRecord.JobRow open = known.row();
        return apply(
                id,
                new StoredRecord.JobRow(
                                JobState.CANCELLED,
                                open.spec().withNeeds(List.of()),
                                open.submittedWall(),
                                open.tasks())
                        .asChecked(open.checked()),
                version);
    }

    public Entry get(String id) {
        return entries.get(id);
    }

    public Collection<Entry> open() {
        return open.values();
    }

    /** Jobs that are over and still have their rows, the longest known first. */
    public Collection<Entry> ended() {
        return ended.values();
    }

    /** How many rows of names belong to a job. */
    public int furtherRows(String id) {
        return furtherRows.getOrDefault(id, 0);
    }

    /** The jobs that rows of open jobs name: none of them may lose its own. */
    public Set<String> needed() {
        Set<String> names = new HashSet<>();
        open.values().forEach(entry -> names.addAll(entry.row().spec().needs()));
        incomplete.values().forEach(entry -> names.addAll(entry.row().spec().needs()));
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

    public void layoutMarked(long version, StoredRecord.Layout mark) {
        layoutVersion = version;
        layout = mark;
    }

    /** The version of the archive's manifest, or 0 while there is no archive: a condition of everything that adds a job. */
    public long historyVersion() {
        return historyVersion;
    }

    /** The archive's manifest, or null while there is none. */
    public StoredRecord.History history() {
        return history;
    }

    public void historyKnown(long version, StoredRecord.History manifest) {
        if (version > historyVersion) {
            historyVersion = version;
            history = manifest;
        }
    }

    /** How a known job stands, also by what it needs. */
    public JobState state(String id) {
        JobState own = entries.get(id).row().state();
        return own == JobState.OPEN && dependencies.withdrawn(id) ? JobState.CANCELLED : own;
    }

    public View view(String id) {
        Entry entry = entries.get(id);
        return new View(
                id,
                entry.row(),
                entry.version(),
                state(id),
                dependencies.waits(id),
                dependencies.readyWall(id, entry.row().submittedWall()));
    }

    /** Everything of which a task may be on a machine, and what waits. */
    public List<View> openAndCancelled() {
        List<View> result = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.row().state() != JobState.DONE) {
                result.add(view(entry.id()));
            }
        }
        return result;
    }

    private StoredRecord.JobRow end(String id) {
        Entry entry = entries.get(id);
        return entry == null || !entry.row().state().isFinal() ? null : entry.row();
    }

    /** Applies further names of a job; returns what {@link #apply} does once its row and all of them are there. */
    public List<String> applyNeeds(String id, int piece, List<String> names) {
        furtherRows.merge(id, piece, Math::max);
        if (entries.containsKey(id)) {
            return List.of();
        }
        pieces.computeIfAbsent(id, k -> new TreeMap<>()).put(piece, names);
        Entry row = incomplete.get(id);
        return row == null ? List.of() : apply(id, row.row(), row.version());
    }

    /** The row with all names that belong to it, or null while some are missing. */
    private StoredRecord.JobRow complete(String id, StoredRecord.JobRow row, long version) {
        if (row.furtherNeeds() == 0 || row.state().isFinal()) {
            return row;
        }
        Map<Integer, List<String>> further = pieces.getOrDefault(id, Map.of());
        if (further.size() < row.furtherNeeds()) {
            incomplete.put(id, new Entry(id, row, version));
            return null;
        }
        List<String> all = new ArrayList<>(row.spec().needs());
        further.values().forEach(all::addAll);
        return row.withNeeds(all, 0);
    }

    /** Applies a row unless a newer one is known; returns the jobs that stand otherwise than before, itself first. */
    public List<String> apply(String id, StoredRecord.JobRow stored, long version) {
        if (seen != null) {
            seen.add(id);
        }
        Entry known = entries.get(id);
        if ((known != null && known.version() >= version) || ghosts.getOrDefault(id, 0L) >= version) {
            return List.of();
        }
        if (known == null && mayBeArchived(stored, version)) {
            doubtful.merge(id, new Entry(id, stored, version), (a, b) -> a.version() > b.version() ? a : b);
            return List.of();
        }
        return applySound(id, stored, version);
    }

    /** Of a former version, which does not ask the archive; whoever writes a row now says that it did. */
    private boolean mayBeArchived(StoredRecord.JobRow stored, long version) {
        return history != null
                && !stored.checked()
                && version > (history.sinceVersion() == 0 ? historyVersion : history.sinceVersion());
    }

    private List<String> applySound(String id, StoredRecord.JobRow stored, long version) {
        Entry known = entries.get(id);
        StoredRecord.JobRow row = complete(id, stored, version);
        if (row == null) {
            return List.of();
        }
        incomplete.remove(id);
        pieces.remove(id);
        // Whoever wrote a later row knew the job; the look-up of the earlier one may still be under way.
        doubtful.remove(id);
        Entry entry = new Entry(id, row, version);
        entries.put(id, entry);
        List<String> changed = new ArrayList<>(List.of(id));
        if (row.state().isFinal()) {
            if (row.state() == JobState.CANCELLED) {
                cancelLog.cancelled(id, version);
            }
            open.remove(id);
            ended.put(id, entry);
            dependencies.ended(id);
            changed.addAll(row.state() == JobState.DONE ? dependencies.completed(id, row) : dependencies.cancelled(id));
        } else {
            open.put(id, entry);
            if (known == null) {
                changed.addAll(dependencies.opened(id, row.spec().needs(), this::end));
            }
        }
        return changed;
    }

    /** A row went, by the change of this revision: its job is archived. */
    public void removed(String id, long version) {
        Entry entry = entries.get(id);
        if (entry != null && entry.version() <= version) {
            entries.remove(id);
            open.remove(id);
            ended.remove(id);
            dependencies.ended(id);
            furtherRows.remove(id);
            pieces.remove(id);
        }
        incomplete.computeIfPresent(id, (name, row) -> row.version() <= version ? null : row);
        doubtful.computeIfPresent(id, (name, row) -> row.version() <= version ? null : row);
        ghosts.computeIfPresent(id, (name, row) -> row <= version ? null : row);
    }

    // ---- rows of former versions

    /** Rows that have to be looked up in the archive, by {@link #sound} or {@link #ghost}. */
    public List<Entry> doubtful() {
        return List.copyOf(doubtful.values());
    }

    public boolean isDoubtful(String id) {
        return doubtful.containsKey(id);
    }

    /** Not archived: a job like any other; returns what {@link #apply} does. */
    public List<String> sound(String id) {
        Entry entry = doubtful.remove(id);
        return entry == null ? List.of() : applySound(id, entry.row(), entry.version());
    }

    /** Archived long ago: the row is to go, and nothing of it is ever told or started. */
    public void ghost(String id) {
        Entry entry = doubtful.remove(id);
        if (entry != null) {
            ghosts.put(id, entry.version());
        }
    }

    /** Ghosts whose rows are still there, with the rows' versions. */
    public Map<String, Long> ghosts() {
        return ghosts;
    }
}
