package io.micatide.scheduler;

import io.micatide.model.Command;
import io.micatide.model.Heartbeat;
import io.micatide.model.TermAnnouncement;
import java.util.List;

/**
 * Applies the heartbeats of workers and responds to them.
 *
 * <p>Called only by the leader's actor. Times are microseconds of the leader's steady clock.
 */
public interface HeartbeatListener {
    /**
     * Applies a heartbeat and returns the commands of the response.
     *
     * @param heartbeat heartbeat whose fencing token is not higher than that of this term
     * @param nowMicros time of receipt
     * @return the commands for the worker, in the order in which they must be executed
     */
    List<Command> handleHeartbeat(Heartbeat heartbeat, long nowMicros);

    /**
     * Applies a heartbeat that was received as the answer to an announcement of the term. It is as valid as any other heartbeat, but no command can
     * be sent in response to it. The worker counts its lease from the last response that it received, so the leader, which counts from this
     * heartbeat, regards tasks as lost later than necessary, never too early.
     *
     * <p>Applied only to a machine that is not reconciled, since no start of this term can be in flight to it. A worker has one heartbeat in flight
     * at a time, so a newer regular heartbeat shows whether a start in the previous response was executed. An answer to an announcement may have been
     * created before that response arrived: four starts in flight were regarded as lost and repeated on other machines (ran_twice in three of some
     * 6,300 generated scenarios).
     *
     * @param heartbeat heartbeat whose fencing token is not higher than that of this term
     * @param nowMicros time of receipt
     */
    void announcementAnswered(Heartbeat heartbeat, long nowMicros);

    /**
     * Returns announcements of the term to machines that jobs wait for and that have not sent a heartbeat to this leader, at most one for each
     * machine.
     *
     * @param limit maximum number of announcements
     * @return the announcements that are due now
     */
    List<TermAnnouncement> nextAnnouncements(int limit);
}
