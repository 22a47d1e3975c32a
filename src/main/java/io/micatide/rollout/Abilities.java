package io.micatide.rollout;

import java.util.Arrays;
import java.util.List;

/**
 * What a version can do about changes of the stored state. The program has {@link #ALL}; rehearsals play others.
 *
 * @param knows features that it reads and writes at all their stages
 * @param registers whether it registers and reads the switches; versions before them do neither, and cannot read past their row
 */
public record Abilities(List<Feature> knows, boolean registers) {
    public static final Abilities ALL = new Abilities(List.of(Feature.values()), true);
    /** As a version before the switches. */
    public static final Abilities FORMER = new Abilities(List.of(), false);

    /** As a version with switches that does not know these features yet. */
    public static Abilities without(Feature... features) {
        return new Abilities(
                ALL.knows().stream()
                        .filter(each -> !Arrays.asList(features).contains(each))
                        .toList(),
                true);
    }

    /** Names of what it knows. */
    public List<String> names() {
        return knows.stream().map(Feature::key).toList();
    }
}
