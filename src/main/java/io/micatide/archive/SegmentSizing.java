package io.micatide.archive;

import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * Decides in how many segments a run is written, so that each fits a value of the store.
 *
 * <p>Invariant: the room for a segment only ever shrinks, and never below {@link #MIN_SEGMENT_BYTES}.
 */
final class SegmentSizing {
    /** What a value takes besides the packed bytes, which base64 makes longer by a third. */
    private static final int VALUE_OVERHEAD_BYTES = 96;

    private static final int MAX_SEGMENT_BYTES = 16 * 1024;
    private static final int MIN_SEGMENT_BYTES = 512;
    /**
     * Standard deviations of free room in a segment. The segments of a run differ by chance, by the square root of the jobs that one
     * holds, and one that is too full costs the whole run anew; with this margin one segment in 300,000 is.
     */
    private static final double HEADROOM_DEVIATIONS = 4.5;

    private int valueBytes;

    /** @param valueBytes largest value that the store takes */
    SegmentSizing(int valueBytes) {
        this.valueBytes = Math.min(valueBytes, MAX_SEGMENT_BYTES);
    }

    /** Whether a segment fits a value. */
    boolean fits(StoredRecord.ArchiveSegment segment) {
        return segment.packed().length <= capacityBytes();
    }

    /** The number of segments for jobs that are at hand, found by packing them. */
    int segmentsForJobs(HashPartitioner partitioner, List<ArchivedJob> jobs) {
        int segments = 1;
        while (!allSegmentsFit(partitioner, jobs, segments)) {
            segments = increase(segments);
        }
        return segments;
    }

    /**
     * The number of segments for a merge, estimated.
     *
     * @param jobs how many jobs the merged runs hold
     * @param bytes what they take packed
     */
    int segmentsForMerge(long jobs, long bytes) {
        if (bytes <= capacityBytes() / 2) {
            return 1;
        }
        // With m jobs in a segment, m plus the headroom in standard deviations has to fit.
        double capacityJobs = (double) capacityBytes() * jobs / bytes;
        double root =
                (Math.sqrt(HEADROOM_DEVIATIONS * HEADROOM_DEVIATIONS + 4 * capacityJobs) - HEADROOM_DEVIATIONS) / 2;
        return (int) Math.max(1, Math.ceil(jobs / Math.max(1, root * root)));
    }

    /** The next number to try after {@code segments} were too few. */
    static int increase(int segments) {
        return Math.max(segments + 1, segments * 5 / 4);
    }

    /**
     * Plans with smaller values from now on, after the store rejected one.
     *
     * @return false if they are as small as they may be
     */
    boolean reduce() {
        if (valueBytes <= MIN_SEGMENT_BYTES) {
            return false;
        }
        valueBytes = Math.max(MIN_SEGMENT_BYTES, valueBytes * 3 / 4);
        return true;
    }

    private boolean allSegmentsFit(HashPartitioner partitioner, List<ArchivedJob> jobs, int segments) {
        SegmentMerger merger = new SegmentMerger(partitioner, segments, List.of(), jobs);
        for (int number = 0; number < segments; number++) {
            if (!fits(SegmentCodec.pack("", merger.takeSegment(number)))) {
                return false;
            }
        }
        return true;
    }

    private int capacityBytes() {
        return (valueBytes - VALUE_OVERHEAD_BYTES) * 3 / 4;
    }
}
