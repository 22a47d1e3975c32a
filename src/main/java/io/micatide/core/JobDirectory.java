package io.micatide.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A controller's copy of all job rows, brought up to date by the changes since its revision. What a user is told must
 * come from a copy that was refreshed after the question; only final states may be told from the copy as it is.
 */
public final class JobDirectory {
    /** A job's row and its version. */
    public record Entry(String id, Row.JobRow row, long version) {
    }

    /**
     * A job as it stands by its own row and by the rows of the jobs that it needs.
     *
     * @param state withdrawn with a job that it needs, it is cancelled although its row is open
     * @param waits some job that it needs is not done
     * @param readyWall from when its times count: its submission, or the end of the last job that it needs
     */
    public record View(String id, Row.JobRow row, long version, JobState state, boolean waits, long readyWall) {
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Entry> open = new HashMap<>();
    private final Dependencies dependencies = new Dependencies();
    /** Rows that came before all their names, and names that came before their rows; empty between two reads. */
    private final Map<String, Entry> incomplete = new HashMap<>();
    private final Map<String, Map<Integer, List<String>>> pieces = new HashMap<>();
    private long revision;
    private long layoutVersion;
    private Row.Layout layout;

    public long revision() {
        return revision;
    }

    /** All changes up to this revision have been applied. */
    public void upTo(long newRevision) {
        revision = Math.max(revision, newRevision);
    }

    /** Starts over from the revision of the first page of a full read; what is known stays known. */
    public void restartAt(long newRevision) {
        revision = newRevision;
    }

    public Entry get(String id) {
        return entries.get(id);
    }

    public Collection<Entry> open() {
        return open.values();
    }

    /** The version of the mark that all controllers read the present layout, or 0 while there is none. */
    public long layoutVersion() {
        return layoutVersion;
    }

    /** The mark, or null while there is none. */
    public Row.Layout layout() {
        return layout;
    }

    public void layoutMarked(long version, Row.Layout mark) {
        layoutVersion = version;
        layout = mark;
    }

    /** How a known job stands, also by what it needs. */
    public JobState state(String id) {
        JobState own = entries.get(id).row().state();
        return own == JobState.OPEN && dependencies.withdrawn(id) ? JobState.CANCELLED : own;
    }

    public View view(String id) {
        Entry entry = entries.get(id);
        return new View(id, entry.row(), entry.version(), state(id), dependencies.waits(id),
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

    private Row.JobRow end(String id) {
        Entry entry = entries.get(id);
        return entry == null || !entry.row().state().isFinal() ? null : entry.row();
    }

    /** Applies further names of a job; returns what {@link #apply} does once its row and all of them are there. */
    public List<String> applyNeeds(String id, int piece, List<String> names) {
        if (entries.containsKey(id)) {
            return List.of();
        }
        pieces.computeIfAbsent(id, k -> new TreeMap<>()).put(piece, names);
        Entry row = incomplete.get(id);
        return row == null ? List.of() : apply(id, row.row(), row.version());
    }

    /** The row with all names that belong to it, or null while some are missing. */
    private Row.JobRow complete(String id, Row.JobRow row, long version) {
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
    public List<String> apply(String id, Row.JobRow stored, long version) {
        Entry known = entries.get(id);
        if (known != null && known.version() >= version) {
            return List.of();
        }
        Row.JobRow row = complete(id, stored, version);
        if (row == null) {
            return List.of();
        }
        incomplete.remove(id);
        pieces.remove(id);
        Entry entry = new Entry(id, row, version);
        entries.put(id, entry);
        List<String> changed = new ArrayList<>(List.of(id));
        if (row.state().isFinal()) {
            open.remove(id);
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
}
