package io.micatide.scheduler;

import io.micatide.model.Hint;
import io.micatide.model.JobProgress;
import java.util.List;

/**
 * What a leader shows of its term: to users, to standbys, to the archive and in the log.
 *
 * <p>Called by the leader's actor alone. Times are microseconds of the leader's steady clock.
 */
public interface TermStatus {
    /**
     * How many machines are known of.
     *
     * @return their number, those that boot or are being deleted included
     */
    int machineCount();

    /**
     * Whether a job that is over may be archived as far as this leader's own work goes.
     *
     * @param id of the job
     * @return false as long as not all records are read
     */
    boolean mayBeArchived(String id);

    /**
     * How this term got back what the one before knew.
     *
     * @return the times, which change as the term goes on
     */
    FailoverTimings failoverTimings();

    /**
     * What this leader has learned and no record holds, for standbys.
     *
     * @param nowMicros the time
     * @return hints on machines, jobs and job classes
     */
    List<Hint> hints(long nowMicros);

    /**
     * What lasts beyond a failover without a standby: run times, quarantines, slow and deleted machines.
     *
     * @param nowMicros the time
     * @return the hints to be stored
     */
    List<Hint> durableHints(long nowMicros);

    /**
     * Counts of tasks of every open job, for display.
     *
     * @return one for each job
     */
    List<JobProgress> progress();

    /**
     * Lines for the log on jobs and machines that were quarantined, and once on the failover.
     *
     * @return those since the last call
     */
    List<String> takeNotices();

    /**
     * Lines for the log on completed jobs.
     *
     * @param nowMicros the time
     * @return one for each job since the last call
     */
    List<String> takeCompletionLines(long nowMicros);

    /**
     * The state of the term in one line for the log.
     *
     * @param nowMicros the time
     * @return counts as {@code name=count}
     */
    String summary(long nowMicros);
}
