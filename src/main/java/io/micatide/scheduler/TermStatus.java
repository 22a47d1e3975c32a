package io.micatide.scheduler;

import io.micatide.model.Hint;
import io.micatide.model.JobProgress;
import java.util.List;

/**
 * Provides the state of a term to users, standbys, the archive and the log.
 *
 * <p>Called only by the leader's actor. Times are microseconds of the leader's steady clock.
 */
public interface TermStatus {
    /**
     * Returns the number of machines that the leader knows.
     *
     * @return the number of machines, including those that are booting or being deleted
     */
    int machineCount();

    /**
     * Returns whether this leader has no work left for a finished job, so that the job may be archived.
     *
     * @param id id of the job
     * @return whether the job may be archived; false until all records have been read
     */
    boolean mayBeArchived(String id);

    /**
     * Returns the times that this term took to rebuild the state of the previous term.
     *
     * @return a live view of the times, which change as the failover proceeds
     */
    FailoverTimings failoverTimings();

    /**
     * Returns what this leader learned and no record holds, for standbys.
     *
     * @param nowMicros current time
     * @return hints about machines, jobs and job classes
     */
    List<Hint> hints(long nowMicros);

    /**
     * Returns the hints that must survive a failover without a standby: run times, quarantines, slow and deleted machines.
     *
     * @param nowMicros current time
     * @return the hints to be stored
     */
    List<Hint> durableHints(long nowMicros);

    /**
     * Returns the numbers of finished and running tasks of each open job, for display.
     *
     * @return one entry for each job
     */
    List<JobProgress> progress();

    /**
     * Returns log lines on jobs and machines that were quarantined, and once a line on the failover.
     *
     * @return the lines since the last call
     */
    List<String> takeNotices();

    /**
     * Returns log lines on completed jobs.
     *
     * @param nowMicros current time
     * @return one line for each job that was completed since the last call
     */
    List<String> takeCompletionLines(long nowMicros);

    /**
     * Returns the state of the term as one log line.
     *
     * @param nowMicros current time
     * @return counts in the form {@code name=count}, separated by spaces
     */
    String summary(long nowMicros);
}
