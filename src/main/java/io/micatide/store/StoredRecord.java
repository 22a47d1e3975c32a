package io.micatide.store;

import io.micatide.model.Hint;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.MachineType;
import java.util.List;
import java.util.Map;

/** A value that micatide keeps in the store. The package {@code io.micatide.protocol} defines its JSON form. */
public sealed interface StoredRecord {
    /**
     * The leader of the deployment. The revision of this record is the leader's fencing token.
     *
     * @param owner label of the leading controller
     */
    record Leader(String owner) implements StoredRecord {}

    /**
     * A job's description and state.
     *
     * @param state open or final
     * @param spec description of the job; null once it is done, or if it was cancelled before it could start
     * @param submittedWall wall-clock time of the submission, in microseconds
     * @param taskCount number of tasks
     * @param endedWall wall-clock time at which the job was done, in microseconds, or -1; the times of its dependents count from there
     * @param furtherDependencyRecords number of records of {@link FurtherDependencies} that belong to this record
     * @param checkedAgainstArchive whether the archive manifest known to the writer was a condition of the write, which guarantees that
     *     the job was not archived then. A record without this mark that is newer than the archive was written by a previous version,
     *     and its job has to be looked up in the archive before the record is used
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
         * Creates a record of a job that is not done, without further records and not checked against the archive.
         *
         * @param state open or cancelled
         * @param spec description of the job, null if it was cancelled before it could start
         * @param submittedWall wall-clock time of the submission, in microseconds
         * @param taskCount number of tasks
         */
        public JobRecord(JobState state, JobSpec spec, long submittedWall, int taskCount) {
            this(state, spec, submittedWall, taskCount, -1, 0, false);
        }

        /**
         * Creates a record that is not checked against the archive.
         *
         * @param state open or final
         * @param spec description of the job, or null
         * @param submittedWall wall-clock time of the submission, in microseconds
         * @param taskCount number of tasks
         * @param endedWall wall-clock time at which the job was done, in microseconds, or -1
         * @param furtherDependencyRecords number of records with further dependencies that belong to this record
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
         * Returns this record with the given mark of the check against the archive.
         *
         * @param isChecked whether the job was checked against the archive
         * @return this record if it has that mark already, else a copy
         */
        public JobRecord withCheckedAgainstArchive(boolean isChecked) {
            return isChecked == checkedAgainstArchive
                    ? this
                    : new JobRecord(
                            state, spec, submittedWall, taskCount, endedWall, furtherDependencyRecords, isChecked);
        }

        /**
         * Returns a copy of this record with the given dependencies.
         *
         * @param names ids of the dependencies in the record's own description
         * @param furtherRecords number of records with further dependencies that belong to the copy
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
     * Dependencies that do not fit into a job's own record; written in the same transaction as that record.
     *
     * @param names ids of the jobs on which the job depends
     */
    record FurtherDependencies(List<String> names) implements StoredRecord {}

    /**
     * The layout that all controllers can read. Records that need a layout are written only once that layout is marked here.
     *
     * @param number of the layout
     * @param pageTasks number of tasks in a ledger page from then on, independent of later settings
     */
    record Layout(int number, int pageTasks) implements StoredRecord {}

    /**
     * A page of the progress of an open job.
     *
     * @param machines all machines on which an attempt of the job may be; a machine is written here before the first start on it. Empty
     *     on all pages but the first
     * @param gangAttempt number of the gang's attempt, shared by all its tasks; 0 for other jobs
     * @param finishedTasks finished tasks of this page, in the format of {@link TaskRanges}
     * @param compressedNames whether the machine names are stored in the format of {@link MachineNameCodec}, which requires that every
     *     controller can read it
     */
    record Ledger(List<String> machines, long gangAttempt, String finishedTasks, boolean compressedNames)
            implements StoredRecord {
        /**
         * Creates a page whose machine names are stored uncompressed.
         *
         * @param machines all machines on which an attempt of the job may be
         * @param gangAttempt number of the gang's attempt, or 0
         * @param finishedTasks finished tasks of this page
         */
        public Ledger(List<String> machines, long gangAttempt, String finishedTasks) {
            this(machines, gangAttempt, finishedTasks, false);
        }
    }

