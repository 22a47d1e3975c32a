package io.micatide.rollout;

import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the leader does next about the features that the flags tell of: the stages after the step and what moves, or what it waits for.
 * Features that may go together do.
 *
 * @param newStages the flags after the step, null if there is nothing to do now
 * @param transitions what the step does, for the log
 * @param blockers what is in the way of features that are not where they should be, by name
 */
public record RolloutPlan(StoredRecord.FeatureStages newStages, List<String> transitions, List<String> blockers) {
    /** @param forward whether this leader is to move features forward; back, an operator asks for in any case */
    public static RolloutPlan create(FeatureFlags flags, ControllerRegistry registry, boolean forward) {
        Map<String, String> stages = new TreeMap<>(flags.record().stages());
        List<String> moves = new ArrayList<>();
        List<String> waits = new ArrayList<>();
        List<String> behind = registry.controllersBehind(flags.version());
        for (Feature feature : Feature.values()) {
            if (feature.isMark()) {
                continue;
            }
            FeatureStage now = flags.stage(feature);
            StoredRecord.RequestedAction wish = registry.requestedAction(feature);
            FeatureStage to = wish == StoredRecord.RequestedAction.BACK
                    ? feature.stageBefore(now)
                    : wish == StoredRecord.RequestedAction.HOLD || !forward ? null : feature.stageAfter(now);
            if (to == null) {
                if (wish == StoredRecord.RequestedAction.HOLD && feature.stageAfter(now) != null) {
                    waits.add(feature.key() + " is held at " + now);
                }
                continue;
            }
            // Back to where nobody needs to know it asks nobody; all other steps need everyone.
            List<String> missing = new ArrayList<>(to == FeatureStage.OFF ? List.of() : registry.blockers(feature));
            missing.addAll(behind);
            if (missing.isEmpty()) {
                stages.put(feature.key(), to.name());
                moves.add(feature.key() + " from " + now + " to " + to);
            } else {
                waits.add(feature.key() + " waits to go to " + to + ": " + String.join(", ", missing));
            }
        }
        return new RolloutPlan(moves.isEmpty() ? null : new StoredRecord.FeatureStages(stages), moves, waits);
    }
}
