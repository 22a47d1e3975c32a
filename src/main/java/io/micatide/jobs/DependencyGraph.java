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
 * Which open jobs wait for which others, and what the end of one means for those after it. It follows from the rows alone:
 * cancelling writes one row, however many jobs go with it, and every controller that has read that row tells all of them
 * alike. Each edge is looked at once when its job is seen and once when the job that it needs ends.
 */
final class DependencyGraph {
    /** What each waiting job still needs. */
    private final Map<String, Set<String>> unfinishedDependencies = new HashMap<>();

    private final Map<String, List<String>> dependents = new HashMap<>();
    /** Open by their own row, but something that they need was cancelled. */
    private final Set<String> isCancelledByDependency = new HashSet<>();
    /** When the last job was done that an open job needed, by the time of day. */
    private final Map<String, Long> readyWall = new HashMap<>();

    /** How the jobs that are needed stand. */
    @FunctionalInterface
    interface FinalRecords {
        /** The row of a job that ended, or null while it has not. */
        StoredRecord.JobRecord of(String id);
    }

    boolean hasUnfinishedDependencies(String id) {
        return unfinishedDependencies.containsKey(id);
    }

    boolean isCancelledByDependency(String id) {
        return isCancelledByDependency.contains(id);
    }

    long readyWall(String id, long submittedWall) {
        return Math.max(submittedWall, readyWall.getOrDefault(id, submittedWall));
    }

    /** An open job was seen for the first time; returns what is withdrawn with it: itself and whoever waited for it. */
    List<String> jobOpened(String id, List<String> needs, FinalRecords ends) {
        Set<String> left = new HashSet<>();
        for (String need : needs) {
            StoredRecord.JobRecord end = ends.of(need);
            if (isCancelledByDependency.contains(need) || (end != null && end.state() == JobState.CANCELLED)) {
                isCancelledByDependency.add(id);
                return jobCancelled(id);
            }
            if (end == null) {
                left.add(need);
            } else {
                dependencyCompleted(id, end);
            }
        }
        if (!left.isEmpty()) {
            unfinishedDependencies.put(id, left);
            left.forEach(need ->
                    dependents.computeIfAbsent(need, k -> new ArrayList<>(2)).add(id));
        }
        return List.of();
    }

    private void dependencyCompleted(String id, StoredRecord.JobRecord end) {
        readyWall.merge(id, end.endedWall(), Math::max);
    }

    /** Returns the jobs that wait for nothing any more. */
    List<String> jobCompleted(String id, StoredRecord.JobRecord row) {
        List<String> ready = new ArrayList<>();
        List<String> after = dependents.remove(id);
        if (after != null) {
            for (String each : after) {
                Set<String> left = unfinishedDependencies.get(each);
                if (left != null && left.remove(id)) {
                    dependencyCompleted(each, row);
                    if (left.isEmpty()) {
                        unfinishedDependencies.remove(each);
                        ready.add(each);
                    }
                }
            }
        }
        return ready;
    }

    /** Returns all jobs that need this one, directly or through others. */
    List<String> jobCancelled(String id) {
        List<String> result = new ArrayList<>();
        Deque<String> todo = new ArrayDeque<>(List.of(id));
        while (!todo.isEmpty()) {
            List<String> after = dependents.remove(todo.poll());
            if (after != null) {
                for (String each : after) {
                    if (unfinishedDependencies.remove(each) != null && isCancelledByDependency.add(each)) {
                        result.add(each);
                        todo.add(each);
                    }
                }
            }
        }
        return result;
    }

    /** The job's own row ended it. */
    void jobFinished(String id) {
        unfinishedDependencies.remove(id);
        isCancelledByDependency.remove(id);
        readyWall.remove(id);
    }
}
