package io.micatide.scheduler;

import io.micatide.model.Priority;
import io.micatide.model.Resources;

/**
 * Capacity for one task of a kind: free capacity, with or without what could be freed for it.
 *
 *
 * @param taskResources what the task requests
 * @param source what counts as capacity
 *
 * @param priority of the job that asks; of no account for {@link Source#FREE}
 */
record CapacityRequest(Resources taskResources, Source source, Priority priority) {
    /** What counts as capacity. */
    enum Source {
        /** What is free now. */
        FREE,
        /** Also what work of a lower priority uses that ends at once when it is stopped. */
        LOWER_PRIORITY,
        /** Also what arrays of the same priority use, for a team that gets its guarantee back. */
        SAME_PRIORITY,
        /** What is free now, and what work of a lower priority uses that has to write a checkpoint first. */
        CHECKPOINTABLE
    }

    /** Free capacity for one task. */
    static CapacityRequest free(Resources taskResources) {
        return new CapacityRequest(taskResources, Source.FREE, Priority.LOW);
    }
}
