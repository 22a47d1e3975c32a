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
    final FailoverScenario day;
    final List<String> wrong = new ArrayList<>();
    private final int controllers;
    private Map<String, String> stages = Map.of();
    private long features;
    private Map<String, Long> here = Map.of();
    private Map<String, Long> kept = Map.of();
    private long leader;

    RolloutScenario(long seed, int controllers, Capabilities version) {
        this.controllers = controllers;
        this.day = new FailoverScenario(
                seed, controllers, 0, KeyspaceReplica::new, 800 * Micros.MILLISECOND, 10 * Micros.SECOND, version);
        day.deployment.state.afterEachChange(this::look);
    }

    FeatureStage stage(Feature feature) {
        return FeatureStage.valueOf(stages.getOrDefault(feature.key(), FeatureStage.OFF.name()));
    }

    private Map<String, SimulatedStore.Value> values(String prefix) {
        return day.deployment.state.values().subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /** Called after each change. */
    private void look(long revision) {
        SimulatedStore.Value row = day.deployment.state.values().get(StoreKeys.FEATURE_STAGES);
        Map<String, Long> nowKept = new TreeMap<>();
        values(StoreKeys.LEARNED_STATE).forEach((key, value) -> nowKept.put(key, value.stamp()));
        values(StoreKeys.PROVISIONING_FENCE).forEach((key, value) -> nowKept.put(key, value.stamp()));
        values(StoreKeys.MACHINE_DELETIONS).forEach((key, value) -> nowKept.put(key, value.stamp()));
        nowKept.forEach((key, stamp) -> {
            Feature feature = key.equals(StoreKeys.PROVISIONING_FENCE)
                    ? Feature.BOOKING_FENCE
                    : key.startsWith(StoreKeys.MACHINE_DELETIONS) ? Feature.RETURNS : Feature.LEARNED;
            if (!stamp.equals(kept.get(key)) && stage(feature) != FeatureStage.ON) {
                wrong.add(key + " is written while " + feature.key() + " is " + stage(feature));
            }
        });
        kept = nowKept;
        if (row != null && row.stamp() != features) {
            stepped(((StoredRecord.FeatureStages) SimulatedCluster.row(StoreKeys.FEATURE_STAGES, row)).stages());
            features = row.stamp();
        }
        Map<String, Long> acts = new TreeMap<>();
        values(StoreKeys.CONTROLLERS)
                .forEach((key, value) -> acts.put(
                        key, ((StoredRecord.RegisteredController) SimulatedCluster.row(key, value)).actingOnVersion()));
        here = acts;
        if (day.deployment.fencingToken() != leader) {
            leader = day.deployment.fencingToken();
            claimed();
        }
    }

    private void stepped(Map<String, String> next) {
        here.forEach((key, acts) -> {
            if (acts != features) {
                wrong.add(key + " acts by " + acts + " while the switches step on from " + features);
            }
        });
        for (Feature feature : Feature.values()) {
            FeatureStage before = stage(feature);
            FeatureStage after = FeatureStage.valueOf(next.getOrDefault(feature.key(), FeatureStage.OFF.name()));
            if (Math.abs(feature.stages().indexOf(after) - feature.stages().indexOf(before)) > 1) {
                wrong.add(feature.key() + " goes from " + before + " to " + after);
            }
        }
        stages = next;
    }

    /** A version that registers leads only where it knows all that is in use. */
    private void claimed() {
        if (day.deployment.owner().isEmpty()) {
            return;
        }
        Capabilities abilities = day.abilities(day.deployment.leader());
        for (Feature feature : Feature.values()) {
            if (abilities.supportsRegistration()
                    && stage(feature) != FeatureStage.OFF
                    && !abilities.knownFeatures().contains(feature)) {
                wrong.add(day.deployment.owner() + " leads and does not know " + feature.key());
            }
        }
    }

    /** What an operator asks for, NONE to take it back. */
    void requestAction(Feature feature, StoredRecord.RequestedAction wish) {
        String key = StoreKeys.featureRequest(feature.key());
        SimulatedStore.Value there = day.deployment.state.values().get(key);
        String body = "{\"if\":[{\"k\":\"" + key + "\",\"stamp\":" + (there == null ? 0 : there.stamp())
                + "}],\"writes\":[{\"put\":\"" + key + "\",\"data\":{\"wish\":\"" + wish + "\"}}]}";
        day.deployment
                .network
                .from(day.deployment.user, "state")
                .post("/txn", body.getBytes(StandardCharsets.UTF_8), Micros.SECOND, reply -> {
                    SimulatedStore.Value now = day.deployment.state.values().get(key);
                    if (!reply.ok()
                            && !(now != null
                                    && SimulatedCluster.row(key, now) instanceof StoredRecord.FeatureRequest ask
                                    && ask.action() == wish)) {
                        day.deployment.user.later(() -> requestAction(feature, wish), Micros.SECOND);
                    }
                });
    }

    /** Whether each controller says that it is healthy, asked now. */
    List<Integer> healthy() {
        List<Integer> result = new ArrayList<>();
        for (int i = 0; i < controllers; i++) {
            int number = i;
            day.deployment.toController(i).get("/healthz", Micros.SECOND, reply -> {
                if (reply.ok()) {
                    result.add(number);
                }
            });
        }
        day.time.run(2 * Micros.SECOND);
        result.sort(null);
        return result;
    }

    List<String> verdict() {
        List<String> all = new ArrayList<>(day.verdict());
        all.addAll(wrong);
        return all;
    }
}
