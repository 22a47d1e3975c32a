package io.micatide.store;

import io.micatide.model.Hint;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import java.util.List;
import java.util.Map;

/** A value that micatide keeps in the store. Its JSON form stands in {@code io.micatide.protocol}. */
public sealed interface StoredRecord {
    /**
     * The leader of the deployment. The revision of this record is its fencing token.
     *
     * @param owner label of the controller that leads
     */
    record Leader(String owner) implements StoredRecord {}

    /**
     * A job's description and state.
     *
     * @param state open or final
     * @param spec null once the job is done, and of a job that was cancelled before it could start
     * @param submittedWall time of day of the submission
     * @param taskCount how many tasks it has
     * @param endedWall time of day at which the job was done, or -1: the times of its dependents count from there
     * @param furtherDependencyRecords how many records of {@link FurtherDependencies} belong to this one
     * @param checkedAgainstArchive written on condition of the archive as its writer knew it, so that the job certainly
     *     was not archived; a record without this that is younger than the archive is of a former version and has to be
     *     looked up first
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
        /**
         * Makes a record of a job that is not done, without further records and not checked against the archive.
         *
         * @param state open or cancelled
         * @param spec the description, null of a job cancelled before its start
         * @param submittedWall time of day of the submission
         * @param taskCount how many tasks it has
         */
        public JobRecord(JobState state, JobSpec spec, long submittedWall, int taskCount) {
            this(state, spec, submittedWall, taskCount, -1, 0, false);
        }

        /**
         * Makes a record that is not checked against the archive.
         *
         * @param state open or final
         * @param spec the description, or null
         * @param submittedWall time of day of the submission
         * @param taskCount how many tasks it has
         * @param endedWall time of day at which the job was done, or -1
         * @param furtherDependencyRecords how many records with further dependencies belong to it
         */
        public JobRecord(
                JobState state,
                JobSpec spec,
                long submittedWall,
                int taskCount,
                long endedWall,
                int furtherDependencyRecords) {
            this(state, spec, submittedWall, taskCount, endedWall, furtherDependencyRecords, false);
        }

        /**
         * The same record, checked against the archive or not.
         *
         * @param isChecked whether it was checked
         * @return this record if it says so already
         */
        public JobRecord withCheckedAgainstArchive(boolean isChecked) {
            return isChecked == checkedAgainstArchive
                    ? this
                    : new JobRecord(
                            state, spec, submittedWall, taskCount, endedWall, furtherDependencyRecords, isChecked);
        }

