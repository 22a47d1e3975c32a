package io.micatide.controller;

import io.micatide.net.Reply;
import io.micatide.net.Request;

/** A message about standbys, to a leader or to a standby; handled by {@link StandbyCoordinator}. */
sealed interface StandbyMessage extends LeaderMessage {
    /** Reports whether this controller's replicas of the leader's records are complete, after it may have changed. */
    record ReplicaStateChanged(boolean isComplete) implements StandbyMessage {}

    /** A peer answered how ready it is to lead. */
    record ReadinessAnswered(Reply reply, int peer) implements StandbyMessage {}

    /** A leader that shuts down requests that this controller catches up and takes over. */
    record HandoverRequested(Request request) implements StandbyMessage {}

    /** The leader sent hints to this controller. */
    record HintsReceived(Request request) implements StandbyMessage {}

    /** A standby answered a batch of hints of the term with this fencing token. */
    record HintsAcknowledged(Reply reply, long fencingToken, int peer) implements StandbyMessage {}
}
