package io.micatide.core;

import java.util.List;

/** Values kept in the state service. */
public sealed interface Row {
    record Leader(String owner) implements Row {
    }

    /**
     * @param spec null once the job is done, and of a job that was withdrawn before it could start
     * @param submittedWall time of day
     * @param endedWall time of day at which the job was done, or -1: the times of jobs that need it count from there
     * @param furtherNeeds how many rows of {@link Needs} belong to this one
     */
    record JobRow(JobState state, JobSpec spec, long submittedWall, int tasks, long endedWall, int furtherNeeds)
            implements Row {
        public JobRow(JobState state, JobSpec spec, long submittedWall, int tasks) {
            this(state, spec, submittedWall, tasks, -1, 0);
        }

        /** The same with these needs in its description and so many rows with further ones. */
        public JobRow withNeeds(List<String> needs, int further) {
            return new JobRow(state, spec.withNeeds(needs), submittedWall, tasks, endedWall, further);
        }
    }

    /** Names that a job's row has no room for; written in the same transaction. */
    record Needs(List<String> names) implements Row {
    }

    /**
     * The mark that all controllers read layout {@code number}; what an older one cannot read is written only after it.
     *
     * @param pageTasks how many tasks a ledger page holds from then on, whatever the settings say later
     */
    record Layout(int number, int pageTasks) implements Row {
    }

    /**
     * @param machines every machine on which an attempt of the job may be; written before the first start there
     * @param gangAttempt attempt of the gang, shared by all its tasks; 0 for other jobs
     * @param done finished tasks of this page
     * @param dense the names are stored in short ({@link MachineNames}); only once every controller reads that
     */
    record Ledger(List<String> machines, long gangAttempt, String done, boolean dense) implements Row {
        public Ledger(List<String> machines, long gangAttempt, String done) {
            this(machines, gangAttempt, done, false);
        }
    }

    record Booking(String state, String type, String zone, boolean spot, int count) implements Row {
    }

    /** Machine types as the cloud last told them. */
    record Types(List<MachineType> types) implements Row {
    }
}
