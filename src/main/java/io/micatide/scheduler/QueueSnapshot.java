package io.micatide.scheduler;

import io.micatide.model.Resources;
import java.util.List;

/**
 * The queue as determined by one plan.
 *
 * @param jobs jobs with pending tasks in the order in which they get capacity
 * @param smallestRequest the smallest amount of each resource that a task of any of these jobs requests; {@link
 *     Resources#NONE} if there are no jobs
 * @param createdMicros time at which the order was determined
 */
record QueueSnapshot(List<JobQueue.QueuedJob> jobs, Resources smallestRequest, long createdMicros) {
    /** Earlier than any time of the steady clock; half of the minimum, so that subtracting it does not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** The snapshot before the first plan. */
    static final QueueSnapshot NONE = new QueueSnapshot(List.of(), Resources.NONE, NEVER_MICROS);

    /**
     * Creates a snapshot of the queue.
     *
     * @param jobs in queue order; not copied
     * @param nowMicros time of the plan
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

    /**
     * Returns whether the machine may have free capacity for a task of any of the jobs. Each resource is compared
     * separately, so true does not guarantee that a task fits.
     */
    boolean mayFitIn(Machine machine) {
        return smallestRequest.fitsIn(machine.freeCapacity());
    }
}
