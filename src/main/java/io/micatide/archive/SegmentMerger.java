package io.micatide.archive;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Merges the segments of several runs, or jobs that are archived from their records, into the segments of a new run. It proceeds in the
 * order of the hash, so that only about one segment of each run is in memory at a time.
 */
final class SegmentMerger {
    private final HashPartitioner partitioner;
    private final int segmentCount;
    private final List<Source> sources = new ArrayList<>();

    /** An input of the merge: a run to be read, or the jobs that are archived from their records. */
    private static final class Source {
        /** The run to be read, or null for jobs that are archived from their records. */
        final StoredRecord.ArchiveRun run;

        int segmentsRead;
        /** Jobs that were read and not taken yet. */
        List<ArchivedJob> pendingJobs = new ArrayList<>();

        Source(StoredRecord.ArchiveRun run) {
            this.run = run;
        }

        boolean hasUnread() {
            return run != null && segmentsRead < run.segments();
        }

        String nextKey() {
            return StoreKeys.segment(run.name(), segmentsRead);
        }
    }

    /**
     * @param segmentCount number of segments of the new run
     * @param runs runs that are merged
     * @param jobs jobs that are archived from their records
     */
    SegmentMerger(
            HashPartitioner partitioner, int segmentCount, List<StoredRecord.ArchiveRun> runs, List<ArchivedJob> jobs) {
        this.partitioner = partitioner;
        this.segmentCount = segmentCount;
        runs.forEach(run -> sources.add(new Source(run)));
        Source records = new Source(null);
        records.pendingJobs.addAll(jobs);
        sources.add(records);
    }

    /** Returns the key of a segment that must be read before segment {@code number} of the new run can be taken, or null if there is none. */
    String nextUnreadSegment(int number) {
        for (Source source : sources) {
            if (source.hasUnread()
                    && HashPartitioner.startsBeforeEnd(
                            source.segmentsRead, source.run.segments(), number, segmentCount)) {
                return source.nextKey();
            }
        }
        return null;
    }

    /** Adds the content of the segment that {@link #nextUnreadSegment} returned; the content of any other segment is ignored. */
    void addSegment(String key, List<ArchivedJob> jobs) {
        for (Source source : sources) {
            if (source.hasUnread() && key.equals(source.nextKey())) {
                source.segmentsRead++;
                source.pendingJobs.addAll(jobs);
                return;
            }
        }
    }

    /**
     * Removes and returns the jobs of segment {@code number}, in ascending order of their ids and without duplicates. Must be called once for
     * each segment, in ascending order of the numbers.
     */
    List<ArchivedJob> takeSegment(int number) {
        TreeMap<String, ArchivedJob> taken = new TreeMap<>();
        for (Source source : sources) {
            List<ArchivedJob> remaining = new ArrayList<>();
            for (ArchivedJob job : source.pendingJobs) {
                if (HashPartitioner.segmentOf(partitioner.hash(job.id()), segmentCount) == number) {
                    taken.putIfAbsent(job.id(), job);
                } else {
                    remaining.add(job);
                }
            }
            source.pendingJobs = remaining;
        }
        return List.copyOf(taken.values());
    }
}
