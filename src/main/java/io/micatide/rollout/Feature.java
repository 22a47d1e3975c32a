package io.micatide.rollout;

import java.util.List;

/**
 * A change of the stored state that this version knows. A new one is a line here, and whatever it writes has the record of the feature
 * stages as a condition; it may not be taken off this list while a deployment may have it above {@link FeatureStage#OFF}.
 */
public enum Feature {
    /** Jobs with dependencies and compressed names of machines: the mark {@code job/layout}. Older than the stages, without a way back. */
    NEEDS("needs", true, FeatureStage.OFF, FeatureStage.CLEAN),
    /** Final states in the archive: the manifest {@code job/history}. Likewise. */
    HISTORY("history", true, FeatureStage.OFF, FeatureStage.CLEAN),
    /** Provisioning requests are written on condition of their own version and of a fence, so that no late write brings one back. */
    BOOKING_FENCE("booking-fence", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON),
    /** What a leader has learned is kept in records under {@code learned/} for one that received no hints. */
    LEARNED("learned", false, FeatureStage.OFF, FeatureStage.READ, FeatureStage.ON),
    /** Machines to be deleted are named in records under {@code return/} before the cloud is asked, and no leader uses one that is. */
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
     * Its name in the store and for operators.
     *
     * @return the key, which never changes
     */
    public String key() {
        return key;
    }

    /**
     * Whether a mark, a record of its own that versions without feature stages read as well, tells its stage.
     *
     * @return false if the record of the feature stages does
     */
    public boolean isMark() {
        return isMark;
    }

    /**
     * The stages that it goes through.
     *
     * @return in this order
     */
    public List<FeatureStage> stages() {
        return stages;
    }

    /**
     * Finds a feature by its name.
     *
     * @param key a name, may be of a later version
     * @return the feature, null if this version knows none of that name
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
     * The stage to which it goes forward.
     *
     * @param now the present stage
     * @return the stage after it, null after the last
     */
    public FeatureStage stageAfter(FeatureStage now) {
        int index = stages.indexOf(now);
        return index >= 0 && index + 1 < stages.size() ? stages.get(index + 1) : null;
    }

    /**
     * The stage to which it goes back.
     *
     * @param now the present stage
     * @return the stage before it; null before the first, and of {@link FeatureStage#CLEAN}, from which there is no way back
     */
    public FeatureStage stageBefore(FeatureStage now) {
        int index = stages.indexOf(now);
        return index > 0 && now != FeatureStage.CLEAN ? stages.get(index - 1) : null;
    }
}
