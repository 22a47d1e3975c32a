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
 * Bloom filters of the ids in the archive's runs, so that most look-ups of new ids cost no read. A run's filter is built by reading its
 * segments once, small runs first, and used when it is complete; until then, and where there is no memory for one, the run has to be read
 * for each look-up. One thread at a time.
 */
public final class MembershipFilters {
    /** One look-up in a hundred of an id that a run does not hold costs a read: 9.6 bits a job. */
    private static final double FALSE_POSITIVE_RATE = 0.01;

    private static final int BITS_PER_JOB = 10;
    /** What a filter takes besides its bits. */
    private static final int FILTER_BYTES = 64;

    private final long maxBytes;
    private final Map<String, Filter> byRun = new HashMap<>();
    /** Names of runs with a segment that could not be read: a look-up there says what is wrong. */
    private final Set<String> unreadableRuns = new HashSet<>();

    /** Null until the first one is set. */
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
     * Makes the filters of an archive whose manifest is not known yet.
     *
     * @param maxBytes what all filters together may take of memory
     */
    public MembershipFilters(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sets the manifest that look-ups are about from now on; filters of runs that it does not name are dropped.
     *
     * @param current the manifest as it is stored now
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
     * The segments that may hold an id by the present manifest.
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
     * The next segment to be read for a filter.
     *
     * @return its key, null while there is no filter to build
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
     * Takes in the content of the segment that {@link #nextSegmentToRead} named; that of another is dropped.
     *
     * @param key the segment's key
     * @param jobs its content
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
     * A segment is missing or damaged; its run has no filter from now on and is read for each look-up.
     *
     * @param key the segment's key
     */
    public void segmentUnreadable(String key) {
        String run = key.substring(StoreKeys.ARCHIVE_SEGMENTS.length(), key.lastIndexOf('/'));
        unreadableRuns.add(run);
        byRun.remove(run);
    }

    /**
     * How many runs have a complete filter.
     *
     * @return at most the number of runs
     */
    public int completeFilterCount() {
        return (int) byRun.values().stream().filter(Filter::isComplete).count();
    }
}
