package io.micatide.snapshot;

import io.micatide.net.Reply;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.RawStoreCodec;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.StoreKeys;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes an image into an empty state service. First a marker among the job rows, past which no controller of any version can read, so
 * that none serves half of an image; then every value on condition of the marker and of its absence; last the marker goes. A restore that was
 * interrupted is repeated with the same file: what is there already is left.
 */
public final class SnapshotRestorer {
    /** Rows of jobs begin with {@code state}; this one does not, so it stops whoever reads. */
    static final String MARKER = StoreKeys.JOBS + "being-restored";
    /** Stays behind, so that a restore which ended without an answer may be repeated as well. */
    static final String RESTORED = "restored";

    private static final int MOST_TRIES = 50;
    private static final int MOST_BYTES = 40_000;
    private static final int NO_ANSWER = 0;

    private final StoreCalls calls;
    private final int mostChanges;
    private final int mostValueBytes;
    private final Consumer<String> progress;

    /**
     * @param mostChanges of a transaction
     * @param mostValueBytes what a value may hold now
     */
    public SnapshotRestorer(StoreCalls calls, int mostChanges, int mostValueBytes, Consumer<String> progress) {
        this.calls = calls;
        this.mostChanges = mostChanges;
        this.mostValueBytes = mostValueBytes;
        this.progress = progress;
    }

    /**
     * @param digest of the image's manifest, which a repetition has to have as well
     * @param advance whether the service's revision is brought past the image's, a write for each: workers that live have seen tokens up
     *     to there and listen to no lower one. Otherwise no machine may be left
     */
    public void restore(StoreImage image, String digest, boolean advance) throws SnapshotException {
        for (RawStoreCodec.Value value : image.values().values()) {
            if (value.json().getBytes(StandardCharsets.UTF_8).length > mostValueBytes) {
                throw new SnapshotException(
                        value.key() + ": is larger than a value of this service may be, nothing was written");
            }
        }
        if (restored(digest)) {
            progress.accept("this snapshot was restored here before, nothing is left to do");
            return;
        }
        long marker = begin(digest);
        if (advance) {
            marker = advance(digest, marker, image.revision());
        }
        List<RawStoreCodec.Value> some = new ArrayList<>();
        int bytes = 0;
        int written = 0;
        List<RawStoreCodec.Value> inOrder = new ArrayList<>(image.values().values());
        // Jobs in the order in which they were accepted: those that need others come after them.
        inOrder.sort(Comparator.comparingLong(RawStoreCodec.Value::stamp).thenComparing(RawStoreCodec.Value::key));
        for (RawStoreCodec.Value value : inOrder) {
            int size = value.json().length() + 2 * value.key().length() + 64;
            boolean needs = value.json().contains("\"awaits\"");
            if (!some.isEmpty() && (some.size() == mostChanges || bytes + size > MOST_BYTES || needs)) {
                write(some, marker);
                written += some.size();
                progress.accept(written + " of " + inOrder.size() + " values");
                some.clear();
                bytes = 0;
            }
            some.add(value);
            bytes += size;
        }
        write(some, marker);
        end(digest, marker);
        progress.accept(inOrder.size() + " values restored");
    }

    private static RawStoreCodec.Value marker(String digest) {
        return new RawStoreCodec.Value(MARKER, "{\"restoring\":\"" + digest + "\"}", 0);
    }

    private boolean restored(String digest) throws SnapshotException {
        RawStoreCodec.Value there = read(RESTORED);
        return there != null && there.json().equals(marker(digest).json()) && read(MARKER) == null;
    }

    /** The marker's version: written now, or left by an earlier try with the same image. */
    private long begin(String digest) throws SnapshotException {
        RawStoreCodec.Value there = read(MARKER);
        if (there == null) {
            String found = anything();
            if (found != null) {
                throw new SnapshotException(
                        "the state service is not empty: it holds " + found + "; nothing was written");
            }
            post(RawStoreCodec.putNew(List.of(marker(digest)), null, 0));
            there = read(MARKER);
        }
        if (there == null || !there.json().equals(marker(digest).json())) {
            throw new SnapshotException(
                    "another snapshot is being restored into this state service; nothing was written");
        }
        return there.stamp();
    }

