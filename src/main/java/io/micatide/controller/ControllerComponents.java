package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.rollout.Capabilities;
import io.micatide.standby.KeyspaceReplica;

/**
 * The parts of a controller that a simulation may replace, to inject faults or to play another version.
 *
 * @param archivers makes the archiver of finished jobs
 * @param replicas makes the standby's replicas of the leader's records
 * @param capabilities the features that this version can read and write
 */
public record ControllerComponents(
        Archiver.Factory archivers, KeyspaceReplica.Factory replicas, Capabilities capabilities) {

    /**
     * The parts that a deployed controller has.
     *
     * @return the standard parts, with all capabilities of this version
     */
    public static ControllerComponents standard() {
        return withArchiver(Archiver::new);
    }

    /**
     * The standard parts with another archiver.
     *
     * @param archivers makes the archiver of finished jobs
     * @return the standard parts but for the archiver
     */
    public static ControllerComponents withArchiver(Archiver.Factory archivers) {
        return new ControllerComponents(archivers, KeyspaceReplica::new, Capabilities.ALL);
    }
}
