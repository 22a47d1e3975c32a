package io.micatide.standby;

import io.micatide.store.StoredRecord;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A standby's copy of one prefix of the state service, brought up to date by the changes since its revision. It is either whole as of
 * {@link #revision}, or it is not used: whatever does not fit what was seen before makes it worthless until it is read anew. A leader
 * rests starts on the ledgers' machines without another write, so a copy that lacks one machine would run a task twice.
 */
public class KeyspaceReplica {
    /** A key with its row and the revision of its last change; {@code row} null of a deletion. */
    public record Entry(String key, StoredRecord row, long version) {}

    /** Makes a prefix's copy; a rehearsal plants another one. */
    @FunctionalInterface
    public interface Maker {
        KeyspaceReplica make(String prefix, long mostBytes);
    }

    /** Why a copy is worth nothing; null while it is worth something. */
    public enum Flaw {
        TOO_LARGE,
        WENT_BACK,
        MISSED_CHANGES
    }

    private static final int ENTRY_BYTES = 160;
    /** A reference to a name that all ledgers share. */
    private static final int NAME_BYTES = 8;
    /** Machines come and go for weeks; names of those that are gone are not kept for ever. */
    private static final int MOST_NAMES = 20_000;

    private final String prefix;
    private final long mostBytes;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, String> names = new HashMap<>();
    private long bytes;
    private long revision;
    /** Pages of one read are of rising revisions: up to the last of them a change may be older than what a page has shown. */
    private long pagesRevision;

    private boolean whole;
    private Flaw flaw;

    /** @param mostBytes what it may take of memory, estimated; beyond that it is given up */
    public KeyspaceReplica(String prefix, long mostBytes) {
        this.prefix = prefix;
        this.mostBytes = mostBytes;
    }

    public String prefix() {
        return prefix;
    }

    /** All changes up to this one are in the copy, if it is whole. */
    public long revision() {
        return revision;
    }

    public boolean whole() {
        return whole && flaw == null;
    }

    /** Whether the copy holds everything that was stored at {@code asOf}. */
    public boolean wholeAt(long asOf) {
        return whole() && revision >= asOf;
    }

    public Flaw flaw() {
        return flaw;
    }

    /** Estimated bytes of memory. */
    public long bytes() {
        return bytes;
    }

    public Iterable<Entry> entries() {
        return entries.values();
    }

    public int size() {
        return entries.size();
    }

    /** Forgets all, to be read anew. */
    public void clear() {
        entries.clear();
        names.clear();
        bytes = 0;
        revision = 0;
        pagesRevision = 0;
        whole = false;
        flaw = null;
    }

    /**
     * A page of the full read.
     *
     * @param first whether it begins the read; the copy's revision is that of the first page, and later changes come again
     */
    public void page(List<Entry> items, boolean first, boolean last, long pageRevision) {
        if (first) {
            clear();
            revision = pageRevision;
        } else if (pageRevision < pagesRevision) {
            flawed(Flaw.WENT_BACK);
        }
        pagesRevision = pageRevision;
        items.forEach(this::apply);
        whole = last;
    }

    /** All changes after {@link #revision} up to {@code upTo}. */
    public void changes(List<Entry> events, long upTo) {
        if (upTo < revision) {
            // A service that lost data, or another one: nothing that was read from it before holds.
            flawed(Flaw.WENT_BACK);
            return;
        }
        events.stream().sorted(Comparator.comparingLong(Entry::version)).forEach(event -> {
            if (event.version() > upTo) {
                flawed(Flaw.WENT_BACK);
            }
            apply(event);
        });
        revision = upTo;
    }

    /** The service no longer has all changes since this copy's revision. */
    public void missedChanges() {
        flawed(Flaw.MISSED_CHANGES);
    }

    private void flawed(Flaw why) {
        if (flaw == null) {
            flaw = why;
        }
    }

    private void apply(Entry item) {
        if (!item.key().startsWith(prefix)) {
            return;
        }
        Entry before = entries.get(item.key());
        if (before != null && item.version() < before.version()) {
            if (item.version() > pagesRevision) {
                flawed(Flaw.WENT_BACK);
            }
            return;
        }
        if (before != null) {
            bytes -= bytes(before);
        }
        if (item.row() == null) {
            entries.remove(item.key());
            return;
        }
        Entry kept = item.row() instanceof StoredRecord.Ledger ledger
                ? new Entry(item.key(), shared(ledger), item.version())
                : item;
        entries.put(item.key(), kept);
        bytes += bytes(kept);
        if (bytes > mostBytes) {
            clear();
            flaw = Flaw.TOO_LARGE;
        }
    }

    /** Hundreds of ledgers name the same machines. */
    private StoredRecord.Ledger shared(StoredRecord.Ledger ledger) {
        if (names.size() > MOST_NAMES) {
            names.clear();
        }
        return new StoredRecord.Ledger(
                ledger.machines().stream()
                        .map(name -> names.computeIfAbsent(name, k -> k))
                        .toList(),
                ledger.gangAttempt(),
                ledger.finishedTasks(),
                ledger.compressedNames());
    }

    private static long bytes(Entry entry) {
        long rest = entry.row() instanceof StoredRecord.Ledger ledger
                ? (long) ledger.machines().size() * NAME_BYTES
                        + ledger.finishedTasks().length()
                : 0;
        return ENTRY_BYTES + entry.key().length() + rest;
    }
}