    private String anything() throws SnapshotException {
        List<String> prefixes = new ArrayList<>(StoreImage.PREFIXES);
        prefixes.add(StoreKeys.LEADER);
        for (String prefix : prefixes) {
            try {
                List<RawStoreCodec.Value> values = RawStoreCodec.page(
                                get("/store?starts=" + prefix + "&most=1").body())
                        .values();
                if (!values.isEmpty()) {
                    return values.get(0).key();
                }
            } catch (MalformedException e) {
                throw new SnapshotException(prefix + ": " + e.getMessage());
            }
        }
        return null;
    }

    /** The marker is rewritten until its version is past the image's revision. */
    private long advance(String digest, long from, long past) throws SnapshotException {
        long version = from;
        for (long count = 0; version <= past; count++) {
            if (count % 500 == 0) {
                progress.accept("revision " + version + " of " + past);
            }
            post(RawStoreCodec.delete(MARKER, version));
            post(RawStoreCodec.putNew(List.of(marker(digest)), null, 0));
            RawStoreCodec.Value there = read(MARKER);
            if (there == null) {
                throw new SnapshotException(MARKER + ": went meanwhile");
            }
            version = there.stamp();
        }
        return version;
    }

    private void write(List<RawStoreCodec.Value> values, long marker) throws SnapshotException {
        if (values.isEmpty()) {
            return;
        }
        Reply reply = post(RawStoreCodec.putNew(values, MARKER, marker));
        if (reply.ok()) {
            return;
        }
        try {
            if (reply.status() == 409 && !StoreCodec.failedKeys(reply.body()).contains(MARKER)) {
                oneByOne(values, marker);
                return;
            }
        } catch (MalformedException e) {
            throw new SnapshotException("transaction: " + e.getMessage());
        }
        throw new SnapshotException(values.get(0).key() + " and others: refused with " + reply.status() + " "
                + new String(reply.body(), StandardCharsets.UTF_8));
    }

    /** Some are there already: by an earlier try, in which case they are the same. */
    private void oneByOne(List<RawStoreCodec.Value> values, long marker) throws SnapshotException {
        for (RawStoreCodec.Value value : values) {
            Reply reply = post(RawStoreCodec.putNew(List.of(value), MARKER, marker));
            if (reply.ok()) {
                continue;
            }
            RawStoreCodec.Value there = read(value.key());
            if (there == null || !there.json().equals(value.json())) {
                throw new SnapshotException(value.key() + ": is there with another value");
            }
        }
    }

    private void end(String digest, long marker) throws SnapshotException {
        Reply reply = post(RawStoreCodec.replace(
                MARKER, marker, new RawStoreCodec.Value(RESTORED, marker(digest).json(), 0)));
        if (!reply.ok() && read(MARKER) != null) {
            throw new SnapshotException(MARKER + ": could not be removed, " + reply.status());
        }
    }

    // ---- calls

    private RawStoreCodec.Value read(String key) throws SnapshotException {
        Reply reply = get("/store/" + key);
        try {
            return reply.status() == 404 ? null : RawStoreCodec.value(reply.body());
        } catch (MalformedException e) {
            throw new SnapshotException(key + ": " + e.getMessage());
        }
    }

    private Reply get(String path) throws SnapshotException {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            Reply reply = calls.get(path);
            if (reply.ok() || reply.status() == 404) {
                return reply;
            }
            calls.pause();
        }
        throw new SnapshotException(path + ": no answer in " + MOST_TRIES + " tries; repeat the restore later");
    }

    /** Sent again until there is an answer: the conditions make a repetition harmless, and one that was carried out ends in 409. */
    private Reply post(byte[] body) throws SnapshotException {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            Reply reply = calls.post("/txn", body);
            if (reply.status() != 429 && reply.status() != 503 && reply.status() != NO_ANSWER) {
                return reply;
            }
            calls.pause();
        }
        throw new SnapshotException("no answer in " + MOST_TRIES + " tries; repeat the restore later");
    }
}
