package io.micatide.archive;

import io.micatide.store.StoredRecord;
import java.util.List;

/**
 * Decides how many segments a run has, so that each segment fits a value of the store.
 *
 * <p>Invariant: the planned size of a value is never increased; reductions stop at {@link #MIN_SEGMENT_BYTES}.
 */
final class SegmentSizing {
    /** Size of a value in addition to the packed bytes, which base64 lengthens by a third. */
    private static final int VALUE_OVERHEAD_BYTES = 96;

    private static final int MAX_SEGMENT_BYTES = 16 * 1024;
    private static final int MIN_SEGMENT_BYTES = 512;
    /**
     * Free space of a segment, in standard deviations of its number of jobs. That number varies by chance, with the square root of the expected
     * number as standard deviation. A run with one segment that is too large has to be written again from the beginning; with this margin one
     * segment in 300,000 is too large.
     */
    private static final double HEADROOM_DEVIATIONS = 4.5;

    private int valueBytes;

    /** @param valueBytes largest value that the store accepts */
    SegmentSizing(int valueBytes) {
        this.valueBytes = Math.min(valueBytes, MAX_SEGMENT_BYTES);
    }

    /** Returns whether a segment fits a value of the store. */
    boolean fits(StoredRecord.ArchiveSegment segment) {
        return segment.packed().length <= capacityBytes();
    }

    /** Returns the number of segments for jobs that are in memory, found by packing them. */
    int segmentsForJobs(HashPartitioner partitioner, List<ArchivedJob> jobs) {
        int segments = 1;
        while (!allSegmentsFit(partitioner, jobs, segments)) {
            segments = increase(segments);
        }
        return segments;
    }

    /**
     * Estimates the number of segments for a merge.
     *
     * @param jobs number of jobs in the merged runs
     * @param bytes packed size of the merged runs
     */
    int segmentsForMerge(long jobs, long bytes) {
        if (bytes <= capacityBytes() / 2) {
            return 1;
        }
        // With m jobs expected in a segment, m plus the headroom of HEADROOM_DEVIATIONS * sqrt(m) has to fit.
        double capacityJobs = (double) capacityBytes() * jobs / bytes;
        double root =
                (Math.sqrt(HEADROOM_DEVIATIONS * HEADROOM_DEVIATIONS + 4 * capacityJobs) - HEADROOM_DEVIATIONS) / 2;
        return (int) Math.max(1, Math.ceil(jobs / Math.max(1, root * root)));
    }

    /** Returns the next number of segments to try after {@code segments} were too few. */
    static int increase(int segments) {
        return Math.max(segments + 1, segments * 5 / 4);
    }

    /**
     * Reduces the planned size of values after the store rejected one.
     *
     * @return false if the size is already at its minimum
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
