package io.micatide.rollout;

import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The row of the switches as this controller has it. Never goes back: of two versions that it is told, the newer one counts, in whatever
 * order they come.
 */
public final class FeatureFlags {
    private final Capabilities capabilities;
    private long version = -1;
    private StoredRecord.FeatureStages record = new StoredRecord.FeatureStages(Map.of());

    public FeatureFlags(Capabilities capabilities) {
        this.capabilities = capabilities;
    }

    /** The row as read or watched; version 0 with no stages if there is none. Returns whether that is news. */
    public boolean update(long newVersion, StoredRecord.FeatureStages newRow) {
        if (newVersion <= version) {
            return false;
        }
        version = newVersion;
        record = newRow;
        return true;
    }

    /** Whether it has been read at all. */
    public boolean isKnown() {
        return version >= 0;
    }

    /** Version of the row, 0 if there is none, -1 if that is not known. What is written in a form that depends on a switch has it as a condition. */
    public long version() {
        return version;
    }

    public StoredRecord.FeatureStages record() {
        return record;
    }

    /** Where a feature stands; of a mark, always OFF. */
    public FeatureStage stage(Feature feature) {
        FeatureStage stage = stage(record.stages().get(feature.key()));
        return stage == null ? FeatureStage.OFF : stage;
    }

    /** Whether the new form is what counts. */
    public boolean isEnabled(Feature feature) {
        return stage(feature).compareTo(FeatureStage.ON) >= 0;
    }

    /** Features that are in use and that this version does not know, or not at that stage: it cannot read what is stored. */
    public List<String> unsupportedFeatures() {
        List<String> result = new ArrayList<>();
        record.stages().forEach((name, word) -> {
            FeatureStage stage = stage(word);
            Feature feature = Feature.forKey(name);
            if (stage != FeatureStage.OFF
                    && (stage == null
                            || !capabilities.knownFeatures().contains(feature)
                            || !feature.stages().contains(stage))) {
                result.add(name + " (" + word + ")");
            }
        });
        return result;
    }

    private static FeatureStage stage(String word) {
        for (FeatureStage each : FeatureStage.values()) {
            if (each.name().equals(word)) {
                return each;
            }
        }
        return word == null ? FeatureStage.OFF : null;
    }
}
