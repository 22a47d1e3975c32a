package io.micatide.rollout;

import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The stages of all features as this controller knows them. Never goes back: of two versions of the stored record that it is told, the
 * newer one counts, in whatever order they come. One thread at a time.
 */
public final class FeatureFlags {
    private static final long NOT_READ = -1;

    private final Capabilities capabilities;
    private long version = NOT_READ;
    private StoredRecord.FeatureStages record = new StoredRecord.FeatureStages(Map.of());

    /**
     * Makes flags that have not been read yet: every feature is off.
     *
     * @param capabilities of this version of the program
     */
    public FeatureFlags(Capabilities capabilities) {
        this.capabilities = capabilities;
    }

    /**
     * Takes in the stored record as it was read or watched.
     *
     * @param newVersion its version, 0 if there is none
     * @param newRecord the record, without stages if there is none
     * @return whether that is newer than what was known
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
     * Whether the record has been read at all.
     *
     * @return false in a process that has just started
     */
    public boolean isKnown() {
        return version >= 0;
    }

    /**
     * The version of the stored record. Whatever is written in a form that depends on a feature has it as a condition.
     *
     * @return 0 if there is none, -1 if that is not known
     */
    public long version() {
        return version;
    }

    /**
     * The stored record.
     *
     * @return without stages if there is none or it is not known
     */
    public StoredRecord.FeatureStages record() {
        return record;
    }

    /**
     * The stage of a feature.
     *
     * @param feature one that is no mark; a mark is always off here
     * @return off as well if the record has a stage that this version does not know
     */
    public FeatureStage stage(Feature feature) {
        FeatureStage stage = parseStage(record.stages().get(feature.key()));
        return stage == null ? FeatureStage.OFF : stage;
    }

    /**
     * Whether the new form is what counts.
     *
     * @param feature one that is no mark
     * @return whether it is at {@link FeatureStage#ON} or beyond
     */
    public boolean isEnabled(Feature feature) {
        return stage(feature).compareTo(FeatureStage.ON) >= 0;
    }

    /**
     * Features that are in use and that this version does not know, or not at that stage: it cannot read what is stored.
     *
     * @return their names with their stages, for operators
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

    /** Null of a stage that this version does not know. */
    private static FeatureStage parseStage(String name) {
        for (FeatureStage stage : FeatureStage.values()) {
            if (stage.name().equals(name)) {
                return stage;
            }
        }
        return name == null ? FeatureStage.OFF : null;
    }
}
