package io.micatide.rollout;

import java.util.Arrays;
import java.util.List;

/**
 * What a version can do about changes of the stored state. The program has {@link #ALL}; rehearsals play others.
 *
 * @param knownFeatures features that it reads and writes at all their stages
 * @param supportsRegistration whether it registers and reads the flags; versions before them do neither, and cannot read past their row
 */
public record Capabilities(List<Feature> knownFeatures, boolean supportsRegistration) {
    public static final Capabilities ALL = new Capabilities(List.of(Feature.values()), true);
    /** As a version before the flags. */
    public static final Capabilities LEGACY = new Capabilities(List.of(), false);

    /** As a version with flags that does not know these features yet. */
    public static Capabilities without(Feature... features) {
        return new Capabilities(
                ALL.knownFeatures().stream()
                        .filter(each -> !Arrays.asList(features).contains(each))
                        .toList(),
                true);
    }

    /** Names of what it knows. */
    public List<String> knownFeatureKeys() {
        return knownFeatures.stream().map(Feature::key).toList();
    }
}
