package io.micatide.rollout;

import java.util.Arrays;
import java.util.List;

/**
 * The features of the stored state that a version of the program supports. The program uses {@link #ALL}; tests simulate other versions.
 *
 * @param knownFeatures the features that it can read and write at each of their stages
 * @param supportsRegistration whether it registers as a controller and reads the feature stages; versions from before the feature stages
 *     do neither, and fail when they read the record of the stages
 */
public record Capabilities(List<Feature> knownFeatures, boolean supportsRegistration) {
    /** Capabilities of this version. */
    public static final Capabilities ALL = new Capabilities(List.of(Feature.values()), true);
    /** Capabilities of a version from before the feature stages. */
    public static final Capabilities LEGACY = new Capabilities(List.of(), false);

    /**
     * Returns the capabilities of a version that has feature stages but does not know the given features.
     *
     * @param features the features that it does not know
     * @return capabilities with all other features
     */
    public static Capabilities without(Feature... features) {
        return new Capabilities(
                ALL.knownFeatures().stream()
                        .filter(feature -> !Arrays.asList(features).contains(feature))
                        .toList(),
                true);
    }

    /**
     * Returns the keys of the known features.
     *
     * @return the keys in the order of {@link Feature}
     */
    public List<String> knownFeatureKeys() {
        return knownFeatures.stream().map(Feature::key).toList();
    }
}
