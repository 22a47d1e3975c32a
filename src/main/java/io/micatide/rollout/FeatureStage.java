package io.micatide.rollout;

/** How far a change of the stored state has come. A feature goes through some of these, in this order, one step at a time. */
public enum FeatureStage {
    /** Nobody may rely on anybody knowing it. */
    OFF,
    /** Every controller that serves reads the new form; nobody writes it. */
    READ,
    /** The new form is written beside the former one, which is still what counts. */
    BOTH,
    /** The new form is what counts. */
    ON,
    /** The former form is gone: there is no way back. */
    CLEAN
}
