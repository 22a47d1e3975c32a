package io.micatide.snapshot;

import io.micatide.net.Reply;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.RawStoreCodec;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Takes an image of the store while it serves. It reads the pages of each prefix, and after each page the changes since the previous read of
 * changes (since the first page at first), so that the store does not compact changes that are still to be read. In the end it applies the
 * changes of all prefixes up to one revision, which gives a consistent cut of all values. This relies on the protocol's guarantee that a
 * response holds all changes, also several of one key: a change after the cut can be left out, since the one before it is in the response too.
 * An instance is used once, by one thread.
 */
public final class SnapshotTaker {
    private static final int PAGE_VALUES = 500;
    private static final int MAX_ATTEMPTS = 20;

    private final StoreCalls calls;
    private final Consumer<String> progress;
    private final TreeMap<String, RawStoreCodec.Value> values = new TreeMap<>();
    /** Version of the deletion by deleted key: an older page may still contain the key. */
    private final Map<String, Long> deletedVersions = new HashMap<>();

    /** Revision up to which the changes were read, by prefix. */
    private final Map<String, Long> readRevisions = new HashMap<>();

    /**
     * Creates a snapshot taker.
     *
     * @param calls calls of the store
     * @param progress receives lines that report the progress
     */
    public SnapshotTaker(StoreCalls calls, Consumer<String> progress) {
        this.calls = calls;
        this.progress = progress;
    }

    /**
     * Takes the image.
     *
     * @return all values at one revision
     * @throws SnapshotException if the store does not answer or compacted changes that were needed; no image exists then
     */
    public StoreImage take() throws SnapshotException {
        for (String prefix : StoreImage.PREFIXES) {
            readPages(prefix);
        }
        long cut = Long.MAX_VALUE;
        Map<String, RawStoreCodec.Page> lastChanges = new HashMap<>();
        for (String prefix : StoreImage.PREFIXES) {
            RawStoreCodec.Page changes = readChanges(prefix);
            lastChanges.put(prefix, changes);
            cut = Math.min(cut, changes.revision());
        }
        for (RawStoreCodec.Page changes : lastChanges.values()) {
            apply(changes, cut);
        }
        progress.accept(values.size() + " values at revision " + cut);
        return new StoreImage(cut, values);
    }

    private void readPages(String prefix) throws SnapshotException {
        String after = null;
        int pages = 0;
        boolean more = true;
        while (more) {
            RawStoreCodec.Page page = read(
                    "/store?starts=" + prefix + (after == null ? "" : "&from=" + after) + "&most=" + PAGE_VALUES, true);
            readRevisions.putIfAbsent(prefix, page.revision());
            for (RawStoreCodec.Value value : page.values()) {
                put(value);
                after = value.key();
            }
            more = page.hasMore() && !page.values().isEmpty();
            if (more) {
                // All changes are applied; keys on later pages are read again with these pages.
                RawStoreCodec.Page changes = readChanges(prefix);
                apply(changes, Long.MAX_VALUE);
                readRevisions.put(prefix, changes.revision());
            }
            if (++pages % 20 == 0) {
                progress.accept(values.size() + " values, at " + after);
            }
        }
    }

    private void apply(RawStoreCodec.Page changes, long maxRevision) {
        for (RawStoreCodec.Value value : changes.values()) {
            if (value.version() <= maxRevision) {
                put(value);
            }
        }
    }

    private void put(RawStoreCodec.Value value) {
        RawStoreCodec.Value known = values.get(value.key());
        if ((known != null && known.version() >= value.version())
                || deletedVersions.getOrDefault(value.key(), 0L) >= value.version()) {
            return;
        }
        if (value.json() == null) {
            values.remove(value.key());
            deletedVersions.put(value.key(), value.version());
        } else {
            values.put(value.key(), value);
        }
    }

    private RawStoreCodec.Page readChanges(String prefix) throws SnapshotException {
        return read("/changes?starts=" + prefix + "&from=" + readRevisions.get(prefix), false);
    }

    private RawStoreCodec.Page read(String path, boolean page) throws SnapshotException {
        int status = 0;
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            Reply reply = calls.get(path);
            status = reply.status();
            try {
                if (reply.ok()) {
                    return page ? RawStoreCodec.page(reply.body()) : RawStoreCodec.changes(reply.body());
                }
            } catch (MalformedException e) {
                throw new SnapshotException(path + ": " + e.getMessage());
            }
            if (status == 410) {
                throw new SnapshotException(
                        path + ": the state service has forgotten changes that are needed; read faster");
            }
            calls.pause();
        }
        throw new SnapshotException(path + ": no answer but " + status + " in " + MAX_ATTEMPTS + " tries");
    }
}
