package io.micatide.model;

import java.util.List;

/**
 * What a controller says of the cancellations that it may have told users of, as of the moment at which it says so.
 *
 * @param controller whose word it is
 * @param uptimeMicros how long its process has lived; what a process before it told is not in it
 * @param complete whether {@code cancelled} has every job that it came to know as cancelled by a row above the revision asked for;
 *     otherwise the names are true and prove nothing
 * @param cancelled those jobs, each with the version of its row
 */
public record CancellationDigest(String controller, long uptimeMicros, boolean complete, List<Cancelled> cancelled) {
    /** A job whose row says at this version that it is cancelled. */
    public record Cancelled(String job, long version) {}
}
