package io.micatide.scheduler;

import io.micatide.model.Resources;
import java.util.List;

/**
 * The queue as one plan found it.
 *
 * @param jobs jobs with pending tasks in the order in which they are given capacity
 * @param smallestRequest the smallest amount of each resource that a task of any of these jobs requests;
 *     {@link Resources#NONE} if there are no jobs
 * @param createdMicros when the order was determined
 */
record QueueSnapshot(List<JobQueue.QueuedJob> jobs, Resources smallestRequest, long createdMicros) {
    /** Before any time that a leader can see, and far enough from the end of the range to be subtracted. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** What there is before the first plan. */
    static final QueueSnapshot NONE = new QueueSnapshot(List.of(), Resources.NONE, NEVER_MICROS);

    /**
     * Takes the queue as it is.
     *
     * @param jobs in their order; not copied
     * @param nowMicros the time of the plan
     */
    static QueueSnapshot of(List<JobQueue.QueuedJob> jobs, long nowMicros) {
        return new QueueSnapshot(jobs, smallestRequest(jobs), nowMicros);
    }

    private static Resources smallestRequest(List<JobQueue.QueuedJob> jobs) {
        if (jobs.isEmpty()) {
            return Resources.NONE;
        }
        Resources smallest = jobs.get(0).job().spec.taskResources();
        for (JobQueue.QueuedJob queued : jobs) {
            smallest = smallest.min(queued.job().spec.taskResources());
        }
        return smallest;
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** Whether the machine has free capacity for a task of any of the jobs, as far as each resource by itself tells. */
    boolean mayFitIn(Machine machine) {
        return smallestRequest.fitsIn(machine.freeCapacity());
    }
}
