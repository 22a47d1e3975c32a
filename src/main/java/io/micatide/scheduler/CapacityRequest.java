package io.micatide.scheduler;

import io.micatide.model.Priority;
import io.micatide.model.Resources;

/**
 * Room for one task of a kind: free room, with or without what could be freed for it.
 *
 * @param taskResources what the task takes
 * @param priority of the job that asks; of no account for {@link Source#FREE}
 */
record CapacityRequest(Resources taskResources, Source source, Priority priority) {
    /** What counts as room. */
    enum Source {
        /** What is free now. */
        FREE,
        /** And what work of a lower priority takes that ends at once when it is stopped. */
        LOWER_PRIORITY,
        /** And what arrays of the same priority take, for a team that gets its guarantee back. */
        SAME_PRIORITY,
        /** What is free now, and what work of a lower priority takes that has to save first. */
        CHECKPOINTABLE
    }

    static CapacityRequest free(Resources each) {
        return new CapacityRequest(each, Source.FREE, Priority.LOW);
    }
}
