package io.micatide.rollout;

import java.util.Arrays;
import java.util.List;

/**
 * The features of the stored state that a version of the program supports. The program has {@link #ALL}; tests play other versions.
 *
 * @param knownFeatures those that it reads and writes at all their stages
 * @param supportsRegistration whether it registers as a controller and reads the feature stages; versions before them do neither, and
 *     cannot read past their record
 */
public record Capabilities(List<Feature> knownFeatures, boolean supportsRegistration) {
    /** Those of this version. */
    public static final Capabilities ALL = new Capabilities(List.of(Feature.values()), true);
    /** Those of a version before the feature stages. */
    public static final Capabilities LEGACY = new Capabilities(List.of(), false);

    /**
     * The capabilities of a version with feature stages that does not know some features yet.
     *
     * @param features what it does not know
     * @return all others
     */
    public static Capabilities without(Feature... features) {
        return new Capabilities(
                ALL.knownFeatures().stream()
                        .filter(each -> !Arrays.asList(features).contains(each))
                        .toList(),
                true);
    }

    /**
     * The keys of the features that it knows.
     *
     * @return in the order of {@link Feature}
     */
    public List<String> knownFeatureKeys() {
        return knownFeatures.stream().map(Feature::key).toList();
    }
}
