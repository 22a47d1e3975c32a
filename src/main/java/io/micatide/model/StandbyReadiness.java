package io.micatide.model;

/** How well a controller could take over as leader now, from worst to best. */
public enum StandbyReadiness {
    /** Its process has just started. */
    COLD,
    /** It has seen the deployment in operation, but reads only the job records. */
    SEASONED,
    /** It is a designated standby with a complete replica of all keys that a leader reads. */
    WARM
}
