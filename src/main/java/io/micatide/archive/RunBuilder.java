package io.micatide.archive;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds a run of the archive, segment by segment.
 *
 * <p>Invariant: segments are packed and stored in ascending order, one at a time, and the counts of the complete run are those of the
 * stored segments.
 */
final class RunBuilder {
    /**
     * The input of a run: either new jobs or the content of older runs.
     *
     * @param mergedRuns runs that the new run replaces
     * @param newJobs jobs that are archived from their records
     */
    record Input(List<StoredRecord.ArchiveRun> mergedRuns, List<Archiver.ArchivableJob> newJobs) {
        List<ArchivedJob> archivedJobs() {
            List<ArchivedJob> jobs = new ArrayList<>(newJobs.size());
            newJobs.forEach(job -> jobs.add(new ArchivedJob(job.id(), job.outcome())));
            return jobs;
        }
    }

    private final String name;
    private final int segmentCount;
    private final Input input;
    private final SegmentMerger merger;
    private int nextSegment;
    private long storedJobs;
    private long storedBytes;
    private StoredRecord.ArchiveSegment packedSegment;
    private int packedJobs;

    RunBuilder(String name, int segmentCount, Input input, HashPartitioner partitioner) {
        this.name = name;
        this.segmentCount = segmentCount;
        this.input = input;
        this.merger = new SegmentMerger(partitioner, segmentCount, input.mergedRuns(), input.archivedJobs());
    }

    String name() {
        return name;
    }

    int segmentCount() {
        return segmentCount;
    }

    Input input() {
        return input;
    }

    /** Returns whether every segment is stored. */
    boolean isComplete() {
        return nextSegment == segmentCount;
    }

    /** Returns the key of the next segment to store. */
    String nextKey() {
        return StoreKeys.segment(name, nextSegment);
    }

    /** Returns the key of a segment of an older run that must be read before the next segment can be packed, or null if there is none. */
    String nextUnreadSegment() {
        return packedSegment == null ? merger.nextUnreadSegment(nextSegment) : null;
    }

    /** Adds the content of a segment of an older run. */
    void addSegment(String key, List<ArchivedJob> jobs) {
        merger.addSegment(key, jobs);
    }

    /** Returns the next segment, which is packed on the first call only. Requires that {@link #nextUnreadSegment} returned null. */
    StoredRecord.ArchiveSegment packNextSegment() {
        if (packedSegment == null) {
            List<ArchivedJob> jobs = merger.takeSegment(nextSegment);
            packedSegment = SegmentCodec.pack(nextKey(), jobs);
            packedJobs = jobs.size();
        }
        return packedSegment;
    }

    /** Notes that the packed segment is in the store. */
    void segmentStored() {
        storedJobs += packedJobs;
        storedBytes += packedSegment.packed().length;
        packedSegment = null;
        nextSegment++;
    }

    /** Returns how many segments may be in the store: the stored ones, and one whose write may have been sent. */
    int possiblyStoredSegments() {
        return Math.min(nextSegment + 1, segmentCount);
    }

    /** Returns the manifest's entry of the complete run. */
    StoredRecord.ArchiveRun run() {
        return new StoredRecord.ArchiveRun(name, segmentCount, storedJobs, storedBytes);
    }
}
