package io.micatide.simulation;

import io.micatide.model.Micros;
import io.micatide.rollout.Capabilities;
import io.micatide.rollout.Feature;
import io.micatide.rollout.FeatureStage;
import io.micatide.standby.KeyspaceReplica;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A day on which controllers are replaced by other versions. Beside the rules, each change of the state service is held against what a
 * roll-out promises: one stage at a time, by controllers that all knew the one before, and nothing of a new form before its stage.
 */
final class RolloutScenario {
    final FailoverScenario scenario;
    final List<String> otherViolations = new ArrayList<>();
    private final int controllers;
    private Map<String, String> stages = Map.of();
    private long features;
    private Map<String, Long> here = Map.of();
    private Map<String, Long> kept = Map.of();
    private long leader;

    RolloutScenario(long seed, int controllers, Capabilities version) {
        this.controllers = controllers;
        this.scenario = new FailoverScenario(
                seed, controllers, 0, KeyspaceReplica::new, 800 * Micros.MILLISECOND, 10 * Micros.SECOND, version);
        scenario.cluster.store.onEachChange(this::checkChange);
    }

    FeatureStage stage(Feature feature) {
        return FeatureStage.valueOf(stages.getOrDefault(feature.key(), FeatureStage.OFF.name()));
    }

    private Map<String, SimulatedStore.Value> values(String prefix) {
        return scenario.cluster.store.values().subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /** Called after each change. */
    private void checkChange(long revision) {
        SimulatedStore.Value row = scenario.cluster.store.values().get(StoreKeys.FEATURE_STAGES);
        Map<String, Long> nowKept = new TreeMap<>();
        values(StoreKeys.LEARNED_STATE).forEach((key, value) -> nowKept.put(key, value.version()));
        values(StoreKeys.PROVISIONING_FENCE).forEach((key, value) -> nowKept.put(key, value.version()));
        values(StoreKeys.MACHINE_DELETIONS).forEach((key, value) -> nowKept.put(key, value.version()));
        nowKept.forEach((key, stamp) -> {
            Feature feature = key.equals(StoreKeys.PROVISIONING_FENCE)
                    ? Feature.BOOKING_FENCE
                    : key.startsWith(StoreKeys.MACHINE_DELETIONS) ? Feature.RETURNS : Feature.LEARNED;
            if (!stamp.equals(kept.get(key)) && stage(feature) != FeatureStage.ON) {
                otherViolations.add(key + " is written while " + feature.key() + " is " + stage(feature));
            }
        });
        kept = nowKept;
        if (row != null && row.version() != features) {
            stepped(((StoredRecord.FeatureStages) SimulatedCluster.recordOf(StoreKeys.FEATURE_STAGES, row)).stages());
            features = row.version();
        }
        Map<String, Long> acts = new TreeMap<>();
        values(StoreKeys.CONTROLLERS)
                .forEach((key, value) -> acts.put(
                        key,
                        ((StoredRecord.RegisteredController) SimulatedCluster.recordOf(key, value)).actingOnVersion()));
        here = acts;
        if (scenario.cluster.fencingToken() != leader) {
            leader = scenario.cluster.fencingToken();
            claimed();
        }
    }

    private void stepped(Map<String, String> next) {
        here.forEach((key, acts) -> {
            if (acts != features) {
                otherViolations.add(key + " acts by " + acts + " while the switches step on from " + features);
            }
        });
        for (Feature feature : Feature.values()) {
            FeatureStage before = stage(feature);
            FeatureStage after = FeatureStage.valueOf(next.getOrDefault(feature.key(), FeatureStage.OFF.name()));
            if (Math.abs(feature.stages().indexOf(after) - feature.stages().indexOf(before)) > 1) {
                otherViolations.add(feature.key() + " goes from " + before + " to " + after);
            }
        }
        stages = next;
    }

    /** A version that registers leads only where it knows all that is in use. */
    private void claimed() {
        if (scenario.cluster.leaderLabel().isEmpty()) {
            return;
        }
        Capabilities abilities = scenario.capabilities(scenario.cluster.leader());
        for (Feature feature : Feature.values()) {
            if (abilities.supportsRegistration()
                    && stage(feature) != FeatureStage.OFF
                    && !abilities.knownFeatures().contains(feature)) {
                otherViolations.add(scenario.cluster.leaderLabel() + " leads and does not know " + feature.key());
            }
        }
    }

    /** What an operator asks for, NONE to take it back. */
    void requestAction(Feature feature, StoredRecord.RequestedAction wish) {
        String key = StoreKeys.featureRequest(feature.key());
        SimulatedStore.Value there = scenario.cluster.store.values().get(key);
        String body = "{\"if\":[{\"k\":\"" + key + "\",\"stamp\":" + (there == null ? 0 : there.version())
                + "}],\"writes\":[{\"put\":\"" + key + "\",\"data\":{\"wish\":\"" + wish + "\"}}]}";
        scenario.cluster
                .network
                .from(scenario.cluster.user, "state")
                .post("/txn", body.getBytes(StandardCharsets.UTF_8), Micros.SECOND, reply -> {
                    SimulatedStore.Value now = scenario.cluster.store.values().get(key);
                    if (!reply.ok()
                            && !(now != null
                                    && SimulatedCluster.recordOf(key, now) instanceof StoredRecord.FeatureRequest ask
                                    && ask.action() == wish)) {
                        scenario.cluster.user.executeLater(() -> requestAction(feature, wish), Micros.SECOND);
                    }
                });
    }

    /** Whether each controller says that it is healthy, asked now. */
    List<Integer> healthy() {
        List<Integer> result = new ArrayList<>();
        for (int i = 0; i < controllers; i++) {
            int number = i;
            scenario.cluster.toController(i).get("/healthz", Micros.SECOND, reply -> {
                if (reply.ok()) {
                    result.add(number);
                }
            });
        }
        scenario.time.run(2 * Micros.SECOND);
        result.sort(null);
        return result;
    }

    List<String> violations() {
        List<String> all = new ArrayList<>(scenario.violations());
        all.addAll(otherViolations);
        return all;
    }
}
