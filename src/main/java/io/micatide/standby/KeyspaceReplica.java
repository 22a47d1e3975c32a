package io.micatide.standby;

import io.micatide.store.StoredRecord;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A standby's replica of all store records below one key prefix, updated with the changes since its revision.
 *
 * <p>Invariant: the replica is either complete as of {@link #revision}, or it is not used. Data that contradicts an earlier observation
 * invalidates it until it is read again from the store. A leader starts tasks on the machines in the ledgers without another write, so a
 * replica that lacks one machine would make a task run twice.
 *
 * <p>Not thread-safe.
 */
public class KeyspaceReplica {
    /**
     * A key with its record, or the deletion of a key.
     *
     * @param key the key
     * @param record the record, null for a deletion
     * @param version the store's revision of the last change of the key
     */
    public record Entry(String key, StoredRecord record, long version) {}

    /** Creates the replica of a prefix. Tests may substitute another implementation. */
    @FunctionalInterface
    public interface Factory {
        /**
         * Creates a replica, with the parameters of {@link KeyspaceReplica#KeyspaceReplica}.
         *
         * @param prefix the prefix of the keys
         * @param maxBytes limit of the estimated memory use, in bytes
         * @return an empty replica
         */
        KeyspaceReplica create(String prefix, long maxBytes);
    }

    /** The reason why a replica must not be used until it is read again from the store. */
    public enum InvalidReason {
        /** The estimated memory use exceeded the limit. */
        TOO_LARGE,
        /** A revision or a version was lower than one observed earlier: the store lost data, or it is another store. */
        REVISION_REGRESSED,
        /** The store no longer has all changes since the replica's revision. */
        CHANGES_COMPACTED
    }

    /** Estimated memory use of an entry without its key and its lists. */
    private static final int ENTRY_BYTES = 160;
    /** Memory use of a reference to a machine name that all ledgers share. */
    private static final int NAME_REFERENCE_BYTES = 8;
    /** Limit of the shared names, above which they are cleared: names of machines deleted over weeks would otherwise accumulate. */
    private static final int MAX_SHARED_NAMES = 20_000;

    private final String prefix;
    private final long maxBytes;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    /** Machine names, each mapped to the one instance that all ledgers refer to. */
    private final Map<String, String> sharedNames = new HashMap<>();

    private long estimatedBytes;
    private long revision;
    /** Revision of the last page read. Pages have rising revisions, so a change up to this one may be older than a page's entry. */
    private long lastPageRevision;

    private boolean isFullyRead;
    private InvalidReason invalidReason;

    /**
     * Creates an empty replica.
     *
     * @param prefix the prefix of the keys; entries with other keys are ignored
     * @param maxBytes limit of the estimated memory use, in bytes, beyond which the replica is cleared and invalid
     */
    public KeyspaceReplica(String prefix, long maxBytes) {
        this.prefix = prefix;
        this.maxBytes = maxBytes;
    }

    /**
     * Returns the prefix of the keys.
     *
     * @return the prefix given to the constructor
     */
    public String prefix() {
        return prefix;
    }

    /**
     * Returns the store's revision up to which a complete replica contains all changes.
     *
     * @return the revision, 0 before the first page
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns whether the replica contains everything that was stored at its revision.
     *
     * @return false also if the replica is invalid
     */
    public boolean isComplete() {
        return isFullyRead && invalidReason == null;
    }

    /**
     * Returns whether the replica contains everything that was stored at the given revision.
     *
     * @param minRevision a revision of the store
     * @return whether the replica is complete and its revision is at least the given one
     */
    public boolean isCompleteAt(long minRevision) {
        return isComplete() && revision >= minRevision;
    }

    /**
     * Returns why the replica must not be used until it is read again.
     *
     * @return the reason, null if the replica is valid, whether complete or not
     */
    public InvalidReason invalidReason() {
        return invalidReason;
    }

    /**
     * Returns the estimated memory use.
     *
     * @return the estimate in bytes
     */
    public long estimatedBytes() {
        return estimatedBytes;
    }

    /**
     * Returns the entries of the replica.
     *
     * @return a view of the entries, in the order of the keys
     */
    public Iterable<Entry> entries() {
        return entries.values();
    }

    /**
     * Returns the number of entries.
     *
     * @return the number, 0 or more
     */
    public int size() {
        return entries.size();
    }

    /** Removes all entries and any invalidity, so that the replica can be read again from the store. */
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
     * Loads a page of a full read.
     *
     * @param pageEntries the entries of the page
     * @param isFirst whether the page begins the read; the replica's revision is that of the first page, and changes that later pages
     *     already contain are applied again
     * @param isLast whether the page ends the read
     * @param pageRevision the store's revision at which the page was read
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
     * Applies all changes after {@link #revision}.
     *
     * @param changes the changes, in any order
     * @param upToRevision the revision up to which the changes are complete
     */
    public void applyChanges(List<Entry> changes, long upToRevision) {
        if (upToRevision < revision) {
            // The store lost data, or it is another store: what was read earlier is no longer valid.
            invalidate(InvalidReason.REVISION_REGRESSED);
            return;
        }
        changes.stream().sorted(Comparator.comparingLong(Entry::version)).forEach(change -> {
            if (change.version() > upToRevision) {
                invalidate(InvalidReason.REVISION_REGRESSED);
            }
            apply(change);
        });
        revision = upToRevision;
    }

    /** Invalidates the replica after the store has discarded changes since the replica's revision. */
    public void changesCompacted() {
        invalidate(InvalidReason.CHANGES_COMPACTED);
    }

    private void invalidate(InvalidReason reason) {
        if (invalidReason == null) {
            invalidReason = reason;
        }
    }

    private void apply(Entry entry) {
        if (!entry.key().startsWith(prefix)) {
            return;
        }
        Entry previous = entries.get(entry.key());
        if (previous != null && entry.version() < previous.version()) {
            if (entry.version() > lastPageRevision) {
                invalidate(InvalidReason.REVISION_REGRESSED);
            }
            return;
        }
        if (previous != null) {
            estimatedBytes -= estimatedBytes(previous);
        }
        if (entry.record() == null) {
            entries.remove(entry.key());
            return;
        }
        Entry storedEntry = entry.record() instanceof StoredRecord.Ledger ledger
                ? new Entry(entry.key(), withSharedNames(ledger), entry.version())
                : entry;
        entries.put(entry.key(), storedEntry);
        estimatedBytes += estimatedBytes(storedEntry);
        if (estimatedBytes > maxBytes) {
            clear();
            invalidReason = InvalidReason.TOO_LARGE;
        }
    }

    /** Returns the ledger with shared instances of its machine names, since hundreds of ledgers name the same machines. */
    private StoredRecord.Ledger withSharedNames(StoredRecord.Ledger ledger) {
        if (sharedNames.size() > MAX_SHARED_NAMES) {
            sharedNames.clear();
        }
        return new StoredRecord.Ledger(
                ledger.machines().stream()
                        .map(name -> sharedNames.computeIfAbsent(name, key -> key))
                        .toList(),
                ledger.gangAttempt(),
                ledger.finishedTasks(),
                ledger.compressedNames());
    }

    private static long estimatedBytes(Entry entry) {
        long listBytes = entry.record() instanceof StoredRecord.Ledger ledger
                ? (long) ledger.machines().size() * NAME_REFERENCE_BYTES
                        + ledger.finishedTasks().length()
                : 0;
        return ENTRY_BYTES + entry.key().length() + listBytes;
    }
}
