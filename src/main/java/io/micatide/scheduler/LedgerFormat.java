package io.micatide.scheduler;

import io.micatide.model.Settings;
import io.micatide.store.MachineNameCodec;
import java.util.Collection;

/** How the ledgers of a term are laid out: tasks of a page, form of machine names and what a value has room for. */
final class LedgerFormat {
    /** What a ledger value takes besides names and ranges. */
    private static final int VALUE_OVERHEAD_BYTES = 64;
    /** What a plain name takes besides its letters: quotes and comma. */
    private static final int NAME_OVERHEAD_BYTES = 3;
    /** More than a compressed name takes beside others, even with thousands of machines between them. */
    private static final int MAX_COMPRESSED_NAME_BYTES = 5;
    /** By how much a list of names may fall short of its room and still be full. */
    private static final int FULL_MARGIN_BYTES = 16;

    private final Settings settings;
    private long layoutVersion;
    /** By the settings, until the layout record says with what size the stored pages were written. */
    private int pageTasks;

    LedgerFormat(Settings settings) {
        this.settings = settings;
        this.pageTasks = settings.pageTasks();
    }

    /**
     * The layout record was read: every controller reads compressed names, and pages hold so many tasks.
     *
     * @param version of the layout record, a condition of each batch with compressed names; 0 if there is no record
     */
    void layoutMarked(long version, int tasksOfPage) {
        layoutVersion = version;
        pageTasks = tasksOfPage;
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

    /** Bytes of a value that names and finished ranges share. */
    int contentBytes() {
        return settings.maxWritableValueBytes() - VALUE_OVERHEAD_BYTES;
    }

    /** Bytes of the first page that may name machines. Finished ranges have the rest, and what the names leave. */
    int maxNameBytes() {
        return contentBytes() * 5 / 8;
    }

    /** Bytes of finished ranges that the first page certainly has room for beside these bytes of required names. */
    int firstPageRangeBytes(int requiredNameBytes) {
        return contentBytes() - Math.max(requiredNameBytes, Math.min(maxNameBytes(), contentBytes() / 4));
    }

    /** Bytes that these names take in a ledger. */
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

    /** Upper bound of the bytes that one more name takes. */
    int maxBytesOf(String name) {
        return compressesNames() ? MAX_COMPRESSED_NAME_BYTES : name.length() + NAME_OVERHEAD_BYTES;
    }

    /** Whether a list of names that takes so many bytes has no room for another. */
    boolean isFull(int nameBytes) {
        return nameBytes > maxNameBytes() - FULL_MARGIN_BYTES;
    }

    /** How many candidate machines are worth asking for: more than fit, whatever their names. */
    int maxCandidateMachines() {
        return maxNameBytes() / (compressesNames() ? 2 : 8);
    }
}