    /**
     * A request to the cloud for machines. The key of the record holds the name of the request.
     *
     * @param state informs operators only: every stored request counts as in flight
     * @param type name of the machine type
     * @param zone of the machines
     * @param spot whether the machines are spot instances
     * @param count number of machines
     */
    record Provisioning(String state, String type, String zone, boolean spot, int count) implements StoredRecord {}

    /**
     * Machine types as last received from the cloud.
     *
     * @param types all machine types
     */
    record MachineTypes(List<MachineType> types) implements StoredRecord {}

    /**
     * The manifest of the archive of final states: a job is archived if and only if one of the listed runs holds it. The existence of
     * the manifest marks layout 3. It is stored among the job records, so that one read of their changes returns both in one order.
     *
     * @param sinceVersion revision at which the archive began, 0 in the first manifest
     * @param saltA first half of the salt of the hash that distributes ids over the segments of a run, not negative
     * @param saltB second half of that salt, not negative
     * @param runs all runs of the archive
     */
    record ArchiveManifest(long sinceVersion, long saltA, long saltB, List<ArchiveRun> runs) implements StoredRecord {}

    /**
     * An immutable run of the archive. Its jobs are distributed evenly over its segments by the hash of their ids.
     *
     * @param name of the run, part of the keys of its segments
     * @param segments number of segments, each stored in one value
     * @param jobs number of jobs in the run
     * @param bytes total size of the packed segments, without the overhead of each value
     */
    record ArchiveRun(String name, int segments, long jobs, long bytes) {}

    /**
     * The rollout stage of each feature, which is a change of the stored format. Stored among the job records, so that all controllers
     * read it in the same order as the jobs.
     *
     * @param stages names of the stages by the names of the features
     */
    record FeatureStages(Map<String, String> stages) implements StoredRecord {
        /**
         * Creates a record with a copy of the given stages.
         *
         * @param stages names of the stages by the names of the features
         */
        public FeatureStages {
            stages = Map.copyOf(stages);
        }
    }

    /**
     * The registration of a running controller, attached to its lease.
     *
     * @param build version of the program, for operators
     * @param knownFeatures names of the features that the controller can read and write
     * @param actingOnVersion version of {@link FeatureStages} that the controller applies, 0 for none
     * @param startedWall wall-clock time of the start of its process, in microseconds
     */
    record RegisteredController(String build, List<String> knownFeatures, long actingOnVersion, long startedWall)
            implements StoredRecord {}

    /** An action that an operator requests for a feature. */
    enum RequestedAction {
        /** No request: the feature advances automatically. */
        NONE,
        /** Keeps the feature at its current stage. */
        HOLD,
        /** Moves the feature back stage by stage, until controllers no longer need to know it. */
        BACK
    }

    /**
     * A request of an operator. The key of the record holds the name of the feature.
     *
     * @param action requested action
     */
    record FeatureRequest(RequestedAction action) implements StoredRecord {}

    /**
     * A fence against late writes of provisioning requests: each transaction that deletes a request changes it, and each transaction that
     * writes a request has its version as a condition.
     *
     * @param number incremented with each change
     */
    record ProvisioningFence(long number) implements StoredRecord {}

    /**
     * Machines whose deletion was requested from the cloud, or was answered recently.
     *
     * @param machines names of the machines
     */
    record MachinesToDelete(List<String> machines) implements StoredRecord {}

    /**
     * A part of the learned state of a leader, for a successor that did not follow it as standby.
     *
     * @param hints learned state
     */
    record LearnedState(List<Hint> hints) implements StoredRecord {}

    /**
     * A segment of an archive run.
     *
     * @param digest digest of the segment and its key, so that a segment stored under a wrong key is detected
     * @param packed packed outcomes of the jobs
     */
    record ArchiveSegment(String digest, byte[] packed) implements StoredRecord {}
}
