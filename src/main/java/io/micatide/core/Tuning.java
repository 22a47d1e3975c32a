package io.micatide.core;

/**
 * What an operator may set beyond the platform's file; every default is derived from the platform's settings.
 *
 * @param leaderLeaseMicros how long a silent leader keeps the lead
 * @param idleMicros how long a machine may be idle before it is returned
 */
public record Tuning(long leaderLeaseMicros, long idleMicros) {
    /**
     * The leader's lease must be over, and a new leader known to all workers, before a worker's own lease ends; three
     * tenths of that leave the rest for the claim and for workers that look for the leader.
     */
    public static Tuning defaults(Settings settings) {
        return new Tuning(settings.leaseMicros() * 3 / 10, 20 * Micros.SECOND);
    }
}
