package io.micatide.model;

import java.util.List;

/**
 * The cancellations that a controller may have confirmed to users, as of the moment at which it sends this.
 *
 * @param controller the label of the sender
 * @param uptimeMicros how long its process has run; what an earlier process confirmed may be missing
 * @param complete whether {@code cancelled} has every job that it knows as cancelled above the revision asked for; otherwise the jobs
 *     named are cancelled, but there may be more
 * @param cancelled those jobs
 */
public record CancellationDigest(String controller, long uptimeMicros, boolean complete, List<Cancelled> cancelled) {
    /**
     * A cancelled job.
     *
     * @param job its identifier
     * @param version of the job's record that says so, a revision of the store
     */
    public record Cancelled(String job, long version) {}
}
