package io.micatide.rollout;

import io.micatide.store.StoredRecord;
import io.micatide.store.StoredRecord.RequestedAction;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's next transition of features between their stages, and the reasons for which features wait. All features that can change
 * their stage now do so in one transition.
 *
 * @param newStages the stages after the transition, null if there is nothing to do now
 * @param transitions description of each change of a stage, for the log
 * @param blockers for each feature that waits or is held, its name and the reason
 */
public record RolloutPlan(StoredRecord.FeatureStages newStages, List<String> transitions, List<String> blockers) {
    /**
     * Plans the next transition.
     *
     * @param flags the current stages
     * @param registry the registered controllers and the operators' requests
     * @param isForwardAllowed whether this leader may move features forward; they are reverted whenever an operator requests it
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
            FeatureStage current = flags.stage(feature);
            FeatureStage target = targetStage(feature, current, registry.requestedAction(feature), isForwardAllowed);
            if (target == null) {
                if (registry.requestedAction(feature) == RequestedAction.HOLD && feature.stageAfter(current) != null) {
                    blockers.add(feature.key() + " is held at " + current);
                }
                continue;
            }
            List<String> missing = new ArrayList<>(missingFor(feature, target, registry));
            missing.addAll(behind);
            if (missing.isEmpty()) {
                stages.put(feature.key(), target.name());
                transitions.add(feature.key() + " from " + current + " to " + target);
            } else {
                blockers.add(feature.key() + " waits to go to " + target + ": " + String.join(", ", missing));
            }
        }
        return new RolloutPlan(
                transitions.isEmpty() ? null : new StoredRecord.FeatureStages(stages), transitions, blockers);
    }

    /** Returns the stage to which a feature should move next, null if it should stay. */
    private static FeatureStage targetStage(
            Feature feature, FeatureStage current, RequestedAction requested, boolean isForwardAllowed) {
        if (requested == RequestedAction.BACK) {
            return feature.stageBefore(current);
        }
        return requested == RequestedAction.HOLD || !isForwardAllowed ? null : feature.stageAfter(current);
    }

    /**
     * Returns the controllers that prevent a feature from moving to the target stage. A transition to {@link FeatureStage#OFF} needs no support
     * by any controller; all others need that of every controller.
     */
    private static List<String> missingFor(Feature feature, FeatureStage target, ControllerRegistry registry) {
        return target == FeatureStage.OFF ? List.of() : registry.blockers(feature);
    }
}
