package io.micatide.controller;

import io.micatide.net.Reply;
import io.micatide.net.Request;

/** What concerns standbys, on the leader's side and on theirs; handled by {@link StandbyCoordinator}. */
sealed interface StandbyMessage extends LeaderMessage {
    /** Whether this controller's replicas of the leader's records are complete has changed. */
    record ReplicaStateChanged(boolean isComplete) implements StandbyMessage {}

    /** A peer answered how ready it is to lead. */
    record ReadinessAnswered(Reply reply, int peer) implements StandbyMessage {}

    /** A leader that shuts down asks this controller to catch up and take over. */
    record HandoverRequested(Request request) implements StandbyMessage {}

    /** The leader sent hints to this controller. */
    record HintsReceived(Request request) implements StandbyMessage {}

    /** A standby answered the hints of the term with this fencing token. */
    record HintsAcknowledged(Reply reply, long fencingToken, int peer) implements StandbyMessage {}
}
