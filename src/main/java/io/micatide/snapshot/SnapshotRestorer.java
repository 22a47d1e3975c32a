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
 * Writes an image into an empty store. First a marker among the job records, past which no controller of any version can read, so that none
 * serves half of an image; then every value on condition that the marker is there and the value is not; last the marker is removed. A
 * restore that was interrupted is repeated with the same file: what is there already stays. One thread at a time.
 */
public final class SnapshotRestorer {
    /** The marker's key. Job records begin with {@code state}; the marker does not, so it stops whoever reads. */
    static final String MARKER = StoreKeys.JOBS + "being-restored";
    /** Stays behind, so that a restore which ended without an answer may be repeated as well. */
    static final String RESTORED = "restored";

    private static final int MAX_ATTEMPTS = 50;
    private static final int MAX_TRANSACTION_BYTES = 40_000;
    /** What a value takes in a transaction besides its content and its key, which stands in its condition as well. */
    private static final int VALUE_OVERHEAD_BYTES = 64;

    private static final int NO_ANSWER = 0;

    private final StoreCalls calls;
    private final int maxTransactionWrites;
    private final int maxValueBytes;
    private final Consumer<String> progress;

    /**
     * Makes a restorer.
     *
     * @param calls of the store
     * @param maxTransactionWrites what a transaction may hold of writes
     * @param maxValueBytes what a value may hold now
     * @param progress is told a line now and then
     */
    public SnapshotRestorer(StoreCalls calls, int maxTransactionWrites, int maxValueBytes, Consumer<String> progress) {
        this.calls = calls;
        this.maxTransactionWrites = maxTransactionWrites;
        this.maxValueBytes = maxValueBytes;
        this.progress = progress;
    }

    /**
     * Restores an image.
     *
     * @param image what to write
     * @param digest of the image's manifest, which a repetition has to have as well
     * @param advance whether the store's revision is brought past the image's, a write for each: agents that run have seen fencing tokens
     *     up to there and obey no lower one. Otherwise no machine may be left
     * @throws SnapshotException the store is not empty, does not answer or refuses; the message says which value and why
     */
    public void restore(StoreImage image, String digest, boolean advance) throws SnapshotException {
        for (RawStoreCodec.Value value : image.values().values()) {
            if (value.json().getBytes(StandardCharsets.UTF_8).length > maxValueBytes) {
                throw new SnapshotException(
                        value.key() + ": is larger than a value of this service may be, nothing was written");
            }
        }
        if (isRestored(digest)) {
            progress.accept("this snapshot was restored here before, nothing is left to do");
            return;
        }
        long marker = writeMarker(digest);
        if (advance) {
            marker = advanceRevision(digest, marker, image.revision());
        }
        writeAll(image, marker);
        removeMarker(digest, marker);
        progress.accept(image.values().size() + " values restored");
    }

    private void writeAll(StoreImage image, long marker) throws SnapshotException {
        List<RawStoreCodec.Value> batch = new ArrayList<>();
        int batchBytes = 0;
        int written = 0;
        List<RawStoreCodec.Value> valuesByVersion = new ArrayList<>(image.values().values());
        // Jobs in the order in which they were accepted: those with dependencies come after these.
        valuesByVersion.sort(Comparator.comparingLong(RawStoreCodec.Value::version).thenComparing(RawStoreCodec.Value::key));
        for (RawStoreCodec.Value value : valuesByVersion) {
            int bytes = value.json().length() + 2 * value.key().length() + VALUE_OVERHEAD_BYTES;
            boolean isFull = batch.size() == maxTransactionWrites || batchBytes + bytes > MAX_TRANSACTION_BYTES;
            boolean hasDependencies = value.json().contains("\"awaits\"");
            if (!batch.isEmpty() && (isFull || hasDependencies)) {
                write(batch, marker);
                written += batch.size();
                progress.accept(written + " of " + valuesByVersion.size() + " values");
                batch.clear();
                batchBytes = 0;
            }
            batch.add(value);
            batchBytes += bytes;
        }
        write(batch, marker);
    }

    private static RawStoreCodec.Value marker(String digest) {
        return new RawStoreCodec.Value(MARKER, "{\"restoring\":\"" + digest + "\"}", 0);
    }

    private boolean isRestored(String digest) throws SnapshotException {
        RawStoreCodec.Value stored = read(RESTORED);
        return stored != null && stored.json().equals(marker(digest).json()) && read(MARKER) == null;
    }

    /** The marker's version: written now, or left by an earlier try with the same image. */
    private long writeMarker(String digest) throws SnapshotException {
        RawStoreCodec.Value stored = read(MARKER);
        if (stored == null) {
            String found = findAnyKey();
            if (found != null) {
                throw new SnapshotException(
                        "the state service is not empty: it holds " + found + "; nothing was written");
            }
            post(RawStoreCodec.putNew(List.of(marker(digest)), null, 0));
            stored = read(MARKER);
        }
        if (stored == null || !stored.json().equals(marker(digest).json())) {
            throw new SnapshotException(
                    "another snapshot is being restored into this state service; nothing was written");
        }
        return stored.version();
    }

    private String findAnyKey() throws SnapshotException {
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
    private long advanceRevision(String digest, long markerVersion, long imageRevision) throws SnapshotException {
        long version = markerVersion;
        for (long count = 0; version <= imageRevision; count++) {
            if (count % 500 == 0) {
                progress.accept("revision " + version + " of " + imageRevision);
            }
            post(RawStoreCodec.delete(MARKER, version));
            post(RawStoreCodec.putNew(List.of(marker(digest)), null, 0));
            RawStoreCodec.Value stored = read(MARKER);
            if (stored == null) {
                throw new SnapshotException(MARKER + ": went meanwhile");
            }
            version = stored.version();
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
                writeOneByOne(values, marker);
                return;
            }
        } catch (MalformedException e) {
            throw new SnapshotException("transaction: " + e.getMessage());
        }
        throw new SnapshotException(values.get(0).key() + " and others: refused with " + reply.status() + " "
                + new String(reply.body(), StandardCharsets.UTF_8));
    }

    /** Some are there already: by an earlier try, in which case they are the same. */
    private void writeOneByOne(List<RawStoreCodec.Value> values, long marker) throws SnapshotException {
        for (RawStoreCodec.Value value : values) {
            Reply reply = post(RawStoreCodec.putNew(List.of(value), MARKER, marker));
            if (reply.ok()) {
                continue;
            }
            RawStoreCodec.Value stored = read(value.key());
            if (stored == null || !stored.json().equals(value.json())) {
                throw new SnapshotException(value.key() + ": is there with another value");
            }
        }
    }

    private void removeMarker(String digest, long marker) throws SnapshotException {
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
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            Reply reply = calls.get(path);
            if (reply.ok() || reply.status() == 404) {
                return reply;
            }
            calls.pause();
        }
        throw new SnapshotException(path + ": no answer in " + MAX_ATTEMPTS + " tries; repeat the restore later");
    }

    /** Sent again until there is an answer: the conditions make a repetition harmless, and one that was carried out ends in 409. */
    private Reply post(byte[] body) throws SnapshotException {
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            Reply reply = calls.post("/txn", body);
            if (reply.status() != 429 && reply.status() != 503 && reply.status() != NO_ANSWER) {
                return reply;
            }
            calls.pause();
        }
        throw new SnapshotException("no answer in " + MAX_ATTEMPTS + " tries; repeat the restore later");
    }
}
