package io.micatide.model;

/**
 * What an operator may set beyond the platform's file; every default is derived from the platform's settings.
 *
 * @param leaderLeaseMicros how long a silent leader keeps the lead
 * @param idleMachineMicros how long a machine may be idle before it is returned
 * @param archiveBatchSize how many finished jobs are worth a write of the archive
 * @param archiveEnabled whether this controller, when it leads, moves final states into the archive; all read it in any case
 * @param standbyEnabled whether this controller follows a leader that asks it to, names others when it leads, and takes its turn
 * @param rolloutEnabled whether this controller, when it leads, moves changes of the stored state forward; every controller registers in any case
 * @param apiDescriptionServed whether the description of the users' interface is served
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
     * Bursts come half a minute apart and a machine takes as long to boot: on 24 days of six deployments 35 s were worth 0.015
     * more than 20 s for 2 to 4% more money, and 50 s no more than 35.
     */
    private static final long DEFAULT_IDLE_MACHINE_MICROS = 35 * Micros.SECOND;

    /** Its two writes come to a hundredth of a change for each job, and so many rows are read in one page at a start. */
    private static final int DEFAULT_ARCHIVE_BATCH_SIZE = 256;

    /**
     * With a standby a take-over costs little once it begins. The smaller deployments have had
     * this lease from the first version on, under the same stalls and slow answers.
     */
    private static final long MAX_DEFAULT_LEASE_WITH_STANDBY_MICROS = 3 * Micros.SECOND;

    /** Its own default where a standby follows: the time until a dead leader's lease ends is most of a take-over. */
    public static long defaultLeaseWithStandbyMicros(Settings settings) {
        return Math.min(MAX_DEFAULT_LEASE_WITH_STANDBY_MICROS, defaults(settings).leaderLeaseMicros());
    }

    /**
     * The leader's lease must be over, and a new leader known to all workers, before a worker's own lease ends; three
     * tenths of that leave the rest for the claim and for workers that look for the leader.
     */
    public static Tuning defaults(Settings settings) {
        return new Tuning(
                settings.workerLeaseMicros() * 3 / 10, DEFAULT_IDLE_MACHINE_MICROS, false, DEFAULT_ARCHIVE_BATCH_SIZE, false, false, false);
    }
}