        /**
         * The same record with other dependencies in its description.
         *
         * @param names the dependencies that this record names
         * @param furtherRecords how many records with further ones belong to it
         * @return the new record
         */
        public JobRecord withDependencies(List<String> names, int furtherRecords) {
            return new JobRecord(
                    state,
                    spec.withDependencies(names),
                    submittedWall,
                    taskCount,
                    endedWall,
                    furtherRecords,
                    checkedAgainstArchive);
        }
    }

    /**
     * Dependencies that a job's own record has no room for; written in the same transaction.
     *
     * @param names ids of the jobs on which it depends
     */
    record FurtherDependencies(List<String> names) implements StoredRecord {}

    /**
     * Says that all controllers read a layout; what an older one cannot read is written only after it.
     *
     * @param number of the layout
     * @param pageTasks how many tasks a ledger page holds from then on, whatever the settings say later
     */
    record Layout(int number, int pageTasks) implements StoredRecord {}

    /**
     * A page of the progress of an open job.
     *
     * @param machines every machine on which an attempt of the job may be; written before the first start there. Empty
     *     on all pages but the first
     * @param gangAttempt attempt of the gang, shared by all its tasks; 0 for other jobs
     * @param finishedTasks finished tasks of this page, as {@link TaskRanges} writes them
     * @param compressedNames whether the names are stored as {@link MachineNameCodec} writes them; only once every
     *     controller reads that
     */
    record Ledger(List<String> machines, long gangAttempt, String finishedTasks, boolean compressedNames)
            implements StoredRecord {
        /**
         * Makes a page whose names are stored as they are.
         *
         * @param machines every machine on which an attempt of the job may be
         * @param gangAttempt attempt of the gang, or 0
         * @param finishedTasks finished tasks of this page
         */
        public Ledger(List<String> machines, long gangAttempt, String finishedTasks) {
            this(machines, gangAttempt, finishedTasks, false);
        }
    }

    /**
     * A request to the cloud for machines; its name is in its key.
     *
     * @param state a word for operators; what is stored is under way
     * @param type of the machines
     * @param zone of the machines
     * @param spot whether they are spot instances
     * @param count how many
     */
    record Provisioning(String state, String type, String zone, boolean spot, int count) implements StoredRecord {}

    /**
     * Machine types as the cloud last described them.
     *
     * @param types all of them
     */
    record MachineTypes(List<MachineType> types) implements StoredRecord {}

    /**
     * The manifest of the archive of final states: what is archived is what its runs hold. Its existence marks layout 3,
     * and it stands among the job records so that one read of their changes shows both, in one order.
     *
     * @param sinceVersion revision at which the archive began, 0 while this is its first manifest
     * @param saltA by which ids are spread over the segments of a run, not negative; with {@code saltB}
     * @param saltB the second such number
     * @param runs all runs of the archive
     */
    record ArchiveManifest(long sinceVersion, long saltA, long saltB, List<ArchiveRun> runs) implements StoredRecord {}

    /**
     * One immutable run of the archive, in values that share the hash of the ids evenly.
     *
     * @param name of the run, part of the keys of its segments
     * @param segments how many values it has
     * @param jobs how many jobs it holds
     * @param bytes what its packed segments take together, without the frame of a value
     */
    record ArchiveRun(String name, int segments, long jobs, long bytes) {}

    /**
     * How far each change of the stored state has come; among the job records, so that all read it in one order with them.
     *
     * @param stages stage by the name of the feature
     */
    record FeatureStages(Map<String, String> stages) implements StoredRecord {
        /**
         * Copies the stages.
         *
         * @param stages stage by the name of the feature
         */
        public FeatureStages {
            stages = Map.copyOf(stages);
        }
    }

    /**
     * A running controller, attached to its lease.
     *
     * @param build its version, for operators
     * @param knownFeatures names of the features that it can read and write
     * @param actingOnVersion version of {@link FeatureStages} by which it acts, 0 for none
     * @param startedWall time of day at which its process began
     */
    record RegisteredController(String build, List<String> knownFeatures, long actingOnVersion, long startedWall)
            implements StoredRecord {}

    /** What an operator asks of a feature. */
    enum RequestedAction {
        /** Nothing: the feature goes on by itself. */
        NONE,
        /** Stay at the present stage. */
        HOLD,
        /** Return stage by stage, until no controller needs to know it. */
        BACK
    }

    /**
     * A request of an operator; the feature is in its key.
     *
     * @param action what is asked
     */
    record FeatureRequest(RequestedAction action) implements StoredRecord {}

    /**
     * A fence that changes with each transaction that deletes a provisioning request, and is a condition of each that
     * writes one.
     *
     * @param number counts up
     */
    record ProvisioningFence(long number) implements StoredRecord {}

    /**
     * Machines whose deletion the cloud was asked for, or answered not long ago.
     *
     * @param machines their names
     */
    record MachinesToDelete(List<String> machines) implements StoredRecord {}

    /**
     * A part of what a leader has learned, for a successor that no standby informed.
     *
     * @param hints what it has learned
     */
    record LearnedState(List<Hint> hints) implements StoredRecord {}

    /**
     * A segment of a run.
     *
     * @param digest covers its key too, so that no value is taken for another
     * @param packed the outcomes, packed
     */
    record ArchiveSegment(String digest, byte[] packed) implements StoredRecord {}
}
