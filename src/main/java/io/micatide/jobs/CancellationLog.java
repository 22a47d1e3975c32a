package io.micatide.jobs;

import io.micatide.model.CancellationDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The latest thousand jobs that a controller knows to be cancelled, from its own confirmed writes, from reads of the store or from peers.
 * Invariant: a controller records a job here before it confirms the cancellation to a user. The log is separate from the job cache, since
 * an archived job is removed from the cache. Not thread-safe.
 */
public final class CancellationLog {
    /**
     * A leader that cannot reach the store misses the cancellations of seconds only. A digest of this size takes a third of the size limit
     * of a peer's answer.
     */
    static final int MAX_ENTRIES = 1_000;

    private final Deque<CancellationDigest.Cancelled> entries = new ArrayDeque<>();
    /**
     * The log contains every known cancellation above this revision. Entries dropped because of the size limit are not newer than it, nor
     * are cancelled jobs that were archived before a full read.
     */
    private long completeAboveRevision;

    /** Creates an empty log that is complete from the first revision on. */
    public CancellationLog() {}

    /**
     * Records that a job is cancelled.
     *
     * @param job its identifier
     * @param version revision of the job record with the cancellation
     */
    public void record(String job, long version) {
        entries.addLast(new CancellationDigest.Cancelled(job, version));
        if (entries.size() > MAX_ENTRIES) {
            completeAboveRevision =
                    Math.max(completeAboveRevision, entries.removeFirst().version());
        }
    }

    /**
     * Marks the log as incomplete up to the revision of a full read of the jobs, which does not return jobs that were cancelled and archived
     * before.
     *
     * @param revision of the store at the read
     */
    public void allRecordsReadAt(long revision) {
        completeAboveRevision = Math.max(completeAboveRevision, revision);
    }

    /**
     * Returns the cancellations above a revision that this controller knows of.
     *
     * @param revision of the store
     * @param label of this controller
     * @param uptimeMicros uptime of this process in microseconds
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
