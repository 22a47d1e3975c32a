package io.micatide.controller;

import io.micatide.net.Reply;
import io.micatide.net.Request;

/** What concerns who follows whom. */
sealed interface StandbyMessage extends LeaderMessage {
    /** Whether this controller's copy of what a leader reads is whole. */
    record ReplicaStateChanged(boolean isComplete) implements StandbyMessage {}

    /** What a sibling says of its readiness. */
    record ReadinessAnswered(Reply reply, int peer) implements StandbyMessage {}

    /** A leader that ends wants this controller to catch up. */
    record HandoverRequested(Request request) implements StandbyMessage {}

    /** The leader's hints for this controller. */
    record HintsReceived(Request request) implements StandbyMessage {}

    /** An heir's answer to hints of the term with this token. */
    record HintsAcknowledged(Reply reply, long fencingToken, int peer) implements StandbyMessage {}
}
