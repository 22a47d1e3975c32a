package io.micatide.model;

import java.util.List;

/**
 * The cancellations that a controller may have confirmed to users, as of the time at which it sends the digest.
 *
 * @param controller label of the sender
 * @param uptimeMicros uptime of the sender's process; cancellations that an earlier process confirmed may be missing
 * @param complete whether {@code cancelled} lists every job that the sender knows to be cancelled above the requested revision; otherwise
 *     the listed jobs are cancelled, but there may be more
 * @param cancelled the cancelled jobs
 */
public record CancellationDigest(String controller, long uptimeMicros, boolean complete, List<Cancelled> cancelled) {
    /**
     * A cancelled job.
     *
     * @param job identifier of the job
     * @param version revision of the job record with the cancellation
     */
    public record Cancelled(String job, long version) {}
}
