package io.micatide.core;

import java.util.List;

/** Values kept in the state service. */
public sealed interface Row {
    record Leader(String owner) implements Row {
    }

    /** {@code spec} is null once the job is done; {@code submittedWall} is the time of day. */
    record JobRow(JobState state, JobSpec spec, long submittedWall, int tasks) implements Row {
    }

    /**
     * @param machines every machine on which an attempt of the job may be; written before the first start there
     * @param gangAttempt attempt of the gang, shared by all its tasks; 0 for other jobs
     * @param done finished tasks of this page
     */
    record Ledger(List<String> machines, long gangAttempt, String done) implements Row {
    }

    record Booking(String state, String type, String zone, boolean spot, int count) implements Row {
    }

    /** Machine types as the cloud last told them. */
    record Types(List<MachineType> types) implements Row {
    }
}
