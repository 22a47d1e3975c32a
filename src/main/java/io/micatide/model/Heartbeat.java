package io.micatide.model;

import java.util.List;

/**
 * A worker's heartbeat with the status of its machine and tasks.
 *
 * @param machine the name of the machine, unique in the deployment
 * @param address host and port at which the worker takes commands
 * @param type the name of the machine type
 * @param zone in which the machine is
 * @param spot whether it is a spot instance, which the cloud provider may take back
 * @param incarnation of the worker, from 1; it increases each time the worker's lease expires, which kills all its tasks
 * @param sequence of this heartbeat; it increases with every heartbeat of the incarnation
 * @param fencingToken the highest that the worker has seen, 0 for none
 * @param spotNoticeMicros how long until the provider takes the machine back, -1 without such a notice
 * @param tasks the status of all tasks on the machine
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
     * Whether the worker sent this heartbeat after another one; heartbeats may be delivered twice and out of order.
     *
     * @param otherIncarnation the incarnation of the other heartbeat
     * @param otherSequence its sequence
     * @return false also for a copy of the other one
     */
    public boolean isNewerThan(long otherIncarnation, long otherSequence) {
        return incarnation > otherIncarnation || (incarnation == otherIncarnation && sequence > otherSequence);
    }
}
