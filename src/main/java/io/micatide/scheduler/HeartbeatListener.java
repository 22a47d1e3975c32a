package io.micatide.scheduler;

import io.micatide.model.Command;
import io.micatide.model.Heartbeat;
import io.micatide.model.TermAnnouncement;
import java.util.List;

/**
 * Applies the heartbeats of workers and answers them.
 *
 * <p>Called by the leader's actor alone. Times are microseconds of the leader's steady clock.
 */
public interface HeartbeatListener {
    /**
     * Applies a heartbeat and answers it.
     *
     * @param heartbeat whose fencing token is not above this term's
     * @param nowMicros of its receipt
     * @return the commands for its worker, in the order in which they are to be executed
     */
    List<Command> handleHeartbeat(Heartbeat heartbeat, long nowMicros);

    /**
     * Applies a heartbeat that came as the answer to an announcement of the term. It proves as much as any other, but no command can be sent in answer to
     * it, and the worker's lease runs on from the last answer that it had: what is taken for gone from then on is taken for so too late.
     *
     * <p>Only for a machine that is not reconciled, which no start of this term can be on its way to. A worker has one heartbeat under way at a time, so a
     * newer one shows what became of a start in the answer to the one before; this one may have been made before that answer came, and four starts that
     * were on their way were taken for lost and made again elsewhere (ran_twice, on three of some 6,300 drawn days).
     *
     * @param heartbeat whose fencing token is not above this term's
     * @param nowMicros of its receipt
     */
    void announcementAnswered(Heartbeat heartbeat, long nowMicros);

    /**
     * Announcements of the term to machines that jobs wait for and that have not reported to this leader, each once.
     *
     * @param limit how many at most
     * @return those that are due now
     */
    List<TermAnnouncement> nextAnnouncements(int limit);
}
