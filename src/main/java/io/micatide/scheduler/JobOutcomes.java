package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;

/** Collects finished jobs until they are taken: their final records for dependent jobs, and one log line for each completed job. */
final class JobOutcomes {
    private final RuntimeEstimator runtimeEstimator;
    private final List<Job> completedJobs = new ArrayList<>();
    private final List<FinishedJob> finishedJobs = new ArrayList<>();

    JobOutcomes(RuntimeEstimator runtimeEstimator) {
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Adds a job whose completion was written by this leader and is confirmed. */
    void jobCompleted(Job job) {
        completedJobs.add(job);
    }

    /** Adds the final record of a job that is in the store, written by this leader or another process. */
    void finalRecordStored(String id, StoredRecord.JobRecord record, long version) {
        finishedJobs.add(new FinishedJob(id, record, version));
    }

    /** Returns the final records that were added since the last call. */
    List<FinishedJob> takeFinishedJobs() {
        List<FinishedJob> result = List.copyOf(finishedJobs);
        finishedJobs.clear();
        return result;
    }

    /** Returns a log line for each job that was completed since the last call. */
    List<String> takeCompletionLines(long nowMicros) {
        List<String> lines = new ArrayList<>();
        for (Job job : completedJobs) {
            lines.add(completionLine(job, nowMicros));
        }
        completedJobs.clear();
        return lines;
    }

    private String completionLine(Job job, long nowMicros) {
        return String.format(
                "%s (%s) done %.1f s after its submission, %.1f s after it was ready: %d tasks, %s, %.1f s expected",
                job.id(),
                job.spec.jobClass(),
                Micros.toSeconds(nowMicros - job.submittedMicros),
                Micros.toSeconds(nowMicros - job.readyMicros),
                job.spec.taskCount(),
                describeStarts(job),
                Micros.toSeconds(runtimeEstimator.expectedMicros(job)));
    }

    private static String describeStarts(Job job) {
        if (job.attemptCount == 0) {
            return "all started before this term";
        }
        return String.format(
                "%d starts, first after %.1f s, last after %.1f s",
                job.attemptCount,
                Micros.toSeconds(job.firstStartMicros - job.readyMicros),
                Micros.toSeconds(job.lastStartMicros - job.readyMicros));
    }
}
