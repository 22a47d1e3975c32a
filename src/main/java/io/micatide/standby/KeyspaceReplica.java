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
    /** A key with its row and the revision of its last change; {@code record} null of a deletion. */
    public record Entry(String key, StoredRecord record, long version) {}

    /** Makes a prefix's copy; a rehearsal plants another one. */
    @FunctionalInterface
    public interface Factory {
        KeyspaceReplica create(String prefix, long mostBytes);
    }

    /** Why a copy is worth nothing; null while it is worth something. */
    public enum InvalidReason {
        TOO_LARGE,
        REVISION_REGRESSED,
        CHANGES_COMPACTED
    }

    private static final int ENTRY_BYTES = 160;
    /** A reference to a name that all ledgers share. */
    private static final int NAME_REFERENCE_BYTES = 8;
    /** Machines come and go for weeks; names of those that are gone are not kept for ever. */
    private static final int MAX_SHARED_NAMES = 20_000;

    private final String prefix;
    private final long maxBytes;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, String> sharedNames = new HashMap<>();
    private long estimatedBytes;
    private long revision;
    /** Pages of one read are of rising revisions: up to the last of them a change may be older than what a page has shown. */
    private long lastPageRevision;

    private boolean complete;
    private InvalidReason invalidReason;

    /** @param mostBytes what it may take of memory, estimated; beyond that it is given up */
    public KeyspaceReplica(String prefix, long mostBytes) {
        this.prefix = prefix;
        this.maxBytes = mostBytes;
    }

    public String prefix() {
        return prefix;
    }

    /** All changes up to this one are in the copy, if it is whole. */
    public long revision() {
        return revision;
    }

    public boolean isComplete() {
        return complete && invalidReason == null;
    }

    /** Whether the copy holds everything that was stored at {@code asOf}. */
    public boolean isCompleteAt(long asOf) {
        return isComplete() && revision >= asOf;
    }

    public InvalidReason invalidReason() {
        return invalidReason;
    }

    /** Estimated bytes of memory. */
    public long estimatedBytes() {
        return estimatedBytes;
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
        sharedNames.clear();
        estimatedBytes = 0;
        revision = 0;
        lastPageRevision = 0;
        complete = false;
        invalidReason = null;
    }

    /**
     * A page of the full read.
     *
     * @param first whether it begins the read; the copy's revision is that of the first page, and later changes come again
     */
    public void loadPage(List<Entry> items, boolean first, boolean last, long pageRevision) {
        if (first) {
            clear();
            revision = pageRevision;
        } else if (pageRevision < lastPageRevision) {
            invalidate(InvalidReason.REVISION_REGRESSED);
        }
        lastPageRevision = pageRevision;
        items.forEach(this::apply);
        complete = last;
    }

    /** All changes after {@link #revision} up to {@code upTo}. */
    public void applyChanges(List<Entry> events, long upTo) {
        if (upTo < revision) {
            // A service that lost data, or another one: nothing that was read from it before holds.
            invalidate(InvalidReason.REVISION_REGRESSED);
            return;
        }
        events.stream().sorted(Comparator.comparingLong(Entry::version)).forEach(event -> {
            if (event.version() > upTo) {
                invalidate(InvalidReason.REVISION_REGRESSED);
            }
            apply(event);
        });
        revision = upTo;
    }

    /** The service no longer has all changes since this copy's revision. */
    public void changesCompacted() {
        invalidate(InvalidReason.CHANGES_COMPACTED);
    }

    private void invalidate(InvalidReason why) {
        if (invalidReason == null) {
            invalidReason = why;
        }
    }

    private void apply(Entry item) {
        if (!item.key().startsWith(prefix)) {
            return;
        }
        Entry before = entries.get(item.key());
        if (before != null && item.version() < before.version()) {
            if (item.version() > lastPageRevision) {
                invalidate(InvalidReason.REVISION_REGRESSED);
            }
            return;
        }
        if (before != null) {
            estimatedBytes -= estimatedBytes(before);
        }
        if (item.record() == null) {
            entries.remove(item.key());
            return;
        }
        Entry kept = item.record() instanceof StoredRecord.Ledger ledger
                ? new Entry(item.key(), withSharedNames(ledger), item.version())
                : item;
        entries.put(item.key(), kept);
        estimatedBytes += estimatedBytes(kept);
        if (estimatedBytes > maxBytes) {
            clear();
            invalidReason = InvalidReason.TOO_LARGE;
        }
    }

    /** Hundreds of ledgers name the same machines. */
    private StoredRecord.Ledger withSharedNames(StoredRecord.Ledger ledger) {
        if (sharedNames.size() > MAX_SHARED_NAMES) {
            sharedNames.clear();
        }
        return new StoredRecord.Ledger(
                ledger.machines().stream()
                        .map(name -> sharedNames.computeIfAbsent(name, k -> k))
                        .toList(),
                ledger.gangAttempt(),
                ledger.finishedTasks(),
                ledger.compressedNames());
    }

    private static long estimatedBytes(Entry entry) {
        long rest = entry.record() instanceof StoredRecord.Ledger ledger
                ? (long) ledger.machines().size() * NAME_REFERENCE_BYTES
                        + ledger.finishedTasks().length()
                : 0;
        return ENTRY_BYTES + entry.key().length() + rest;
    }
}
