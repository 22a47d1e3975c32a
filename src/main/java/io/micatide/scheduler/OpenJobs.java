package io.micatide.scheduler;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.micatide.model.JobSpec;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The open jobs of a term, and which of them have something to be written. Both keep the order of their addition. */
final class OpenJobs {
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Job> dirtyJobs = new LinkedHashMap<>();
    /** How many jobs of each class this leader has seen. */
    private final Multiset<String> jobsSeenOfClass = HashMultiset.create();

    Collection<Job> all() {
        return jobs.values();
    }

    /** The open job of this id, or null. */
    Job get(String id) {
        return jobs.get(id);
    }

    boolean contains(String id) {
        return jobs.containsKey(id);
    }

    int seenOfClass(String jobClass) {
        return jobsSeenOfClass.count(jobClass);
    }

    /**
     * Adds an open job.
     *
     * @param version of its stored record
     * @param submittedWall time of day of its submission
     * @param submittedMicros the same on the steady clock
     * @param readyMicros from when its times count, on the steady clock
     */
    Job add(JobSpec spec, long version, long submittedWall, long submittedMicros, long readyMicros) {
        Job job = new Job(spec, version, submittedWall, submittedMicros, readyMicros);
        jobsSeenOfClass.add(spec.jobClass());
        jobs.put(spec.id(), job);
        return job;
    }

    /** The job is over by its stored record: nothing more is written of it. */
    void remove(Job job) {
        jobs.remove(job.id());
        dirtyJobs.remove(job.id());
    }

    /** The job was cancelled and has no ledger: it is over. */
    void removeWithoutLedger(Job job) {
        jobs.remove(job.id());
    }

    /** Something of the job is to be written. */
    void markDirty(Job job, long nowMicros) {
        if (job.dirtySinceMicros < 0) {
            job.dirtySinceMicros = nowMicros;
        }
        dirtyJobs.putIfAbsent(job.id(), job);
    }

    /** The stored pages of the job say all that there is to say. */
    void markClean(Job job) {
        dirtyJobs.remove(job.id());
        job.dirtySinceMicros = -1;
    }

    /** A write of the job is sent: it is not written again before the outcome is known. */
    void markInFlight(Job job) {
        job.writeInFlight = true;
        dirtyJobs.remove(job.id());
    }

    /** The jobs that have something to be written and may be, as a copy. */
    List<Job> writableJobs() {
        // Whatever else made it dirty, a cancelled job stays open here and its ledger in the store until nothing of it
        // can be on a machine. It once went with the next batch that came for a finished task or a machine to record:
        // what went on on a hung or partitioned machine counted for no team any more, neither here nor for the next
        // leader, and teams at their limits started too much (quota).
        dirtyJobs.values().removeIf(job -> job.cancelled && job.mayBeRunning());
        return List.copyOf(dirtyJobs.values());
    }
}
