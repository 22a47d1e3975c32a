package io.micatide.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A controller's copy of all job rows, brought up to date by the changes since its revision. What a user is told must
 * come from a copy that was refreshed after the question; only final states may be told from the copy as it is.
 */
public final class JobDirectory {
    /** A job's row and its version. */
    public record Entry(String id, Row.JobRow row, long version) {
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Entry> open = new HashMap<>();
    private long revision;

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

    /** Everything of which a task may be on a machine. */
    public List<Entry> openAndCancelled() {
        List<Entry> result = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.row().state() != JobState.DONE) {
                result.add(entry);
            }
        }
        return result;
    }

    /** Applies a row unless a newer one is known; returns whether it was news. */
    public boolean apply(String id, Row.JobRow row, long version) {
        Entry known = entries.get(id);
        if (known != null && known.version() >= version) {
            return false;
        }
        Entry entry = new Entry(id, row, version);
        entries.put(id, entry);
        if (row.state().isFinal()) {
            open.remove(id);
        } else {
            open.put(id, entry);
        }
        return true;
    }
}
