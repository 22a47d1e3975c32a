package io.micatide.archive;

import io.micatide.model.JobState;
import io.micatide.store.JobOutcome;
import io.micatide.store.StoredRecord;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.Blake3;

/**
 * Packs a segment: jobs in the order of their ids, each id without what it shares with the one before, then the outcomes, all of it
 * deflated. Some 2.5 bytes a job with ids of six digits.
 */
public final class SegmentCodec {
    /** Bytes of a digest; enough that no two values of an archive are taken for each other by chance. */
    private static final int DIGEST_BYTES = 16;
    /** What unpacking may give at most; a value of 64 KiB cannot hold more in this format but by damage. */
    private static final int MOST_UNPACKED = 8 << 20;

    private static final int OUTCOME_BITS = 2;
    private static final int DONE = 0;
    private static final int CANCELLED = 1;
    private static final int CANCELLED_SERVICE = 2;
    private static final int SEVEN = 7;
    private static final int LOW_SEVEN = 0x7f;
    private static final int MORE = 0x80;

    private SegmentCodec() {}

    /** The value to store under {@code key}; {@code jobs} in the order of their ids, each once. */
    public static StoredRecord.ArchiveSegment pack(String key, List<ArchivedJob> jobs) {
        ByteArrayOutputStream plain = new ByteArrayOutputStream(jobs.size() * 8 + 8);
        number(plain, jobs.size());
        byte[] before = new byte[0];
        for (ArchivedJob job : jobs) {
            byte[] id = job.id().getBytes(StandardCharsets.UTF_8);
            int shared = 0;
            while (shared < id.length && shared < before.length && id[shared] == before[shared]) {
                shared++;
            }
            number(plain, shared);
            number(plain, id.length - shared);
            plain.write(id, shared, id.length - shared);
            before = id;
        }
        for (ArchivedJob job : jobs) {
            number(plain, job.outcome().taskCount() << OUTCOME_BITS | kind(job.outcome()));
        }
        byte[] packed = deflated(plain.toByteArray());
        return new StoredRecord.ArchiveSegment(digest(key, packed), packed);
    }

    private static int kind(JobOutcome outcome) {
        return outcome.state() == JobState.DONE ? DONE : outcome.isService() ? CANCELLED_SERVICE : CANCELLED;
    }

    /**
     * The jobs of a stored segment.
     *
     * @throws DamagedSegmentException its digest is wrong, or it does not unpack; the message names the key
     */
    public static List<ArchivedJob> unpack(String key, StoredRecord.ArchiveSegment segment)
            throws DamagedSegmentException {
        if (!digest(key, segment.packed()).equals(segment.digest())) {
            throw new DamagedSegmentException(key, "digest is wrong");
        }
        byte[] plain = inflated(key, segment.packed());
        Reader in = new Reader(key, plain);
        int count = in.number();
        if (count < 0 || count > plain.length) {
            throw new DamagedSegmentException(key, "does not unpack");
        }
        List<String> ids = new ArrayList<>(count);
        byte[] id = new byte[0];
        for (int i = 0; i < count; i++) {
            id = in.id(id);
            ids.add(new String(id, StandardCharsets.UTF_8));
        }
        List<ArchivedJob> jobs = new ArrayList<>(count);
        for (String each : ids) {
            int number = in.number();
            int kind = number & (1 << OUTCOME_BITS) - 1;
            jobs.add(new ArchivedJob(
                    each,
                    new JobOutcome(
                            kind == DONE ? JobState.DONE : JobState.CANCELLED,
                            kind == CANCELLED_SERVICE,
                            number >>> OUTCOME_BITS)));
        }
        return jobs;
    }

    /**
     * What a stored segment says of one id, or null if it does not hold it.
     *
     * @throws DamagedSegmentException as {@link #unpack}
     */
    public static JobOutcome find(String key, StoredRecord.ArchiveSegment segment, String id)
            throws DamagedSegmentException {
        for (ArchivedJob job : unpack(key, segment)) {
            if (job.id().equals(id)) {
                return job.outcome();
            }
        }
        return null;
    }

    private static String digest(String key, byte[] packed) {
        byte[] sum = new byte[DIGEST_BYTES];
        Blake3.initHash()
                .update(key.getBytes(StandardCharsets.UTF_8))
                .update(new byte[1])
                .update(packed)
                .doFinalize(sum);
        return Hex.encodeHexString(sum);
    }

    private static void number(ByteArrayOutputStream out, int number) {
        int rest = number;
        while (rest >>> SEVEN != 0) {
            out.write((rest & LOW_SEVEN) | MORE);
            rest >>>= SEVEN;
        }
        out.write(rest);
    }

    private static byte[] deflated(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        try {
            deflater.setInput(plain);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 2 + 16);
            byte[] buffer = new byte[4096];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflated(String key, byte[] packed) throws DamagedSegmentException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(packed);
            ByteArrayOutputStream out = new ByteArrayOutputStream(packed.length * 4 + 16);
            byte[] buffer = new byte[4096];
            while (!inflater.finished()) {
                int some = inflater.inflate(buffer);
                if ((some == 0 && (inflater.needsInput() || inflater.needsDictionary()))
                        || out.size() > MOST_UNPACKED) {
                    throw new DamagedSegmentException(key, "does not unpack");
                }
                out.write(buffer, 0, some);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new DamagedSegmentException(key, "does not unpack");
        } finally {
            inflater.end();
        }
    }

    /** Reads what {@link #pack} wrote; never past its end. */
    private static final class Reader {
        private final String key;
        private final byte[] plain;
        private int at;

        Reader(String key, byte[] plain) {
            this.key = key;
            this.plain = plain;
        }

        int number() throws DamagedSegmentException {
            int number = 0;
            for (int shift = 0; shift < Integer.SIZE; shift += SEVEN) {
                if (at >= plain.length) {
                    break;
                }
                int next = plain[at++];
                number |= (next & LOW_SEVEN) << shift;
                if (next >= 0) {
                    return number;
                }
            }
            throw new DamagedSegmentException(key, "does not unpack");
        }

        byte[] id(byte[] before) throws DamagedSegmentException {
            int shared = number();
            int rest = number();
            if (shared < 0 || shared > before.length || rest < 0 || rest > plain.length - at) {
                throw new DamagedSegmentException(key, "does not unpack");
            }
            byte[] id = new byte[shared + rest];
            System.arraycopy(before, 0, id, 0, shared);
            System.arraycopy(plain, at, id, shared, rest);
            at += rest;
            return id;
        }
    }
}
