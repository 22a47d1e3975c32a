package io.micatide.jobs;

import io.micatide.store.StoredRecord;
import java.util.Set;

/**
 * Decides whether one more job may be accepted, so that the accepted jobs fit into the heap of every controller. An accepted job is kept whatever
 * happens; a job beyond the limit is refused before it is written, and may be submitted again once others have ended.
 *
 * <p>A part of the memory is guaranteed to the teams in equal shares, so that no team is refused because of the jobs of others before it has used
 * its share. The rest is for whoever needs it. Jobs whose write is in flight count as accepted. Not thread-safe.
 */
public final class JobMemoryLimit {
    /** Share of the heap for jobs. The rest is for the fleet, the placements, the archive's filters, and requests and replies in flight. */
    private static final double HEAP_SHARE = 0.4;
    /** Share of the limit that is guaranteed to the teams. */
    private static final double GUARANTEED_SHARE = 0.25;

    private final JobMemoryUsage knownJobs;
    /** The jobs whose write is in flight. */
    private final JobMemoryUsage reservations = new JobMemoryUsage();

    private final long maxBytes;
    private final Set<String> teams;
    private final long guaranteedBytesPerTeam;

    /**
     * Creates a limit.
     *
     * @param knownJobs usage of the known jobs, a live view
     * @param maxBytes estimated bytes of all jobs, see {@link JobMemoryUsage}
     * @param teams names of the teams of the deployment
     */
    public JobMemoryLimit(JobMemoryUsage knownJobs, long maxBytes, Set<String> teams) {
        this.knownJobs = knownJobs;
        this.maxBytes = maxBytes;
        this.teams = Set.copyOf(teams);
        this.guaranteedBytesPerTeam = (long) (GUARANTEED_SHARE * maxBytes) / Math.max(1, teams.size());
    }

    /** Returns the bytes for jobs in a heap of the given size. */
    public static long maxBytesInHeap(long heapBytes) {
        return (long) (HEAP_SHARE * heapBytes);
    }

    /** Returns the limit in estimated bytes. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns whether a job may be accepted in addition to the known jobs and those whose write is in flight. */
    public boolean admits(String id, StoredRecord.JobRecord jobRecord) {
        long bytes = JobMemoryUsage.estimateBytes(id, jobRecord);
        long guaranteedBytes = jobRecord.spec() == null
                ? 0
                : Math.max(
                        0, guaranteedBytesPerTeam - usedBytes(jobRecord.spec().team()));
        long sharedBytes = bytes - guaranteedBytes;
        return sharedBytes <= 0 || sharedBytes <= freeSharedBytes();
    }

    private long usedBytes() {
        return knownJobs.totalBytes() + reservations.totalBytes();
    }

    private long usedBytes(String team) {
        return knownJobs.bytesOf(team) + reservations.bytesOf(team);
    }

    /** Returns the bytes that are free when each team uses at least what is guaranteed to it. */
    private long freeSharedBytes() {
        long free = maxBytes - usedBytes();
        for (String team : teams) {
            free -= Math.max(0, guaranteedBytesPerTeam - usedBytes(team));
        }
        return free;
    }

    /** Counts a job whose write is in flight until {@link #release}. */
    public void reserve(String id, StoredRecord.JobRecord jobRecord) {
        reservations.add(id, jobRecord);
    }

    /** Ends a reservation that was made with the same record. */
    public void release(String id, StoredRecord.JobRecord jobRecord) {
        reservations.remove(id, jobRecord);
    }
}
