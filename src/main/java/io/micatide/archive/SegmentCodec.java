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
 * The format of a segment: jobs in the order of their ids, each id without what it shares with the one before, then the outcomes, all of it
 * deflated. Some 2.5 bytes a job with ids of six digits.
 */
public final class SegmentCodec {
    /** Bytes of a digest; enough that no two values of an archive are taken for each other by chance. */
    private static final int DIGEST_BYTES = 16;
    /** What unpacking may give at most; a value of 64 KiB cannot hold more in this format but by damage. */
    private static final int MAX_UNPACKED_BYTES = 8 << 20;

    /** Lowest bits of an outcome's number; the rest is the number of tasks. */
    private static final int OUTCOME_BITS = 2;

    private static final int OUTCOME_MASK = (1 << OUTCOME_BITS) - 1;
    private static final int DONE = 0;
    private static final int CANCELLED = 1;
    private static final int CANCELLED_SERVICE = 2;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = 0x7f;
    private static final int VARINT_CONTINUES = 0x80;

    private static final String MALFORMED_CONTENT = "does not unpack";

    private SegmentCodec() {}

    /**
     * Packs jobs into the value of a segment.
     *
     * @param key under which the value will be stored; its digest covers the key
     * @param jobs in the order of their ids, each once
     * @return the value
     */
    public static StoredRecord.ArchiveSegment pack(String key, List<ArchivedJob> jobs) {
        ByteArrayOutputStream plain = new ByteArrayOutputStream(jobs.size() * 8 + 8);
        writeVarint(plain, jobs.size());
        byte[] previousId = new byte[0];
        for (ArchivedJob job : jobs) {
            byte[] id = job.id().getBytes(StandardCharsets.UTF_8);
            writeId(plain, id, previousId);
            previousId = id;
        }
        for (ArchivedJob job : jobs) {
            writeVarint(plain, job.outcome().taskCount() << OUTCOME_BITS | outcomeKind(job.outcome()));
        }
        byte[] packed = deflate(plain.toByteArray());
        return new StoredRecord.ArchiveSegment(digest(key, packed), packed);
    }

    private static void writeId(ByteArrayOutputStream out, byte[] id, byte[] previousId) {
        int shared = 0;
        while (shared < id.length && shared < previousId.length && id[shared] == previousId[shared]) {
            shared++;
        }
        writeVarint(out, shared);
        writeVarint(out, id.length - shared);
        out.write(id, shared, id.length - shared);
    }

    private static int outcomeKind(JobOutcome outcome) {
        if (outcome.state() == JobState.DONE) {
            return DONE;
        }
        return outcome.isService() ? CANCELLED_SERVICE : CANCELLED;
    }

    private static JobOutcome outcome(int number) {
        int kind = number & OUTCOME_MASK;
        return new JobOutcome(
                kind == DONE ? JobState.DONE : JobState.CANCELLED, kind == CANCELLED_SERVICE, number >>> OUTCOME_BITS);
    }

    /**
     * Unpacks the jobs of a stored segment.
     *
     * @param key under which it is stored
     * @param segment the value
     * @return jobs in the order of their ids
     * @throws DamagedSegmentException its digest is wrong, or it does not unpack; the message names the key
     */
    public static List<ArchivedJob> unpack(String key, StoredRecord.ArchiveSegment segment)
            throws DamagedSegmentException {
        if (!digest(key, segment.packed()).equals(segment.digest())) {
            throw new DamagedSegmentException(key, "digest is wrong");
        }
        byte[] plain = inflate(key, segment.packed());
        Reader in = new Reader(key, plain);
        int count = in.readVarint();
        if (count < 0 || count > plain.length) {
            throw new DamagedSegmentException(key, MALFORMED_CONTENT);
        }
        List<String> ids = new ArrayList<>(count);
        byte[] id = new byte[0];
        for (int i = 0; i < count; i++) {
            id = in.readId(id);
            ids.add(new String(id, StandardCharsets.UTF_8));
        }
        List<ArchivedJob> jobs = new ArrayList<>(count);
        for (String jobId : ids) {
            jobs.add(new ArchivedJob(jobId, outcome(in.readVarint())));
        }
        return jobs;
    }

    /**
     * Looks up one job in a stored segment.
     *
     * @param key under which it is stored
     * @param segment the value
     * @param id the job's id
     * @return its outcome, null if the segment does not hold the job
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

    private static void writeVarint(ByteArrayOutputStream out, int number) {
        int rest = number;
        while (rest >>> VARINT_BITS != 0) {
            out.write((rest & VARINT_MASK) | VARINT_CONTINUES);
            rest >>>= VARINT_BITS;
        }
        out.write(rest);
    }

    private static byte[] deflate(byte[] plain) {
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

    private static byte[] inflate(String key, byte[] packed) throws DamagedSegmentException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(packed);
            ByteArrayOutputStream out = new ByteArrayOutputStream(packed.length * 4 + 16);
            byte[] buffer = new byte[4096];
            while (!inflater.finished()) {
                int inflatedBytes = inflater.inflate(buffer);
                if ((inflatedBytes == 0 && (inflater.needsInput() || inflater.needsDictionary()))
                        || out.size() > MAX_UNPACKED_BYTES) {
                    throw new DamagedSegmentException(key, MALFORMED_CONTENT);
                }
                out.write(buffer, 0, inflatedBytes);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new DamagedSegmentException(key, MALFORMED_CONTENT);
        } finally {
            inflater.end();
        }
    }

    /** Reads the inflated content of a segment; never past its end. */
    private static final class Reader {
        private final String key;
        private final byte[] content;
        private int position;

        Reader(String key, byte[] plain) {
            this.key = key;
            this.content = plain;
        }

        int readVarint() throws DamagedSegmentException {
            int number = 0;
            for (int shift = 0; shift < Integer.SIZE; shift += VARINT_BITS) {
                if (position >= content.length) {
                    break;
                }
                int next = content[position++];
                number |= (next & VARINT_MASK) << shift;
                if (next >= 0) {
                    return number;
                }
            }
            throw new DamagedSegmentException(key, MALFORMED_CONTENT);
        }

        byte[] readId(byte[] previousId) throws DamagedSegmentException {
            int shared = readVarint();
            int rest = readVarint();
            if (shared < 0 || shared > previousId.length || rest < 0 || rest > content.length - position) {
                throw new DamagedSegmentException(key, MALFORMED_CONTENT);
            }
            byte[] id = new byte[shared + rest];
            System.arraycopy(previousId, 0, id, 0, shared);
            System.arraycopy(content, position, id, shared, rest);
            position += rest;
            return id;
        }
    }
}
