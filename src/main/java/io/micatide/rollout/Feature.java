package io.micatide.rollout;

import java.util.List;

/**
 * A change of the format of the stored state that this version knows. A new feature is added as a constant here, and every write in its
 * form must have the version of the record of feature stages as a condition. A constant must not be removed while a deployment may have
 * the feature at a stage above {@link FeatureStage#OFF}.
 */
public enum Feature {
    /**
     * Jobs with dependencies and compressed machine names, marked by the record {@code job/layout}. Older than the feature stages; cannot be
     * reverted.
     */
    NEEDS("needs", true, FeatureStage.OFF, FeatureStage.CLEAN),
    /**
     * Final states of jobs in the archive, marked by the manifest {@code job/history}. Older than the feature stages; cannot be reverted.
     */
    HISTORY("history", true, FeatureStage.OFF, FeatureStage.CLEAN),
    /** Provisioning requests are written on condition of their own version and of a fence, so that a late write cannot restore a removed one. */
    BOOKING_FENCE("booking-fence", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON),
    /** What a leader has learned is stored in records under {@code learned/}, for a new leader that received no hints. */
    LEARNED("learned", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON),
    /**
     * Machines to be deleted are named in records under {@code return/} before the request is sent to the cloud. No leader uses a machine
     * that is named there.
     */
    RETURNS("returns", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON);

    private final String key;
    private final boolean isMark;
    private final List<FeatureStage> stages;

    Feature(String key, boolean isMark, FeatureStage... stages) {
        this.key = key;
        this.isMark = isMark;
        this.stages = List.of(stages);
    }

    /**
     * Returns the name of the feature in the store and for operators.
     *
     * @return the key, which never changes
     */
    public String key() {
        return key;
    }

    /**
     * Returns whether the stage of the feature is given by a mark: a record of its own, which versions without feature stages read as well.
     *
     * @return false if the stage is given by the record of the feature stages
     */
    public boolean isMark() {
        return isMark;
    }

    /**
     * Returns the stages of the feature.
     *
     * @return the stages, in the order in which the feature goes through them
     */
    public List<FeatureStage> stages() {
        return stages;
    }

    /**
     * Returns the feature with the given key.
     *
     * @param key a key, possibly of a feature of a later version
     * @return the feature, null if this version knows none with that key
     */
    public static Feature forKey(String key) {
        for (Feature feature : values()) {
            if (feature.key.equals(key)) {
                return feature;
            }
        }
        return null;
    }

    /**
     * Returns the stage that follows the given one.
     *
     * @param current the current stage
     * @return the next stage, null after the last one
     */
    public FeatureStage stageAfter(FeatureStage current) {
        int index = stages.indexOf(current);
        return index >= 0 && index + 1 < stages.size() ? stages.get(index + 1) : null;
    }

    /**
     * Returns the stage to which the feature reverts from the given one.
     *
     * @param current the current stage
     * @return the stage before it; null for the first one, and for {@link FeatureStage#CLEAN}, which cannot be reverted
     */
    public FeatureStage stageBefore(FeatureStage current) {
        int index = stages.indexOf(current);
        return index > 0 && current != FeatureStage.CLEAN ? stages.get(index - 1) : null;
    }
}
