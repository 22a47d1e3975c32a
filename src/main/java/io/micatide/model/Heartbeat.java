package io.micatide.model;

import java.util.List;

/**
 * A worker's heartbeat with the status of its machine and tasks.
 *
 * @param machine name of the machine, unique in the deployment
 * @param address host and port at which the worker accepts commands, null if not sent
 * @param type name of the machine type
 * @param zone zone of the machine
 * @param spot whether it is a spot instance, which the cloud provider may reclaim
 * @param incarnation of the worker, from 1; incremented each time the worker's lease expires, which kills all its tasks
 * @param sequence number of this heartbeat; it increases with every heartbeat of the incarnation
 * @param fencingToken highest fencing token that the worker has received, 0 for none
 * @param spotNoticeMicros time until the provider reclaims the machine, in microseconds, or -1 without a notice
 * @param tasks status of all tasks on the machine
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        long spotNoticeMicros,
        List<TaskStatus> tasks) {

    /**
     * Returns whether the worker sent this heartbeat after the given one; heartbeats may be delivered twice and out of order.
     *
     * @param otherIncarnation incarnation of the other heartbeat
     * @param otherSequence sequence number of the other heartbeat
     * @return false also for a duplicate of the other heartbeat
     */
    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation > otherIncarnation || (incarnation == otherIncarnation && sequence > otherSequence);
    }
}
