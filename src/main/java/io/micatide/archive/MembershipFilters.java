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
 * What is known in memory of which ids the runs do not hold, so that most questions about new ids cost no read. A run's filter is built
 * by reading its segments once, small runs first, and used when it is whole; until then, and where there is no room for one, the run
 * has to be read for each question.
 */
public final class MembershipFilters {
    /** One question in a hundred about an id that a run does not hold costs a read: 9.6 bits a job. */
    private static final double FALSE_POSITIVE_RATE = 0.01;

    private static final int BITS_PER_JOB = 10;

    private final long maxBytes;
    private final Map<String, Filter> byRun = new HashMap<>();
    /** Runs with a segment that could not be read: looking there says what is wrong. */
    private final Set<String> unreadableRuns = new HashSet<>();

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

    /** @param mostBytes what all filters together may take */
    public MembershipFilters(long mostBytes) {
        this.maxBytes = mostBytes;
    }

    /** From now on questions are about this manifest. */
    public void setManifest(StoredRecord.ArchiveManifest now) {
        if (manifest == null || manifest.saltA() != now.saltA() || manifest.saltB() != now.saltB()) {
            partitioner = new HashPartitioner(now);
        }
        manifest = now;
        Set<String> names = new HashSet<>();
        now.runs().forEach(run -> names.add(run.name()));
        byRun.keySet().retainAll(names);
        unreadableRuns.retainAll(names);
    }

    /** The segments that may hold an id by the present manifest; empty: it is certainly not archived. */
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
        return run.jobs() * BITS_PER_JOB / Byte.SIZE + 64;
    }

    /** The next segment to be read for a filter, or null while there is none to build. */
    public String nextSegmentToRead() {
        if (manifest == null) {
            return null;
        }
        long used = 0;
        StoredRecord.ArchiveRun next = null;
        for (StoredRecord.ArchiveRun run : manifest.runs()) {
            Filter filter = byRun.get(run.name());
            if (filter != null) {
                used += estimatedBytes(run);
            }
            if ((filter == null || !filter.isComplete())
                    && !unreadableRuns.contains(run.name())
                    && (next == null || run.jobs() < next.jobs())) {
                next = run;
            }
        }
        if (next == null) {
            return null;
        }
        Filter filter = byRun.get(next.name());
        if (filter == null) {
            if (used + estimatedBytes(next) > maxBytes) {
                return null;
            }
            filter = new Filter(next);
            byRun.put(next.name(), filter);
        }
        return StoreKeys.segment(next.name(), filter.segmentsRead);
    }

    /** The segment that {@link #nextSegmentToRead} named. */
    public void segmentRead(String key, List<ArchivedJob> jobs) {
        for (Filter filter : byRun.values()) {
            if (!filter.isComplete() && key.equals(StoreKeys.segment(filter.run.name(), filter.segmentsRead))) {
                jobs.forEach(job -> filter.ids.put(partitioner.hash(job.id())));
                filter.segmentsRead++;
                return;
            }
        }
    }

    /** A segment that cannot be had as it was written; its run is asked itself from now on. */
    public void segmentUnreadable(String key) {
        String run = key.substring(StoreKeys.ARCHIVE_SEGMENTS.length(), key.lastIndexOf('/'));
        unreadableRuns.add(run);
        byRun.remove(run);
    }

    /** How many runs have a whole filter. */
    public int completeFilterCount() {
        return (int) byRun.values().stream().filter(Filter::isComplete).count();
    }
}
