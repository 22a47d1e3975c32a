package io.micatide.scheduler;

import io.micatide.model.Settings;
import io.micatide.store.MachineNameCodec;
import java.util.Collection;

/** Layout of the ledgers of a term: tasks per page, encoding of machine names, and how many bytes a value can hold. */
final class LedgerFormat {
    /** Bytes of a ledger value besides names and ranges. */
    private static final int VALUE_OVERHEAD_BYTES = 64;
    /** Bytes of an uncompressed name besides its characters: two quotes and a comma. */
    private static final int NAME_OVERHEAD_BYTES = 3;
    /** Upper bound of the bytes that a compressed name adds to a list, even with thousands of machines between neighbors. */
    private static final int MAX_COMPRESSED_NAME_BYTES = 5;
    /** A list of names counts as full if fewer bytes than this are left. */
    private static final int FULL_MARGIN_BYTES = 16;

    private final Settings settings;
    /** Version of the layout record, or 0 if there is none. */
    private long layoutVersion;
    /** Tasks per page: from the settings until the layout record gives the size with which the stored pages were written. */
    private int pageTasks;

    LedgerFormat(Settings settings) {
        this.settings = settings;
        this.pageTasks = settings.pageTasks();
    }

    /**
     * Applies the layout record. If there is one, every controller can read compressed names.
     *
     * @param version version of the layout record, a condition of each batch with compressed names; 0 if there is no record
     * @param tasksPerPage the number of tasks of a page
     */
    void layoutMarked(long version, int tasksPerPage) {
        layoutVersion = version;
        pageTasks = tasksPerPage;
    }

    long layoutVersion() {
        return layoutVersion;
    }

    int pageTasks() {
        return pageTasks;
    }

    boolean compressesNames() {
        return layoutVersion > 0;
    }

    /** Returns the number of bytes of a value that machine names and finished ranges share. */
    int contentBytes() {
        return settings.maxWritableValueBytes() - VALUE_OVERHEAD_BYTES;
    }

    /** Returns the number of bytes of the first page that machine names may use. Finished ranges may use all that the names do not. */
    int maxNameBytes() {
        return contentBytes() * 5 / 8;
    }

    /** Returns the number of bytes of the first page that are guaranteed to finished ranges, given the bytes of the required machine names. */
    int firstPageRangeBytes(int requiredNameBytes) {
        return contentBytes() - Math.max(requiredNameBytes, Math.min(maxNameBytes(), contentBytes() / 4));
    }

    /** Returns the number of bytes that these names take in a ledger. */
    int encodedBytes(Collection<String> names) {
        if (compressesNames()) {
            return MachineNameCodec.compressedBytes(names);
        }
        int bytes = 0;
        for (String name : names) {
            bytes += name.length() + NAME_OVERHEAD_BYTES;
        }
        return bytes;
    }

    /** Returns an upper bound of the bytes that one more name adds. */
    int maxBytesOf(String name) {
        return compressesNames() ? MAX_COMPRESSED_NAME_BYTES : name.length() + NAME_OVERHEAD_BYTES;
    }

    /** Returns whether a list of names of this size cannot take another name. */
    boolean isFull(int nameBytes) {
        return nameBytes > maxNameBytes() - FULL_MARGIN_BYTES;
    }

    /** Returns an upper bound of the number of candidate machines that can fit; it holds for any names. */
    int maxCandidateMachines() {
        return maxNameBytes() / (compressesNames() ? 2 : 8);
    }
}
