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
     * @param furtherDependencyRecords how many rows of {@link FurtherDependencies} belong to this one
     * @param checkedAgainstArchive written on condition of the archive as its writer knew it, so that the job certainly was not archived; a
     *     row without this that is younger than the archive is of a former version and has to be looked up first
     */
    record JobRecord(
            JobState state,
            JobSpec spec,
            long submittedWall,
            int taskCount,
            long endedWall,
            int furtherDependencyRecords,
            boolean checkedAgainstArchive)
            implements StoredRecord {
        public JobRecord(JobState state, JobSpec spec, long submittedWall, int tasks) {
            this(state, spec, submittedWall, tasks, -1, 0, false);
        }

        public JobRecord(
                JobState state, JobSpec spec, long submittedWall, int tasks, long endedWall, int furtherNeeds) {
            this(state, spec, submittedWall, tasks, endedWall, furtherNeeds, false);
        }

        public JobRecord withCheckedAgainstArchive(boolean now) {
            return now == checkedAgainstArchive
                    ? this
                    : new JobRecord(state, spec, submittedWall, taskCount, endedWall, furtherDependencyRecords, now);
        }

        /** The same with these needs in its description and so many rows with further ones. */
        public JobRecord withDependencies(List<String> needs, int further) {
            return new JobRecord(
                    state,
                    spec.withDependencies(needs),
                    submittedWall,
                    taskCount,
                    endedWall,
                    further,
                    checkedAgainstArchive);
        }
    }

    /** Names that a job's row has no room for; written in the same transaction. */
    record FurtherDependencies(List<String> names) implements StoredRecord {}

    /**
     * The mark that all controllers read layout {@code number}; what an older one cannot read is written only after it.
     *
     * @param pageTasks how many tasks a ledger page holds from then on, whatever the settings say later
     */
    record Layout(int number, int pageTasks) implements StoredRecord {}

    /**
     * @param machines every machine on which an attempt of the job may be; written before the first start there
     * @param gangAttempt attempt of the gang, shared by all its tasks; 0 for other jobs
     * @param finishedTasks finished tasks of this page
     * @param compressedNames the names are stored in short ({@link MachineNameCodec}); only once every controller reads that
     */
    record Ledger(List<String> machines, long gangAttempt, String finishedTasks, boolean compressedNames)
            implements StoredRecord {
        public Ledger(List<String> machines, long gangAttempt, String done) {
            this(machines, gangAttempt, done, false);
        }
    }

    record Provisioning(String state, String type, String zone, boolean spot, int count) implements StoredRecord {}

    /** Machine types as the cloud last told them. */
    record MachineTypes(List<MachineType> types) implements StoredRecord {}

    /**
     * The manifest of the archive of final states: what is archived is what its runs hold. Its existence is the mark of layout 3,
     * and it stands among the job rows so that one read of their changes tells both, in one order.
     *
     * @param sinceVersion revision at which the archive began, 0 while this is its first manifest
     * @param saltA by which ids are spread over the segments of a run, not negative; with {@code saltB}
     * @param saltB the second such number
     */
    record ArchiveManifest(long sinceVersion, long saltA, long saltB, List<ArchiveRun> runs) implements StoredRecord {}

    /**
     * One immutable run of the archive, in {@code segments} values that share the hash of the ids evenly.
     *
     * @param jobs how many jobs it holds
     * @param bytes what its packed segments take together, without the frame of a value
     */
    record ArchiveRun(String name, int segments, long jobs, long bytes) {}

    /** How far each change of the stored state has come, by its name; a row among those of the jobs, so that all read it in one order with them. */
    record FeatureStages(Map<String, String> stages) implements StoredRecord {
        public FeatureStages {
            stages = Map.copyOf(stages);
        }
    }

    /**
     * A controller that is there, attached to its lease.
     *
     * @param build its version, for operators
     * @param knownFeatures names of the features that it can read and write
     * @param actingOnVersion version of {@link FeatureStages} by which it acts, 0 for none
     * @param startedWall time of day at which its process began
     */
    record RegisteredController(String build, List<String> knownFeatures, long actingOnVersion, long startedWall)
            implements StoredRecord {}

    /** What an operator asks for of a feature. */
    enum RequestedAction {
        NONE,
        HOLD,
        BACK
    }

    record FeatureRequest(RequestedAction action) implements StoredRecord {}

    /** Moves with each round that deletes a booking, and is a condition of each that writes one. */
    record ProvisioningFence(long number) implements StoredRecord {}

    /** Machines whose deletion is asked for, or was answered not long ago. */
    record MachinesToDelete(List<String> machines) implements StoredRecord {}

    /** A part of what a leader has learned, for one that nobody told. */
    record LearnedState(List<Hint> hints) implements StoredRecord {}

    /** A segment of a run; {@code digest} covers its key too, so that no value is taken for another. */
    record ArchiveSegment(String digest, byte[] packed) implements StoredRecord {}
}
