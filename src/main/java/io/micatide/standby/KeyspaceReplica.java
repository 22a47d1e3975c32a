package io.micatide.standby;

import io.micatide.store.StoredRecord;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A standby's replica of one prefix of the store, brought up to date by the changes since its revision.
 *
 * <p>Invariant: it is either complete as of {@link #revision}, or it is not used: whatever does not fit what was seen before invalidates
 * it until it is read anew. A leader rests starts on the ledgers' machines without another write, so a replica that lacks one machine
 * would run a task twice. One thread at a time.
 */
public class KeyspaceReplica {
    /**
     * A key with its record.
     *
     * @param key the key
     * @param record the record, null of a deletion
     * @param version revision of its last change
     */
    public record Entry(String key, StoredRecord record, long version) {}

    /** Makes a prefix's replica; a test may plant another one. */
    @FunctionalInterface
    public interface Factory {
        /**
         * Makes a replica; the parameters are those of its constructor.
         *
         * @param prefix of the keys
         * @param maxBytes what it may take of memory, estimated
         * @return a replica that has nothing yet
         */
        KeyspaceReplica create(String prefix, long maxBytes);
    }

    /** Why a replica must not be used until it is read anew. */
    public enum InvalidReason {
        /** It would take more memory than it may. */
        TOO_LARGE,
        /** A revision or a version was lower than one seen before: the store lost data, or it is another store. */
        REVISION_REGRESSED,
        /** The store no longer has all changes since the replica's revision. */
        CHANGES_COMPACTED
    }

    /** What an entry takes besides its key and its lists, estimated. */
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

    private boolean isFullyRead;
    private InvalidReason invalidReason;

    /**
     * Makes a replica that has nothing yet.
     *
     * @param prefix of the keys
     * @param maxBytes what it may take of memory, estimated; beyond that it is given up
     */
    public KeyspaceReplica(String prefix, long maxBytes) {
        this.prefix = prefix;
        this.maxBytes = maxBytes;
    }

    /**
     * The prefix of its keys.
     *
     * @return as given
     */
    public String prefix() {
        return prefix;
    }

    /**
     * The store's revision up to which all changes are in the replica, if it is complete.
     *
     * @return 0 before the first page
     */
    public long revision() {
        return revision;
    }

    /**
     * Whether it holds everything that was stored at its revision.
     *
     * @return false as well of an invalid one
     */
    public boolean isComplete() {
        return isFullyRead && invalidReason == null;
    }

    /**
     * Whether it holds everything that was stored at a revision.
     *
     * @param minRevision a revision of the store
     * @return whether it is complete and as new as that
     */
    public boolean isCompleteAt(long minRevision) {
        return isComplete() && revision >= minRevision;
    }

    /**
     * Why it must not be used until it is read anew.
     *
     * @return null of a replica that is valid, complete or not
     */
    public InvalidReason invalidReason() {
        return invalidReason;
    }

    /**
     * What it takes of memory.
     *
     * @return estimated bytes
     */
    public long estimatedBytes() {
        return estimatedBytes;
    }

    /**
     * Its entries.
     *
     * @return a view, in the order of the keys
     */
    public Iterable<Entry> entries() {
        return entries.values();
    }

    /**
     * The number of entries.
     *
     * @return 0 or more
     */
    public int size() {
        return entries.size();
    }

    /** Forgets everything, to be read anew. */
    public void clear() {
        entries.clear();
        sharedNames.clear();
        estimatedBytes = 0;
        revision = 0;
        lastPageRevision = 0;
        isFullyRead = false;
        invalidReason = null;
    }

    /**
     * Takes in a page of a full read.
     *
     * @param pageEntries the page's entries
     * @param isFirst whether it begins the read; the replica's revision is that of the first page, and later changes come again
     * @param isLast whether it ends the read
     * @param pageRevision the store's revision when it was read
     */
    public void loadPage(List<Entry> pageEntries, boolean isFirst, boolean isLast, long pageRevision) {
        if (isFirst) {
            clear();
            revision = pageRevision;
        } else if (pageRevision < lastPageRevision) {
            invalidate(InvalidReason.REVISION_REGRESSED);
        }
        lastPageRevision = pageRevision;
        pageEntries.forEach(this::apply);
        isFullyRead = isLast;
    }

    /**
     * Takes in all changes after {@link #revision}.
     *
     * @param changes in any order
     * @param upToRevision the revision up to which they are all
     */
    public void applyChanges(List<Entry> changes, long upToRevision) {
        if (upToRevision < revision) {
            // A store that lost data, or another one: nothing that was read from it before holds.
            invalidate(InvalidReason.REVISION_REGRESSED);
            return;
        }
        changes.stream().sorted(Comparator.comparingLong(Entry::version)).forEach(event -> {
            if (event.version() > upToRevision) {
                invalidate(InvalidReason.REVISION_REGRESSED);
            }
            apply(event);
        });
        revision = upToRevision;
    }

    /** The store no longer has all changes since this replica's revision. */
    public void changesCompacted() {
        invalidate(InvalidReason.CHANGES_COMPACTED);
    }

    private void invalidate(InvalidReason reason) {
        if (invalidReason == null) {
            invalidReason = reason;
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
