package io.micatide.controller;

import io.micatide.net.Reply;
import io.micatide.net.Request;

/** What concerns who follows whom. */
sealed interface StandbyMessage extends LeaderActor.Message {
    /** Whether this controller's copy of what a leader reads is whole. */
    record CopyIs(boolean whole) implements StandbyMessage {}

    /** What a sibling says of its readiness. */
    record WarmthTold(Reply reply, int sibling) implements StandbyMessage {}

    /** A leader that ends wants this controller to catch up. */
    record TakeHandOver(Request request) implements StandbyMessage {}

    /** The leader's hints for this controller. */
    record TakeHints(Request request) implements StandbyMessage {}

    /** An heir's answer to hints of the term with this token. */
    record HintsAnswered(Reply reply, long fencingToken, int sibling) implements StandbyMessage {}
}
