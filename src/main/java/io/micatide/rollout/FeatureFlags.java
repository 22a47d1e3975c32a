package io.micatide.rollout;

import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The stages of all features as this controller knows them. Of several versions of the stored record the newest one counts, in whichever
 * order they arrive, so that the flags never return to an earlier version. Not thread-safe.
 */
public final class FeatureFlags {
    private static final long NOT_READ = -1;

    private final Capabilities capabilities;
    private long version = NOT_READ;
    private StoredRecord.FeatureStages record = new StoredRecord.FeatureStages(Map.of());

    /**
     * Creates flags that have not been read yet, with every feature off.
     *
     * @param capabilities capabilities of this version of the program
     */
    public FeatureFlags(Capabilities capabilities) {
        this.capabilities = capabilities;
    }

    /**
     * Applies the stored record as it was read or received by a watch.
     *
     * @param newVersion version of the record, 0 if there is none
     * @param newRecord the record, without stages if there is none
     * @return whether the version is newer than the known one; if not, nothing changes
     */
    public boolean update(long newVersion, StoredRecord.FeatureStages newRecord) {
        if (newVersion <= version) {
            return false;
        }
        version = newVersion;
        record = newRecord;
        return true;
    }

    /**
     * Returns whether the record has been read.
     *
     * @return false in a process that has just started
     */
    public boolean isKnown() {
        return version >= 0;
    }

    /**
     * Returns the version of the stored record. Every write in a form that depends on a feature has this version as a condition.
     *
     * @return the version, 0 if there is no record, -1 before it was read
     */
    public long version() {
        return version;
    }

    /**
     * Returns the stored record.
     *
     * @return the record, one without stages if there is none or it has not been read
     */
    public StoredRecord.FeatureStages record() {
        return record;
    }

    /**
     * Returns the stage of a feature.
     *
     * @param feature a feature without a mark; one with a mark is always off here
     * @return the stage; off if the record has none for the feature, or one that this version does not know
     */
    public FeatureStage stage(Feature feature) {
        FeatureStage stage = parseStage(record.stages().get(feature.key()));
        return stage == null ? FeatureStage.OFF : stage;
    }

    /**
     * Returns whether the new form of a feature is authoritative.
     *
     * @param feature a feature without a mark
     * @return whether it is at {@link FeatureStage#ON} or beyond
     */
    public boolean isEnabled(Feature feature) {
        return stage(feature).compareTo(FeatureStage.ON) >= 0;
    }

    /**
     * Returns the features in use that this version does not know, or does not know at their stage. If there are any, this version cannot read
     * the stored state.
     *
     * @return names of the features with their stages, for operators
     */
    public List<String> unsupportedFeatures() {
        List<String> unsupported = new ArrayList<>();
        record.stages().forEach((name, stageName) -> {
            FeatureStage stage = parseStage(stageName);
            if (stage != FeatureStage.OFF && !isSupported(Feature.forKey(name), stage)) {
                unsupported.add(name + " (" + stageName + ")");
            }
        });
        return unsupported;
    }

    private boolean isSupported(Feature feature, FeatureStage stage) {
        return stage != null
                && capabilities.knownFeatures().contains(feature)
                && feature.stages().contains(stage);
    }

    /** Returns the stage of the given name: off for null, and null for a stage that this version does not know. */
    private static FeatureStage parseStage(String name) {
        for (FeatureStage stage : FeatureStage.values()) {
            if (stage.name().equals(name)) {
                return stage;
            }
        }
        return name == null ? FeatureStage.OFF : null;
    }
}
