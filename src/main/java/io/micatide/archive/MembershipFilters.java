package io.micatide.archive;

import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bloom filters of the ids in the archive's runs, so that most look-ups of new ids need no read. A run's filter is built by reading its
 * segments once, small runs first, and is used as soon as it is complete. Until then, and if the memory limit leaves no space for the filter,
 * each look-up reads the run. Not thread-safe: use by one thread at a time.
 */
public final class MembershipFilters {
    /** Share of look-ups of an id that a run does not hold which need a read all the same; takes 9.6 bits per job. */
    private static final double FALSE_POSITIVE_RATE = 0.01;

    private static final int BITS_PER_JOB = 10;
    /** Memory of a filter in addition to its bits. */
    private static final int FILTER_BYTES = 64;

    private final long maxBytes;
    private final Map<String, Filter> byRun = new HashMap<>();
    /** Names of runs with a segment that could not be read; these get no filter, so that a look-up reads the segment and reports the problem. */
    private final Set<String> unreadableRuns = new HashSet<>();

    /** The current manifest, or null until the first one is set. */
    private StoredRecord.ArchiveManifest manifest;

    private HashPartitioner partitioner;

    private static final class Filter {
        final BloomFilter<Long> ids;
        final StoredRecord.ArchiveRun run;
        int segmentsRead;

        Filter(StoredRecord.ArchiveRun run) {
            this.run = run;
            ids = BloomFilter.create(Funnels.longFunnel(), Math.max(1, run.jobs()), FALSE_POSITIVE_RATE);
        }

        boolean isComplete() {
            return segmentsRead == run.segments();
        }
    }

    /**
     * Creates the filters of an archive whose manifest is not known yet.
     *
     * @param maxBytes memory limit of all filters together, in bytes
     */
    public MembershipFilters(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sets the manifest that look-ups use from now on; filters of runs that it does not name are discarded.
     *
     * @param current the manifest that is stored now
     */
    public void setManifest(StoredRecord.ArchiveManifest current) {
        if (manifest == null || manifest.saltA() != current.saltA() || manifest.saltB() != current.saltB()) {
            partitioner = new HashPartitioner(current);
        }
        manifest = current;
        Set<String> names = new HashSet<>();
        current.runs().forEach(run -> names.add(run.name()));
        byRun.keySet().retainAll(names);
        unreadableRuns.retainAll(names);
    }

    /**
     * Returns the segments that may hold a job according to the current manifest.
     *
     * @param id a job's id
     * @return keys of segments; empty if the job is certainly not archived
     */
    public List<String> candidateSegments(String id) {
        long hash = partitioner.hash(id);
        return manifest.runs().stream()
                .filter(run -> mayContain(run, hash))
                .map(run -> StoreKeys.segment(run.name(), HashPartitioner.segmentOf(hash, run.segments())))
                .toList();
    }

    private boolean mayContain(StoredRecord.ArchiveRun run, long hash) {
        Filter filter = byRun.get(run.name());
        return filter == null || !filter.isComplete() || filter.ids.mightContain(hash);
    }

    private static long estimatedBytes(StoredRecord.ArchiveRun run) {
        return run.jobs() * BITS_PER_JOB / Byte.SIZE + FILTER_BYTES;
    }

    /**
     * Returns the next segment to read for a filter.
     *
     * @return the segment's key, or null if there is no filter to build or no memory for it
     */
    public String nextSegmentToRead() {
        StoredRecord.ArchiveRun run = manifest == null ? null : smallestIncompleteRun();
        if (run == null) {
            return null;
        }
        Filter filter = byRun.get(run.name());
        if (filter == null) {
            if (usedBytes() + estimatedBytes(run) > maxBytes) {
                return null;
            }
            filter = new Filter(run);
            byRun.put(run.name(), filter);
        }
        return StoreKeys.segment(run.name(), filter.segmentsRead);
    }

    private StoredRecord.ArchiveRun smallestIncompleteRun() {
        StoredRecord.ArchiveRun smallest = null;
        for (StoredRecord.ArchiveRun run : manifest.runs()) {
            Filter filter = byRun.get(run.name());
            if ((filter == null || !filter.isComplete())
                    && !unreadableRuns.contains(run.name())
                    && (smallest == null || run.jobs() < smallest.jobs())) {
                smallest = run;
            }
        }
        return smallest;
    }

    private long usedBytes() {
        long used = 0;
        for (Filter filter : byRun.values()) {
            used += estimatedBytes(filter.run);
        }
        return used;
    }

    /**
     * Adds the content of the segment that {@link #nextSegmentToRead} returned; the content of any other segment is ignored.
     *
     * @param key the segment's key
     * @param jobs the segment's content
     */
    public void segmentRead(String key, List<ArchivedJob> jobs) {
        for (Filter filter : byRun.values()) {
            if (!filter.isComplete() && key.equals(StoreKeys.segment(filter.run.name(), filter.segmentsRead))) {
                jobs.forEach(job -> filter.ids.put(partitioner.hash(job.id())));
                filter.segmentsRead++;
                return;
            }
        }
    }

    /**
     * Notes that a segment is missing or damaged; its run has no filter from now on and is read for each look-up.
     *
     * @param key the segment's key
     */
    public void segmentUnreadable(String key) {
        String run = key.substring(StoreKeys.ARCHIVE_SEGMENTS.length(), key.lastIndexOf('/'));
        unreadableRuns.add(run);
        byRun.remove(run);
    }

    /**
     * Returns the number of runs that have a complete filter.
     *
     * @return the count, at most the number of runs
     */
    public int completeFilterCount() {
        return (int) byRun.values().stream().filter(Filter::isComplete).count();
    }
}
