package io.micatide.scheduler;

import io.micatide.jobs.JobMemoryUsage;

/**
 * Limits how many tasks of arrays are placed at once, so that the placements fit into the heap of the leader, and of any other
 * controller that leads next and adopts them. The tasks of gangs and services, which are placed all together, and one task of
 * each array are part of the memory that is limited when the job is accepted.
 *
 * <p>Invariant: a single array takes at most half of what is left, so that arrays that come later can start tasks as well. An
 * array without live tasks may always start one.
 */
public final class ArrayTaskLimit {
    /** Share of the heap for the placements of arrays. */
    private static final double HEAP_SHARE = 0.15;

    private final long maxTasks;
    private long liveTasks;

    private ArrayTaskLimit(long maxTasks) {
        this.maxTasks = maxTasks;
    }

    /**
     * Returns the number of tasks whose placements fit into a heap.
     *
     * @param heapBytes maximum size of the heap
     * @return number of tasks of arrays that may be placed at once
     */
    public static long maxTasksInHeap(long heapBytes) {
        return (long) (HEAP_SHARE * heapBytes) / JobMemoryUsage.PLACED_TASK_BYTES;
    }

    /** Creates a limit; nothing is placed yet. */
    static ArrayTaskLimit of(long maxTasks) {
        return new ArrayTaskLimit(maxTasks);
    }

    /** Returns whether one more task of the array may be placed. */
    boolean allowsTask(Job array) {
        int live = array.liveAttemptCount();
        return live == 0 || live < maxTasks - liveTasks;
    }

    /** Records that a task of an array was placed. */
    void taskPlaced() {
        liveTasks++;
    }

    /** Records that a placement of an array was removed. */
    void taskRemoved() {
        liveTasks--;
    }
}
