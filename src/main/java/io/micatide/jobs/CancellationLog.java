package io.micatide.jobs;

import io.micatide.model.CancellationDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The jobs that a controller has come to know as cancelled, the newest thousand: by its own confirmed write, by reading or by a sibling's
 * word. Whatever it tells a user of a cancellation it has entered here before. Kept beside the copy of the rows, since a row that
 * is archived leaves the copy.
 */
public final class CancellationLog {
    /** What a leader that is not served misses is seconds' worth; so many names fill a third of what a sibling may say at once. */
    static final int MAX_ENTRIES = 1_000;

    private final Deque<CancellationDigest.Cancelled> newestEntries = new ArrayDeque<>();
    /** Above this revision nothing is missing: what was dropped was older, and so was what a read of all rows could not show any more. */
    private long completeAboveRevision;

    public void add(String job, long version) {
        newestEntries.addLast(new CancellationDigest.Cancelled(job, version));
        if (newestEntries.size() > MAX_ENTRIES) {
            completeAboveRevision =
                    Math.max(completeAboveRevision, newestEntries.removeFirst().version());
        }
    }

    /** All rows were read as of this revision: what was cancelled and archived before it may not have been among them. */
    public void fullReadFinished(long revision) {
        completeAboveRevision = Math.max(completeAboveRevision, revision);
    }

    /** @param livedMicros how long the process has lived */
    public CancellationDigest digestSince(long revision, String label, long livedMicros) {
        List<CancellationDigest.Cancelled> names = new ArrayList<>();
        for (CancellationDigest.Cancelled each : newestEntries) {
            if (each.version() > revision) {
                names.add(each);
            }
        }
        return new CancellationDigest(label, livedMicros, revision >= completeAboveRevision, names);
    }
}
