package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;

/** Jobs that ended, each kept until it is taken once: as a record for those who wait for it, and as a line for the log. */
final class JobOutcomes {
    private final RuntimeEstimator runtimeEstimator;
    private final List<Job> completedJobs = new ArrayList<>();
    private final List<FinishedJob> finishedJobs = new ArrayList<>();

    JobOutcomes(RuntimeEstimator runtimeEstimator) {
        this.runtimeEstimator = runtimeEstimator;
    }

    /** The record of its completion, written by this leader, is confirmed. */
    void jobCompleted(Job job) {
        completedJobs.add(job);
    }

    /** The final record of a job is in the store, whoever wrote it. */
    void finalRecordStored(String id, StoredRecord.JobRecord record, long version) {
        finishedJobs.add(new FinishedJob(id, record, version));
    }

    /** Final records since the last call. */
    List<FinishedJob> takeFinishedJobs() {
        List<FinishedJob> result = List.copyOf(finishedJobs);
        finishedJobs.clear();
        return result;
    }

    /** A line for the log on each job completed since the last call. */
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
        if (job.attempts == 0) {
            return "all started before this term";
        }
        return String.format(
                "%d starts, first after %.1f s, last after %.1f s",
                job.attempts,
                Micros.toSeconds(job.firstStartMicros - job.readyMicros),
                Micros.toSeconds(job.lastStartMicros - job.readyMicros));
    }
}
