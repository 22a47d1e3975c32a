package io.micatide.jobs;

import io.micatide.model.JobState;
import io.micatide.store.StoredRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The dependencies between open jobs. Tracks which jobs wait for others, and which are cancelled together with a dependency. The graph
 * is derived from the job records only: a cancellation writes one record, regardless of the number of dependents, and every controller that
 * has read that record derives the same cancelled dependents. Each edge is visited once when its job is first seen and once when
 * the dependency finishes.
 */
final class DependencyGraph {
    /** Unfinished dependencies of each waiting job. */
    private final Map<String, Set<String>> unfinishedDependencies = new HashMap<>();

    /** Waiting jobs by the dependency that they wait for. */
    private final Map<String, List<String>> dependents = new HashMap<>();
    /** Jobs that are open according to their own record, but have a cancelled dependency, directly or through other jobs. */
    private final Set<String> isCancelledByDependency = new HashSet<>();
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
        return isCancelledByDependency.contains(id);
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
            if (isCancelledByDependency.contains(dependency)
                    || (finalRecord != null && finalRecord.state() == JobState.CANCELLED)) {
                isCancelledByDependency.add(id);
                return jobCancelled(id);
            }
            if (finalRecord == null) {
                unfinished.add(dependency);
            } else {
                dependencyCompleted(id, finalRecord);
            }
        }
        if (!unfinished.isEmpty()) {
            unfinishedDependencies.put(id, unfinished);
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
        List<String> waiting = dependents.remove(id);
        if (waiting != null) {
            for (String dependent : waiting) {
                Set<String> unfinished = unfinishedDependencies.get(dependent);
                if (unfinished != null && unfinished.remove(id)) {
                    dependencyCompleted(dependent, finalRecord);
                    if (unfinished.isEmpty()) {
                        unfinishedDependencies.remove(dependent);
                        ready.add(dependent);
                    }
                }
            }
        }
        return ready;
    }

    /** Cancels all waiting jobs that depend on a cancelled job, directly or through others, and returns them. */
    List<String> jobCancelled(String id) {
        List<String> cancelled = new ArrayList<>();
        Deque<String> pending = new ArrayDeque<>(List.of(id));
        while (!pending.isEmpty()) {
            List<String> waiting = dependents.remove(pending.poll());
            if (waiting != null) {
                for (String dependent : waiting) {
                    if (unfinishedDependencies.remove(dependent) != null && isCancelledByDependency.add(dependent)) {
                        cancelled.add(dependent);
                        pending.add(dependent);
                    }
                }
            }
        }
        return cancelled;
    }

    /** Removes the state of a job whose own record is final or deleted, but keeps its dependents. */
    void jobFinished(String id) {
        unfinishedDependencies.remove(id);
        isCancelledByDependency.remove(id);
        readyWall.remove(id);
    }
}
