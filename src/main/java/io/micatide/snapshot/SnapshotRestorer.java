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
 * Writes an image into an empty store. First it writes a marker among the job records, which no controller of any version can parse, so that
 * no controller serves an incomplete image; then it writes every value on the condition that the marker exists and the value does not; last
 * it removes the marker. An interrupted restore is repeated with the same file: values that already exist are kept. Not thread-safe: use by
 * one thread at a time.
 */
public final class SnapshotRestorer {
    /** The marker's key. Job records begin with {@code state}; the marker does not, so a controller fails to read the job records. */
    static final String MARKER = StoreKeys.JOBS + "being-restored";
    /** Key that remains after a restore, so that a restore whose last write got no answer can be repeated as well. */
    static final String RESTORED = "restored";

    private static final int MAX_ATTEMPTS = 50;
    private static final int MAX_TRANSACTION_BYTES = 40_000;
    /** Size of a value in a transaction in addition to its content and its key, which is also part of the value's condition. */
    private static final int VALUE_OVERHEAD_BYTES = 64;

    private static final int NO_ANSWER = 0;

    private final StoreCalls calls;
    private final int maxTransactionWrites;
    private final int maxValueBytes;
    private final Consumer<String> progress;

    /**
     * Creates a restorer.
     *
     * @param calls calls of the store
     * @param maxTransactionWrites maximum number of writes in a transaction
     * @param maxValueBytes current maximum size of a value, in bytes
     * @param progress receives lines that report the progress
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
     * @param image the image to write
     * @param digest digest of the image's manifest; a repeated restore must have the same one
     * @param advance whether to raise the store's revision above the image's, which takes writes in proportion to the difference: running
     *     workers have seen fencing tokens up to the image's revision and reject lower ones. May be false only if no machine is left
     * @throws SnapshotException if the store is not empty, does not answer or rejects a write; the message states the value and the cause
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
        List<RawStoreCodec.Value> valuesByVersion =
                new ArrayList<>(image.values().values());
        // By version, jobs are in the order in which they were accepted, so that a job follows its dependencies.
        valuesByVersion.sort(
                Comparator.comparingLong(RawStoreCodec.Value::version).thenComparing(RawStoreCodec.Value::key));
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

    /** Returns the version of the marker, which is written now unless an earlier attempt with the same image left it. */
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

    /** Rewrites the marker until its version is above the image's revision, and returns that version. */
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

    /** Writes values of which some already exist; these must be equal, as they are if an earlier attempt wrote them. */
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

    /** Sends a transaction and retries until there is an answer: its conditions make a retry safe, since a transaction already applied ends in 409. */
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
