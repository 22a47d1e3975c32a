package io.micatide.jobs;

import io.micatide.model.JobState;
import io.micatide.store.StoredRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The dependencies between open jobs. Tracks which jobs wait for others, and which are cancelled together with a dependency. The graph
 * is derived from the job records only: a cancellation writes one record, regardless of the number of dependents, and every controller that
 * has read that record derives the same cancelled dependents. Each edge is visited once when its job is first seen and once when
 * the dependency finishes, and costs one reference.
 */
final class DependencyGraph {
    /** Number of edges of jobs that no longer wait from which on they are removed. */
    private static final int MIN_OBSOLETE_EDGES = 1_024;

    /** Number of unfinished dependencies of each waiting job. */
    private final Map<String, Integer> unfinishedDependencies = new HashMap<>();

    /** Jobs by the unfinished dependency that they wait for; those that no longer wait are removed from time to time. */
    private final Map<String, ArrayList<String>> dependents = new HashMap<>();
    /** Number of entries in the lists of {@link #dependents}. */
    private int edges;
    /** Number of these entries that belong to jobs that no longer wait. */
    private int obsoleteEdges;
    /** Jobs that are open according to their own record, but have a cancelled dependency, directly or through other jobs. */
    private final Set<String> cancelledByDependency = new HashSet<>();
    /** Wall-clock time at which the latest finished dependency of an open job was done, in microseconds. */
    private final Map<String, Long> readyWall = new HashMap<>();

    /** Looks up the final records of jobs. */
    @FunctionalInterface
    interface FinalRecords {
        /** Returns the record of a finished job, or null if the job is not finished or not known. */
        StoredRecord.JobRecord of(String id);
    }

    boolean hasUnfinishedDependencies(String id) {
        return unfinishedDependencies.containsKey(id);
    }

    boolean isCancelledByDependency(String id) {
        return cancelledByDependency.contains(id);
    }

    /** Returns the later one of a job's submission and the end of its latest finished dependency, in wall-clock microseconds. */
    long readyWall(String id, long submittedWall) {
        return Math.max(submittedWall, readyWall.getOrDefault(id, submittedWall));
    }

    /**
     * Adds an open job that was seen for the first time. If one of its dependencies is cancelled, the job is cancelled as well.
     *
     * @return the jobs that were waiting for the added job and are cancelled with it
     */
    List<String> jobOpened(String id, List<String> dependencies, FinalRecords finalRecords) {
        Set<String> unfinished = new HashSet<>();
        for (String dependency : dependencies) {
            StoredRecord.JobRecord finalRecord = finalRecords.of(dependency);
            if (cancelledByDependency.contains(dependency)
                    || (finalRecord != null && finalRecord.state() == JobState.CANCELLED)) {
                cancelledByDependency.add(id);
                return jobCancelled(id);
            }
            if (finalRecord == null) {
                unfinished.add(dependency);
            } else {
                dependencyCompleted(id, finalRecord);
            }
        }
        if (!unfinished.isEmpty()) {
            unfinishedDependencies.put(id, unfinished.size());
            edges += unfinished.size();
            unfinished.forEach(dependency -> dependents
                    .computeIfAbsent(dependency, k -> new ArrayList<>(2))
                    .add(id));
        }
        return List.of();
    }

    private void dependencyCompleted(String id, StoredRecord.JobRecord finalRecord) {
        readyWall.merge(id, finalRecord.endedWall(), Math::max);
    }

    /** Removes a job that is done as a dependency, and returns the jobs that have no unfinished dependency left. */
    List<String> jobCompleted(String id, StoredRecord.JobRecord finalRecord) {
        List<String> ready = new ArrayList<>();
        // A job that was removed and came back stands twice in the list.
        Set<String> visited = new HashSet<>();
        for (String dependent : removeDependents(id)) {
            Integer unfinished = visited.add(dependent) ? unfinishedDependencies.get(dependent) : null;
            if (unfinished == null) {
                obsoleteEdges--;
                continue;
            }
            dependencyCompleted(dependent, finalRecord);
            if (unfinished == 1) {
                unfinishedDependencies.remove(dependent);
                ready.add(dependent);
            } else {
                unfinishedDependencies.put(dependent, unfinished - 1);
            }
        }
        return ready;
    }

    /** Cancels all waiting jobs that depend on a cancelled job, directly or through others, and returns them. */
    List<String> jobCancelled(String id) {
        List<String> cancelled = new ArrayList<>();
        Deque<String> pending = new ArrayDeque<>(List.of(id));
        while (!pending.isEmpty()) {
            for (String dependent : removeDependents(pending.poll())) {
                Integer unfinished = unfinishedDependencies.remove(dependent);
                if (unfinished == null) {
                    obsoleteEdges--;
                } else {
                    obsoleteEdges += unfinished - 1;
                    if (cancelledByDependency.add(dependent)) {
                        cancelled.add(dependent);
                        pending.add(dependent);
                    }
                }
            }
        }
        removeObsoleteEdges();
        return cancelled;
    }

    private List<String> removeDependents(String id) {
        List<String> removed = dependents.remove(id);
        if (removed == null) {
            return List.of();
        }
        edges -= removed.size();
        return removed;
    }

    /** Removes the state of a job whose own record is final or deleted, but keeps its dependents. */
    void jobFinished(String id) {
        Integer unfinished = unfinishedDependencies.remove(id);
        cancelledByDependency.remove(id);
        readyWall.remove(id);
        if (unfinished != null) {
            obsoleteEdges += unfinished;
            removeObsoleteEdges();
        }
    }

    /**
     * Removes the edges of jobs that no longer wait once they are the majority. Without it, a job that others need for long would keep the
     * edges of all of them that were cancelled meanwhile.
     */
    private void removeObsoleteEdges() {
        if (obsoleteEdges < MIN_OBSOLETE_EDGES || 2 * obsoleteEdges < edges) {
            return;
        }
        edges = 0;
        obsoleteEdges = 0;
        for (Iterator<ArrayList<String>> lists = dependents.values().iterator(); lists.hasNext(); ) {
            ArrayList<String> waiting = lists.next();
            waiting.removeIf(dependent -> !unfinishedDependencies.containsKey(dependent));
            if (waiting.isEmpty()) {
                lists.remove();
            } else {
                waiting.trimToSize();
                edges += waiting.size();
            }
        }
    }

    /** Returns the number of edges that are kept, including those of jobs that no longer wait. */
    int edges() {
        return edges;
    }
}
