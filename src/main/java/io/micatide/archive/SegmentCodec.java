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
 * Encodes and decodes segments. A segment holds the ids of its jobs in ascending order, each id without the prefix that it shares with the
 * previous one, then the outcomes; all of it is deflated. With ids of six digits a job takes about 2.5 bytes.
 */
public final class SegmentCodec {
    /** Size of a digest, large enough to rule out that two values of an archive have the same digest by chance. */
    private static final int DIGEST_BYTES = 16;
    /** Limit of the unpacked content; a value of 64 KiB that unpacks to more than this is damaged. */
    private static final int MAX_UNPACKED_BYTES = 8 << 20;

    /** Number of the lowest bits of an encoded outcome, which hold its kind; the bits above hold the number of tasks. */
    private static final int OUTCOME_BITS = 2;

    private static final int OUTCOME_MASK = (1 << OUTCOME_BITS) - 1;
    private static final int DONE = 0;
    private static final int CANCELLED = 1;
    private static final int CANCELLED_SERVICE = 2;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = 0x7f;
    private static final int VARINT_CONTINUES = 0x80;

    private static final String MALFORMED_SEGMENT = "malformed segment";

    private SegmentCodec() {}

    /**
     * Packs jobs into the value of a segment.
     *
     * @param key key under which the value will be stored, which the digest covers as well
     * @param jobs jobs in ascending order of their ids, without duplicates
     * @return the value of the segment
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
     * @param key key under which the segment is stored
     * @param segment the stored value
     * @return jobs in ascending order of their ids
     * @throws DamagedSegmentException if the digest does not match or the content is malformed; the message names the key
     */
    public static List<ArchivedJob> unpack(String key, StoredRecord.ArchiveSegment segment)
            throws DamagedSegmentException {
        if (!digest(key, segment.packed()).equals(segment.digest())) {
            throw new DamagedSegmentException(key, "digest mismatch");
        }
        byte[] plain = inflate(key, segment.packed());
        Reader in = new Reader(key, plain);
        int count = in.readVarint();
        if (count < 0 || count > plain.length) {
            throw new DamagedSegmentException(key, MALFORMED_SEGMENT);
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
     * @param key key under which the segment is stored
     * @param segment the stored value
     * @param id the job's id
     * @return the job's outcome, or null if the segment does not hold the job
     * @throws DamagedSegmentException under the conditions of {@link #unpack}
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
                    throw new DamagedSegmentException(key, MALFORMED_SEGMENT);
                }
                out.write(buffer, 0, inflatedBytes);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new DamagedSegmentException(key, MALFORMED_SEGMENT);
        } finally {
            inflater.end();
        }
    }

    /** Reads the inflated content of a segment with bounds checks; malformed content gives a {@link DamagedSegmentException}. */
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
            throw new DamagedSegmentException(key, MALFORMED_SEGMENT);
        }

        byte[] readId(byte[] previousId) throws DamagedSegmentException {
            int shared = readVarint();
            int rest = readVarint();
            if (shared < 0 || shared > previousId.length || rest < 0 || rest > content.length - position) {
                throw new DamagedSegmentException(key, MALFORMED_SEGMENT);
            }
            byte[] id = new byte[shared + rest];
            System.arraycopy(previousId, 0, id, 0, shared);
            System.arraycopy(content, position, id, shared, rest);
            position += rest;
            return id;
        }
    }
}
