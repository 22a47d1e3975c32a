package io.micatide.scheduler;

import io.micatide.model.JobSpec;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The open jobs of a term and, among them, those with something to be written. Both are kept in the order of addition. */
final class OpenJobs {
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> dirtyJobs = new LinkedHashMap<>();
    /** Number of jobs of each class that this leader has seen, open or not. */
    private final RecentJobClasses<Integer> jobsSeenOfClass = new RecentJobClasses<>();

    Collection<Job> all() {
        return jobs.values();
    }

    /** Returns the open job of this id, or null. */
    Job get(String id) {
        return jobs.get(id);
    }

    boolean contains(String id) {
        return jobs.containsKey(id);
    }

    int seenOfClass(String jobClass) {
        return jobsSeenOfClass.getOrDefault(jobClass, 0);
    }

    /**
     * Adds an open job.
     *
     * @param version version of the stored job record
     * @param submittedWall time of day of the submission
     * @param submittedMicros the same on the steady clock
     * @param readyMicros time from which its waiting times and objectives count, on the steady clock
     * @return the job
     */
    Job add(JobSpec spec, long version, long submittedWall, long submittedMicros, long readyMicros) {
        Job job = new Job(spec, version, submittedWall, submittedMicros, readyMicros);
        jobsSeenOfClass.put(spec.jobClass(), seenOfClass(spec.jobClass()) + 1);
        jobs.put(spec.id(), job);
        return job;
    }

    /** Removes a job whose stored record is final, or of which nothing is left to be written; no further write is composed for it. */
    void remove(Job job) {
        jobs.remove(job.id());
        dirtyJobs.remove(job.id());
    }

    /** Marks the job as having something to be written. */
    void markDirty(Job job, long nowMicros) {
        if (job.dirtySinceMicros < 0) {
            job.dirtySinceMicros = nowMicros;
        }
        dirtyJobs.putIfAbsent(job.id(), job);
    }

    /** Marks the stored pages of the job as up to date. */
    void markClean(Job job) {
        dirtyJobs.remove(job.id());
        job.dirtySinceMicros = -1;
    }

    /** Marks a write of the job as sent. The job is not written again before the outcome is known. */
    void markInFlight(Job job) {
        job.writeInFlight = true;
        dirtyJobs.remove(job.id());
    }

    /** Returns a copy of the jobs that have something to be written and may be written now. */
    List<Job> writableJobs() {
        // A cancelled job stays open, and its ledger stored, until no task of it can be on a machine, even if the
        // job is dirty for another reason. If its ledger were deleted with the next batch, tasks that still run on a
        // hung or partitioned machine would count for no team, neither for this leader nor for the next one, and teams
        // at their limit would start more tasks than their quota allows.
        dirtyJobs.values().removeIf(job -> job.cancelled && job.mayBeRunning());
        return List.copyOf(dirtyJobs.values());
    }
}
