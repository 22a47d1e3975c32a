package io.micatide.rollout;

/** Stage in the introduction of a {@link Feature}. A feature goes through some of these stages, in this order, one at a time. */
public enum FeatureStage {
    /** No controller writes the new form, and controllers of versions that do not know it may serve. */
    OFF,
    /** Every controller that serves can read the new form, but none writes it. */
    READ,
    /** Both forms are written; the previous one is still authoritative. */
    BOTH,
    /** The new form is authoritative. */
    ON,
    /** The previous form has been removed; the feature cannot be reverted. */
    CLEAN
}
