package io.micatide.archive;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Merges the segments of several runs, or jobs that come from their records, into the segments of a new run. It goes in the order of the
 * hash, so that no more than about one segment of each run is in memory at a time.
 */
final class SegmentMerger {
    private final HashPartitioner partitioner;
    private final int segmentCount;
    private final List<Source> sources = new ArrayList<>();

    /** A run to be read, or the jobs that come from their records. */
    private static final class Source {
        /** Null for jobs that come from their records. */
        final StoredRecord.ArchiveRun run;

        int segmentsRead;
        /** Read and not taken yet. */
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
     * @param runs what is merged
     * @param jobs what comes from records
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

    /** The key of a segment to be read before segment {@code number} of the new run is known, or null if there is none. */
    String nextUnreadSegment(int number) {
        for (Source source : sources) {
            if (source.hasUnread()
                    && HashPartitioner.startsBeforeEnd(source.segmentsRead, source.run.segments(), number, segmentCount)) {
                return source.nextKey();
            }
        }
        return null;
    }

    /** The content of the segment that {@link #nextUnreadSegment} named; that of another is dropped. */
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
     * Takes the jobs of segment {@code number}, in the order of their ids, each once. To be called once for each segment, in the order of
     * the numbers.
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
