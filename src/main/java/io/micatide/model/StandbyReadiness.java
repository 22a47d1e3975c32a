package io.micatide.model;

/** How well a controller could lead from this moment on, from worst to best. */
public enum StandbyReadiness {
    /** Its process has just begun. */
    COLD,
    /** It has seen the deployment at work, but follows nothing beyond the job rows. */
    SEASONED,
    /** It follows all that a leader reads. */
    WARM
}
