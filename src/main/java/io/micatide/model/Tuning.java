package io.micatide.model;

/**
 * Settings of the operator in addition to the platform's settings file.
 *
 * @param leaderLeaseMicros time after which an unresponsive leader loses the leadership
 * @param idleMachineMicros time after which an idle machine is deleted
 * @param archiveEnabled whether this controller moves final states into the archive while it leads; every controller reads the archive
 * @param archiveBatchSize number of finished jobs from which on a write of the archive is worthwhile
 * @param standbyEnabled whether this controller follows a leader as designated standby when asked to, designates standbys while it leads, and
 *     orders its claims for the lease with those of its peers
 * @param apiDescriptionServed whether the description of the users' API is served
 * @param rolloutEnabled whether this controller advances the rollout of stored-format changes while it leads; every controller registers
 */
public record Tuning(
        long leaderLeaseMicros,
        long idleMachineMicros,
        boolean archiveEnabled,
        int archiveBatchSize,
        boolean standbyEnabled,
        boolean apiDescriptionServed,
        boolean rolloutEnabled) {
    /**
     * Bursts of jobs come about 30 s apart, and a machine takes about as long to boot. 20 s would cost 2 to 4% less, but lower the score by
     * 0.015; 50 s is no better than 35 s.
     */
    private static final long DEFAULT_IDLE_MACHINE_MICROS = 35 * Micros.SECOND;

    /** The two writes of a batch amount to less than 0.01 writes per job, and a controller reads pages of this many records at startup. */
    private static final int DEFAULT_ARCHIVE_BATCH_SIZE = 256;

    /**
     * With a standby, a failover is cheap once it begins. Smaller deployments have used this lease since the first version, with the same
     * process pauses and slow answers.
     */
    private static final long MAX_DEFAULT_LEASE_WITH_STANDBY_MICROS = 3 * Micros.SECOND;

    /** Returns the default lease with a standby. It is shorter, since then most of a failover is the wait for the failed leader's lease to expire. */
    public static long defaultLeaseWithStandbyMicros(Settings settings) {
        return Math.min(
                MAX_DEFAULT_LEASE_WITH_STANDBY_MICROS, defaults(settings).leaderLeaseMicros());
    }

    /**
     * Returns the defaults for a deployment. Before a worker's lease ends, the lease of a failed leader must have expired and all workers must
     * have reached the new leader. So the leader's lease is 30% of a worker's lease, which leaves 70% for claiming the leadership
     * and for workers that search for the leader.
     */
    public static Tuning defaults(Settings settings) {
        return new Tuning(
                settings.workerLeaseMicros() * 3 / 10,
                DEFAULT_IDLE_MACHINE_MICROS,
                false,
                DEFAULT_ARCHIVE_BATCH_SIZE,
                false,
                false,
                false);
    }
}
