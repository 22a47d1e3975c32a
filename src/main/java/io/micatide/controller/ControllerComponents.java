package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.jobs.JobMemoryLimit;
import io.micatide.rollout.Capabilities;
import io.micatide.scheduler.ArrayTaskLimit;
import io.micatide.standby.KeyspaceReplica;

/**
 * The components of a controller that a simulation may replace, to inject faults or to simulate another version.
 *
 * @param archivers creates the archiver of finished jobs
 * @param replicas creates the standby's replicas of the leader's records
 * @param capabilities the features that this version can read and write
 * @param jobMemoryBytes limit of the estimated heap that the accepted jobs may take, in bytes
 * @param maxArrayTasks limit of the tasks of arrays that a leader has placed at once
 */
public record ControllerComponents(
        Archiver.Factory archivers,
        KeyspaceReplica.Factory replicas,
        Capabilities capabilities,
        long jobMemoryBytes,
        long maxArrayTasks) {

    /**
     * Returns the components of a deployed controller.
     *
     * @return the standard components, with all capabilities of this version
     */
    public static ControllerComponents standard() {
        return withArchiver(Archiver::new);
    }

    /**
     * Returns the standard components with the given archiver.
     *
     * @param archivers creates the archiver of finished jobs
     * @return the standard components except for the archiver
     */
    public static ControllerComponents withArchiver(Archiver.Factory archivers) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new ControllerComponents(
                archivers,
                KeyspaceReplica::new,
                Capabilities.ALL,
                JobMemoryLimit.maxBytesInHeap(heapBytes),
                ArrayTaskLimit.maxTasksInHeap(heapBytes));
    }
}
