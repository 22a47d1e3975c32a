package io.micatide.snapshot;

import io.micatide.net.Reply;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.RawState;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Takes an image while users go on: pages of each prefix, and after each page the changes since the first one, so that the service
 * never forgets what is still to be read. In the end the changes of all prefixes up to one revision make one cut of all of it. Rests on
 * the protocol's word that a response holds all changes: one that is younger than the cut is left out, and the one before it is there.
 */
public final class ImageTaker {
    private static final int PAGE = 500;
    private static final int MOST_TRIES = 20;

    private final StateCalls calls;
    private final Consumer<String> progress;
    private final TreeMap<String, RawState.Value> values = new TreeMap<>();
    /** Keys that went while they were read: a page that is older may still show them. */
    private final Map<String, Long> deleted = new HashMap<>();

    private final Map<String, Long> readTo = new HashMap<>();

    /** @param progress is told a line now and then */
    public ImageTaker(StateCalls calls, Consumer<String> progress) {
        this.calls = calls;
        this.progress = progress;
    }

    /** @throws SnapshotException the service does not answer, or forgot changes that were needed; nothing was kept then */
    public Image take() throws SnapshotException {
        for (String prefix : Image.PREFIXES) {
            pages(prefix);
        }
        long cut = Long.MAX_VALUE;
        Map<String, RawState.Values> last = new HashMap<>();
        for (String prefix : Image.PREFIXES) {
            RawState.Values changes = changes(prefix);
            last.put(prefix, changes);
            cut = Math.min(cut, changes.revision());
        }
        for (RawState.Values changes : last.values()) {
            apply(changes, cut);
        }
        progress.accept(values.size() + " values at revision " + cut);
        return new Image(cut, values);
    }

    private void pages(String prefix) throws SnapshotException {
        String after = null;
        int pages = 0;
        boolean more = true;
        while (more) {
            RawState.Values page =
                    read("/store?starts=" + prefix + (after == null ? "" : "&from=" + after) + "&most=" + PAGE, true);
            readTo.putIfAbsent(prefix, page.revision());
            for (RawState.Value value : page.values()) {
                put(value);
                after = value.key();
            }
            more = page.more() && !page.values().isEmpty();
            if (more) {
                // All of them are applied: those of keys that are still to come are read again with their pages.
                RawState.Values changes = changes(prefix);
                apply(changes, Long.MAX_VALUE);
                readTo.put(prefix, changes.revision());
            }
            if (++pages % 20 == 0) {
                progress.accept(values.size() + " values, at " + after);
            }
        }
    }

    private void apply(RawState.Values changes, long upTo) {
        for (RawState.Value value : changes.values()) {
            if (value.stamp() <= upTo) {
                put(value);
            }
        }
    }

    private void put(RawState.Value value) {
        RawState.Value known = values.get(value.key());
        if ((known != null && known.stamp() >= value.stamp())
                || deleted.getOrDefault(value.key(), 0L) >= value.stamp()) {
            return;
        }
        if (value.json() == null) {
            values.remove(value.key());
            deleted.put(value.key(), value.stamp());
        } else {
            values.put(value.key(), value);
        }
    }

    private RawState.Values changes(String prefix) throws SnapshotException {
        return read("/changes?starts=" + prefix + "&from=" + readTo.get(prefix), false);
    }

    private RawState.Values read(String path, boolean page) throws SnapshotException {
        int status = 0;
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            Reply reply = calls.get(path);
            status = reply.status();
            try {
                if (reply.ok()) {
                    return page ? RawState.page(reply.body()) : RawState.changes(reply.body());
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
        throw new SnapshotException(path + ": no answer but " + status + " in " + MOST_TRIES + " tries");
    }
}
