package io.micatide.jobs;

import io.micatide.model.CancellationDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The newest thousand jobs that a controller knows as cancelled, be it by its own confirmed write, by a read of the store or by a peer.
 * Invariant: a controller records a job here before it confirms the cancellation to a user. Kept beside the job cache, since a job that
 * is archived leaves the cache. Not thread-safe.
 */
public final class CancellationLog {
    /** A leader that the store does not answer misses seconds' worth; so many names fill a third of a peer's answer. */
    static final int MAX_ENTRIES = 1_000;

    private final Deque<CancellationDigest.Cancelled> entries = new ArrayDeque<>();
    /** Above this revision nothing is missing: what was dropped was older, and so was what a read of all jobs could no longer show. */
    private long completeAboveRevision;

    /** A log without entries that is complete from the first revision on. */
    public CancellationLog() {}

    /**
     * Records that a job is cancelled.
     *
     * @param job its identifier
     * @param version of the job's record that says so
     */
    public void record(String job, long version) {
        entries.addLast(new CancellationDigest.Cancelled(job, version));
        if (entries.size() > MAX_ENTRIES) {
            completeAboveRevision =
                    Math.max(completeAboveRevision, entries.removeFirst().version());
        }
    }

    /**
     * All jobs were read from the store: one that was cancelled and archived before may not have been among them.
     *
     * @param revision of the store that was read
     */
    public void allRecordsReadAt(long revision) {
        completeAboveRevision = Math.max(completeAboveRevision, revision);
    }

    /**
     * What this controller knows of cancellations above a revision.
     *
     * @param revision of the store
     * @param label of this controller
     * @param uptimeMicros how long this process has run
     * @return the digest as of now
     */
    public CancellationDigest digestSince(long revision, String label, long uptimeMicros) {
        List<CancellationDigest.Cancelled> cancelled = new ArrayList<>();
        for (CancellationDigest.Cancelled entry : entries) {
            if (entry.version() > revision) {
                cancelled.add(entry);
            }
        }
        return new CancellationDigest(label, uptimeMicros, revision >= completeAboveRevision, cancelled);
    }
}
