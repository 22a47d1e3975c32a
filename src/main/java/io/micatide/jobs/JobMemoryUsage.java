package io.micatide.jobs;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.store.StoredRecord;
import java.util.HashMap;
import java.util.Map;

/**
 * The estimated heap that the known jobs take on the controller that needs most for them, which is the leader. Every controller derives the same
 * estimate from the same records, so that a job that one of them accepts fits on whichever leads next. Not thread-safe.
 */
public final class JobMemoryUsage {
    /** Objects of a job with a description: its record, its queue entry and its state in the term of a leader. */
    private static final int DESCRIBED_JOB_BYTES = 2_048;
    /** Objects of a job without a description, of which only the outcome is kept. */
    private static final int OUTCOME_BYTES = 384;
    /** A reference to a shared id in the job's description and one to the job in the list of dependents. */
    private static final int DEPENDENCY_BYTES = 16;
    /** Bits of a task in the sets of finished, live and recorded tasks. */
    private static final int TASK_BYTES = 1;
    /** Objects of a task from its placement until it has ended: its placement, and the entries of its job and machine. */
    public static final int PLACED_TASK_BYTES = 180;
    /** Headers of a string and of its bytes, and the reference to it. */
    private static final int TEXT_BYTES = 48;

    private final Map<String, Long> bytesByTeam = new HashMap<>();
    private long totalBytes;

    /** Creates the usage of no jobs. */
    public JobMemoryUsage() {}

    /** Returns the estimated heap in bytes that a job's record and all that is derived from it take. */
    public static long estimateBytes(String id, StoredRecord.JobRecord jobRecord) {
        JobSpec spec = jobRecord.spec();
        if (spec == null) {
            return OUTCOME_BYTES + textBytes(id);
        }
        long bytes = DESCRIBED_JOB_BYTES
                + textBytes(id)
                + textBytes(spec.jobClass())
                + textBytes(spec.team())
                + textBytes(spec.image())
                + (spec.zone() == null ? 0 : textBytes(spec.zone()))
                + (long) TASK_BYTES * spec.taskCount()
                + (long) PLACED_TASK_BYTES * minTasksAtOnce(spec)
                + (long) DEPENDENCY_BYTES * spec.dependencies().size();
        for (String type : spec.machineTypes()) {
            bytes += textBytes(type);
        }
        return bytes;
    }

    /** Returns how many tasks must be placed at once if any is: all of a gang or service, one of an array. */
    private static int minTasksAtOnce(JobSpec spec) {
        return spec.kind() == JobKind.ARRAY ? 1 : spec.taskCount();
    }

    private static long textBytes(String text) {
        return TEXT_BYTES + (long) Character.BYTES * text.length();
    }

    /** Adds a job. */
    void add(String id, StoredRecord.JobRecord jobRecord) {
        change(jobRecord.spec(), estimateBytes(id, jobRecord));
    }

    /** Removes a job that was added with the same record. */
    void remove(String id, StoredRecord.JobRecord jobRecord) {
        change(jobRecord.spec(), -estimateBytes(id, jobRecord));
    }

    private void change(JobSpec spec, long bytes) {
        totalBytes += bytes;
        if (spec != null) {
            bytesByTeam.merge(spec.team(), bytes, JobMemoryUsage::sumOrNone);
        }
    }

    /** Returns the sum, or null if it is 0, so that a team without jobs has no entry. */
    private static Long sumOrNone(long known, long change) {
        return known + change == 0 ? null : known + change;
    }

    /** Returns the bytes of all jobs. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the bytes of the jobs with a description that belong to a team. */
    public long bytesOf(String team) {
        return bytesByTeam.getOrDefault(team, 0L);
    }
}
