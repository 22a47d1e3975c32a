package io.micatide.archive;

import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses which runs are merged next: runs of similar size once there are enough of them, as in a log-structured merge tree, or the
 * smallest runs when the manifest is about to exceed the size of a value. Holds nothing but its limits.
 */
final class MergePolicy {
    /** Number of runs of one size level that are merged into one; also the ratio between the sizes of successive levels. */
    private static final int MERGE_FACTOR = 4;

    private static final int MAX_RUNS_PER_MERGE = 8;
    /** Size of a manifest without its runs. */
    private static final int MANIFEST_BYTES = 160;

    private static final int MANIFEST_RUN_BYTES = 48;

    private final int batchSize;
    private final int maxRuns;

    MergePolicy(ArchiveLimits limits) {
        this.batchSize = limits.batchSize();
        this.maxRuns = Math.max(MERGE_FACTOR + 1, (limits.valueBytes() - MANIFEST_BYTES) / MANIFEST_RUN_BYTES);
    }

    /**
     * Returns the runs to merge, in the order in which the merge reads them, or an empty list if there is nothing to merge.
     *
     * @param runs runs that the manifest names
     * @param damagedRuns names of runs that cannot be read in full; these are not merged
     */
    List<StoredRecord.ArchiveRun> selectRuns(List<StoredRecord.ArchiveRun> runs, Set<String> damagedRuns) {
        Map<Integer, List<StoredRecord.ArchiveRun>> byLevel = new TreeMap<>();
        for (StoredRecord.ArchiveRun run : runs) {
            if (!damagedRuns.contains(run.name())) {
                byLevel.computeIfAbsent(level(run), k -> new ArrayList<>()).add(run);
            }
        }
        for (List<StoredRecord.ArchiveRun> level : byLevel.values()) {
            if (level.size() >= MERGE_FACTOR) {
                return List.copyOf(level.subList(0, Math.min(level.size(), MAX_RUNS_PER_MERGE)));
            }
        }
        return runs.size() < maxRuns - 1 ? List.of() : smallestRuns(byLevel);
    }

    private static List<StoredRecord.ArchiveRun> smallestRuns(Map<Integer, List<StoredRecord.ArchiveRun>> byLevel) {
        List<StoredRecord.ArchiveRun> smallest = new ArrayList<>();
        byLevel.values().forEach(smallest::addAll);
        smallest.sort(Comparator.comparingLong(StoredRecord.ArchiveRun::jobs));
        return smallest.size() < 2
                ? List.of()
                : List.copyOf(smallest.subList(0, Math.min(smallest.size(), MERGE_FACTOR)));
    }

    private int level(StoredRecord.ArchiveRun run) {
        int level = 0;
        for (long jobs = run.jobs() / batchSize; jobs >= MERGE_FACTOR; jobs /= MERGE_FACTOR) {
            level++;
        }
        return level;
    }
}
