package io.micatide.archive;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Content for a new run: the segments of several runs, poured together in the order of the hash, so that no more than about one
 * segment of each is held at a time. Or jobs that come from their rows, with no run to read.
 */
final class SegmentMerger {
    private final HashPartitioner partitioner;
    private final int segments;
    private final List<Source> sources = new ArrayList<>();

    private static final class Source {
        final StoredRecord.ArchiveRun run;
        int segmentsRead;
        List<ArchivedJob> pendingJobs = new ArrayList<>();

        Source(StoredRecord.ArchiveRun run) {
            this.run = run;
        }
    }

    SegmentMerger(
            HashPartitioner partitioner, int segments, List<StoredRecord.ArchiveRun> runs, List<ArchivedJob> jobs) {
        this.partitioner = partitioner;
        this.segments = segments;
        runs.forEach(run -> sources.add(new Source(run)));
        Source rows = new Source(null);
        rows.pendingJobs.addAll(jobs);
        sources.add(rows);
    }

    /** The segment to be read before segment {@code number} of the new run can be told, or null if there is none. */
    String nextUnreadSegment(int number) {
        for (Source source : sources) {
            if (source.run != null
                    && source.segmentsRead < source.run.segments()
                    && HashPartitioner.startsBeforeEnd(source.segmentsRead, source.run.segments(), number, segments)) {
                return StoreKeys.segment(source.run.name(), source.segmentsRead);
            }
        }
        return null;
    }

    void addSegment(String key, List<ArchivedJob> jobs) {
        for (Source source : sources) {
            if (source.run != null
                    && source.segmentsRead < source.run.segments()
                    && key.equals(StoreKeys.segment(source.run.name(), source.segmentsRead))) {
                source.segmentsRead++;
                source.pendingJobs.addAll(jobs);
                return;
            }
        }
    }

    /** What segment {@code number} holds, in the order of the ids, each once; must be asked once, in the order of the numbers. */
    List<ArchivedJob> takeSegment(int number) {
        TreeMap<String, ArchivedJob> taken = new TreeMap<>();
        for (Source source : sources) {
            List<ArchivedJob> rest = new ArrayList<>();
            for (ArchivedJob job : source.pendingJobs) {
                if (HashPartitioner.segmentOf(partitioner.hash(job.id()), segments) == number) {
                    taken.putIfAbsent(job.id(), job);
                } else {
                    rest.add(job);
                }
            }
            source.pendingJobs = rest;
        }
        return List.copyOf(taken.values());
    }
}
