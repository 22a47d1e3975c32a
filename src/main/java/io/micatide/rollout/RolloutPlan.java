package io.micatide.rollout;

import io.micatide.store.StoredRecord;
import io.micatide.store.StoredRecord.RequestedAction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's next transition of features between their stages, or what it waits for. Features that may go together do.
 *
 * @param newStages the stages after the transition, null if there is nothing to do now
 * @param transitions what the transition does, for the log
 * @param blockers what is in the way of features that are not where they should be, by name
 */
public record RolloutPlan(StoredRecord.FeatureStages newStages, List<String> transitions, List<String> blockers) {
    /**
     * Plans the next transition.
     *
     * @param flags the present stages
     * @param registry the controllers that are registered, and what operators request
     * @param isForwardAllowed whether this leader is to move features forward; back they go whenever an operator requests it
     * @return the plan
     */
    public static RolloutPlan create(FeatureFlags flags, ControllerRegistry registry, boolean isForwardAllowed) {
        Map<String, String> stages = new TreeMap<>(flags.record().stages());
        List<String> transitions = new ArrayList<>();
        List<String> blockers = new ArrayList<>();
        List<String> behind = registry.controllersBehind(flags.version());
        for (Feature feature : Feature.values()) {
            if (feature.isMark()) {
                continue;
            }
            FeatureStage now = flags.stage(feature);
            FeatureStage target = targetStage(feature, now, registry.requestedAction(feature), isForwardAllowed);
            if (target == null) {
                if (registry.requestedAction(feature) == RequestedAction.HOLD && feature.stageAfter(now) != null) {
                    blockers.add(feature.key() + " is held at " + now);
                }
                continue;
            }
            List<String> missing = new ArrayList<>(missingFor(feature, target, registry));
            missing.addAll(behind);
            if (missing.isEmpty()) {
                stages.put(feature.key(), target.name());
                transitions.add(feature.key() + " from " + now + " to " + target);
            } else {
                blockers.add(feature.key() + " waits to go to " + target + ": " + String.join(", ", missing));
            }
        }
        return new RolloutPlan(
                transitions.isEmpty() ? null : new StoredRecord.FeatureStages(stages), transitions, blockers);
    }

    /** The stage to which a feature should go next, null if it should stay. */
    private static FeatureStage targetStage(
            Feature feature, FeatureStage now, RequestedAction requested, boolean isForwardAllowed) {
        if (requested == RequestedAction.BACK) {
            return feature.stageBefore(now);
        }
        return requested == RequestedAction.HOLD || !isForwardAllowed ? null : feature.stageAfter(now);
    }

    /** Back to where nobody needs to know the feature asks nobody; all other transitions need everyone. */
    private static List<String> missingFor(Feature feature, FeatureStage target, ControllerRegistry registry) {
        return target == FeatureStage.OFF ? List.of() : registry.blockers(feature);
    }
}
