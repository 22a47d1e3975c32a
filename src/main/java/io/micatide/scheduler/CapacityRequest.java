package io.micatide.scheduler;

import io.micatide.model.Priority;
import io.micatide.model.Resources;

/**
 * A search for capacity for one task: free capacity, with or without capacity that preemption could free.
 *
 * @param taskResources what the task requests
 * @param source what counts as capacity
 * @param priority of the job that the task belongs to; not used with {@link Source#FREE}
 */
record CapacityRequest(Resources taskResources, Source source, Priority priority) {
    /** What counts as capacity. */
    enum Source {
        /** Free capacity only. */
        FREE,
        /** Free capacity, and that used by tasks of a lower priority that end at once when they are stopped. */
        LOWER_PRIORITY,
        /** As {@link #LOWER_PRIORITY}, and capacity used by arrays of the same priority, for a team that reclaims its guarantee. */
        SAME_PRIORITY,
        /** Free capacity, and that used by tasks of a lower priority that have to write a checkpoint before they end. */
        CHECKPOINTABLE
    }

    /** Returns a request for free capacity for one task. */
    static CapacityRequest free(Resources taskResources) {
        return new CapacityRequest(taskResources, Source.FREE, Priority.LOW);
    }
}
