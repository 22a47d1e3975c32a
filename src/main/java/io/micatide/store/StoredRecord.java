package io.micatide.store;

import io.micatide.model.Hint;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import java.util.List;
import java.util.Map;

/** Values kept in the state service. */
public sealed interface StoredRecord {
    record Leader(String owner) implements StoredRecord {}

    /**
     * @param spec null once the job is done, and of a job that was withdrawn before it could start
     * @param submittedWall time of day
     * @param endedWall time of day at which the job was done, or -1: the times of jobs that need it count from there
     * @param furtherNeeds how many rows of {@link Needs} belong to this one
     * @param checked written on condition of the archive as its writer knew it, so that the job certainly was not archived; a
     *     row without this that is younger than the archive is of a former version and has to be looked up first
     */
    record JobRow(
            JobState state,
            JobSpec spec,
            long submittedWall,
            int tasks,
            long endedWall,
            int furtherNeeds,
            boolean checked)
            implements StoredRecord {
        public JobRow(JobState state, JobSpec spec, long submittedWall, int tasks) {
            this(state, spec, submittedWall, tasks, -1, 0, false);
        }

        public JobRow(JobState state, JobSpec spec, long submittedWall, int tasks, long endedWall, int furtherNeeds) {
            this(state, spec, submittedWall, tasks, endedWall, furtherNeeds, false);
        }

        public JobRow asChecked(boolean now) {
            return now == checked ? this : new JobRow(state, spec, submittedWall, tasks, endedWall, furtherNeeds, now);
        }

        /** The same with these needs in its description and so many rows with further ones. */
        public JobRow withNeeds(List<String> needs, int further) {
            return new JobRow(state, spec.withNeeds(needs), submittedWall, tasks, endedWall, further, checked);
        }
    }

    /** Names that a job's row has no room for; written in the same transaction. */
    record Needs(List<String> names) implements StoredRecord {}

    /**
     * The mark that all controllers read layout {@code number}; what an older one cannot read is written only after it.
     *
     * @param pageTasks how many tasks a ledger page holds from then on, whatever the settings say later
     */
    record Layout(int number, int pageTasks) implements StoredRecord {}

    /**
     * @param machines every machine on which an attempt of the job may be; written before the first start there
     * @param gangAttempt attempt of the gang, shared by all its tasks; 0 for other jobs
     * @param done finished tasks of this page
     * @param dense the names are stored in short ({@link MachineNameCodec}); only once every controller reads that
     */
    record Ledger(List<String> machines, long gangAttempt, String done, boolean dense) implements StoredRecord {
        public Ledger(List<String> machines, long gangAttempt, String done) {
            this(machines, gangAttempt, done, false);
        }
    }

    record Booking(String state, String type, String zone, boolean spot, int count) implements StoredRecord {}

    /** Machine types as the cloud last told them. */
    record Types(List<MachineType> types) implements StoredRecord {}

    /**
     * The manifest of the archive of final states: what is archived is what its runs hold. Its existence is the mark of layout 3,
     * and it stands among the job rows so that one read of their changes tells both, in one order.
     *
     * @param sinceVersion revision at which the archive began, 0 while this is its first manifest
     * @param saltA by which ids are spread over the segments of a run, not negative; with {@code saltB}
     * @param saltB the second such number
     */
    record History(long sinceVersion, long saltA, long saltB, List<Run> runs) implements StoredRecord {}

    /**
     * One immutable run of the archive, in {@code segments} values that share the hash of the ids evenly.
     *
     * @param jobs how many jobs it holds
     * @param bytes what its packed segments take together, without the frame of a value
     */
    record Run(String name, int segments, long jobs, long bytes) {}

    /** How far each change of the stored state has come, by its name; a row among those of the jobs, so that all read it in one order with them. */
    record Features(Map<String, String> stages) implements StoredRecord {
        public Features {
            stages = Map.copyOf(stages);
        }
    }

    /**
     * A controller that is there, attached to its lease.
     *
     * @param build its version, for operators
     * @param knows names of the features that it can read and write
     * @param acts version of {@link Features} by which it acts, 0 for none
     * @param sinceWall time of day at which its process began
     */
    record Here(String build, List<String> knows, long acts, long sinceWall) implements StoredRecord {}

    /** What an operator asks for of a feature. */
    enum Wish {
        NONE,
        HOLD,
        BACK
    }

    record Ask(Wish wish) implements StoredRecord {}

    /** Moves with each round that deletes a booking, and is a condition of each that writes one. */
    record Fence(long number) implements StoredRecord {}

    /** Machines whose deletion is asked for, or was answered not long ago. */
    record Returned(List<String> machines) implements StoredRecord {}

    /** A part of what a leader has learned, for one that nobody told. */
    record Learned(List<Hint> hints) implements StoredRecord {}

    /** A segment of a run; {@code digest} covers its key too, so that no value is taken for another. */
    record Segment(String digest, byte[] packed) implements StoredRecord {}
}
