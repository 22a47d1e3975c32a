package io.micatide.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.model.Micros;
import io.micatide.rollout.Capabilities;
import io.micatide.rollout.Feature;
import io.micatide.rollout.FeatureStage;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Controllers of up to three versions take each other's place among failures: no rule is broken, and what is new waits for all. */
class RolloutTest {
    /** Long runs outside CI, as for {@link FailoverTest}. */
    private static final int DAYS = Integer.getInteger("micatide.days", 400);

    private static final int FIRST = Integer.getInteger("micatide.first", 0);
    private static final List<Capabilities> VERSIONS =
            List.of(Capabilities.LEGACY, Capabilities.without(Feature.LEARNED), Capabilities.ALL);

    static RolloutScenario begin(long seed) {
        return new RolloutScenario(seed, seed % 2 == 0 ? 3 : 5, VERSIONS.get((int) (seed / 2 % 3)));
    }

    static RolloutScenario play(RolloutScenario roll) {
        FailoverScenario day = roll.scenario;
        int controllers = day.controllers;
        day.cluster.network.setLossRates(0.01, 0.005);
        Feature asked = day.random.nextBoolean() ? Feature.LEARNED : Feature.BOOKING_FENCE;
        for (int second = 0; second < 26; second++) {
            if (second > 1) {
                day.users.submitDrawnJob();
            }
            if (second > 3 && day.random.nextInt(3) == 0) {
                Capabilities version = VERSIONS.get(second < 16 ? day.random.nextInt(3) : 2);
                day.replace(
                        day.random.nextInt(controllers), version, (1 + day.random.nextInt(500)) * Micros.MILLISECOND);
            }
            if (second > 5 && second % 7 == 0) {
                day.injectBriefRestarts();
            }
            if (second == 12 && day.random.nextInt(3) == 0) {
                roll.requestAction(
                        asked,
                        day.random.nextBoolean()
                                ? StoredRecord.RequestedAction.BACK
                                : StoredRecord.RequestedAction.HOLD);
            }
            day.time.run(Micros.SECOND);
        }
        day.crashAtRequest(0);
        day.cluster.network.setLossRates(0, 0);
        roll.requestAction(asked, StoredRecord.RequestedAction.NONE);
        for (int i = 0; i < controllers; i++) {
            day.replace(i, Capabilities.ALL, 500 * Micros.MILLISECOND);
            day.time.run(300 * Micros.MILLISECOND);
        }
        day.time.run(70 * Micros.SECOND);
        return roll;
    }

    @Test
    void randomRolloutsBreakNoInvariant() {
        for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
            RolloutScenario roll = play(begin(seed));
            assertEquals(List.of(), roll.violations(), "seed " + seed + " " + roll.scenario.cluster.eventLog());
            for (Feature feature : List.of(Feature.LEARNED, Feature.BOOKING_FENCE, Feature.RETURNS)) {
                assertEquals(FeatureStage.ON, roll.stage(feature), "seed " + seed + ": in the end all have it");
            }
        }
    }

    /** Nothing moves while one controller cannot do it, by name in the roster; the last one in place, all is on within seconds. */
    @ParameterizedTest
    @CsvSource({"3", "5"})
    void featuresTurnOnOnceTheLastControllerKnowsThem(int controllers) {
        RolloutScenario roll = new RolloutScenario(7, controllers, Capabilities.LEGACY);
        FailoverScenario day = roll.scenario;
        for (int i = 0; i < controllers - 1; i++) {
            day.time.run(2 * Micros.SECOND);
            day.replace(i, Capabilities.ALL, 300 * Micros.MILLISECOND);
        }
        day.time.run(20 * Micros.SECOND);
        assertEquals(FeatureStage.OFF, roll.stage(Feature.LEARNED));
        day.replace(controllers - 1, Capabilities.ALL, 300 * Micros.MILLISECOND);
        long began = day.time.now();
        while (roll.stage(Feature.LEARNED) != FeatureStage.ON || roll.stage(Feature.BOOKING_FENCE) != FeatureStage.ON) {
            day.time.run(100 * Micros.MILLISECOND);
            assertTrue(day.time.now() - began < 10 * Micros.SECOND, "until on");
        }
        assertEquals(List.of(), roll.violations());
    }

    /** A version that does not know what is on serves nobody and never leads, with switches or from before them; the others go on. */
    @ParameterizedTest
    @CsvSource({"1", "0"})
    void unsupportedVersionNeitherServesNorLeads(int version) {
        RolloutScenario roll = new RolloutScenario(5, 3, Capabilities.ALL);
        FailoverScenario day = roll.scenario;
        day.users.submit("batch", 6, 2);
        day.time.run(15 * Micros.SECOND);
        assertEquals(FeatureStage.ON, roll.stage(Feature.LEARNED));
        int replaced = (day.cluster.leader() + 1) % 3;
        day.replace(replaced, VERSIONS.get(version), 100 * Micros.MILLISECOND);
        day.time.run(10 * Micros.SECOND);
        assertEquals(2, roll.healthy().size());
        assertTrue(!roll.healthy().contains(replaced));
        day.users.submit("batch", 6, 2);
        day.time.run(40 * Micros.SECOND);
        assertEquals(List.of(), roll.violations());
    }

    /** Taken back by an operator, a feature is off in the end, and a version that does not know it serves again. */
    @Test
    void formerVersionServesAfterAFeatureIsTakenBack() {
        RolloutScenario roll = new RolloutScenario(6, 3, Capabilities.ALL);
        FailoverScenario day = roll.scenario;
        day.time.run(12 * Micros.SECOND);
        day.replace(0, Capabilities.without(Feature.LEARNED), 100 * Micros.MILLISECOND);
        day.time.run(5 * Micros.SECOND);
        assertEquals(List.of(1, 2), roll.healthy());
        // It cannot register, so nothing moves forward; back goes all the same once it is not there.
        roll.requestAction(Feature.LEARNED, StoredRecord.RequestedAction.BACK);
        day.replace(0, Capabilities.ALL, 100 * Micros.MILLISECOND);
        day.time.run(30 * Micros.SECOND);
        assertEquals(FeatureStage.OFF, roll.stage(Feature.LEARNED));
        day.replace(0, Capabilities.without(Feature.LEARNED), 100 * Micros.MILLISECOND);
        day.time.run(10 * Micros.SECOND);
        assertEquals(List.of(0, 1, 2), roll.healthy());
        assertEquals(FeatureStage.ON, roll.stage(Feature.BOOKING_FENCE));
        day.users.submit("batch", 6, 2);
        day.time.run(30 * Micros.SECOND);
        assertEquals(List.of(), roll.violations());
    }

    /**
     * What is written in a form that depends on the switches has them as a condition, so that a process which stood still, or a request that
     * arrives minutes late, writes nothing by switches that are not those in force: claims, registrations, fenced bookings, what is learned.
     */
    @Test
    void writesThatDependOnStagesHaveThemAsACondition() {
        Map<String, Integer> seen = new TreeMap<>();
        for (int seed = 0; seed < 12; seed++) {
            RolloutScenario roll = new RolloutScenario(seed, 3, Capabilities.ALL);
            roll.scenario.cluster.store.onEachTransaction(body -> {
                List<String> conditions = new ArrayList<>();
                body.path("if").forEach(each -> conditions.add(each.path("k").asText()));
                body.path("writes").forEach(each -> {
                    String key = each.path("put").asText();
                    if (key.equals(StoreKeys.LEADER)
                            || key.startsWith(StoreKeys.CONTROLLERS)
                            || key.startsWith(StoreKeys.LEARNED_STATE)
                            || key.startsWith(StoreKeys.MACHINE_DELETIONS)
                            || (key.startsWith(StoreKeys.PROVISIONING_REQUESTS)
                                    && conditions.contains(StoreKeys.PROVISIONING_FENCE))) {
                        seen.merge(key.substring(0, 4), 1, Integer::sum);
                        assertTrue(
                                conditions.contains(StoreKeys.FEATURE_STAGES), key + " on condition of " + conditions);
                    }
                    if (key.startsWith(StoreKeys.PROVISIONING_REQUESTS)
                            && roll.stage(Feature.BOOKING_FENCE) == FeatureStage.ON) {
                        assertTrue(conditions.contains(key), key + " on condition of " + conditions);
                    }
                });
            });
            for (int second = 0; second < 25; second++) {
                roll.scenario.users.submitDrawnJob();
                if (second == 12) {
                    roll.scenario.users.submit("daemon", 36, 0);
                }
                if (second % 9 == 8) {
                    roll.scenario.cluster.faults.crashForMicros(
                            roll.scenario.cluster.leader(), roll.scenario.drawRestartDelay());
                }
                roll.scenario.time.run(Micros.SECOND);
            }
        }
        assertEquals(List.of("book", "lead", "lear", "roll"), List.copyOf(seen.keySet()));
    }

    /**
     * What a roll-out asks of the state service, with 3 to 20 controllers and a first step that is refused: a read and a change for each
     * controller's start, one more change for each step, and nothing again and again. A leader whose step had failed once read the row, which was
     * not there, at every tick.
     */
    @ParameterizedTest
    @CsvSource({"3", "20"})
    void requestsAreBounded(int controllers) {
        RolloutScenario roll = new RolloutScenario(9, controllers, Capabilities.ALL);
        int[] registered = {0};
        long[] refusedMicros = {0};
        roll.scenario.cluster.store.onEachTransaction(body -> body.path("writes")
                .forEach(each -> {
                    registered[0] += each.path("put").asText().startsWith(StoreKeys.CONTROLLERS) ? 1 : 0;
                    refusedMicros[0] =
                            refusedMicros[0] == 0 && each.path("put").asText().equals(StoreKeys.FEATURE_STAGES)
                                    ? roll.scenario.time.now()
                                    : refusedMicros[0];
                    if (each.path("put").asText().equals(StoreKeys.FEATURE_STAGES)
                            && roll.scenario.time.now() < refusedMicros[0] + 10 * Micros.SECOND) {
                        throw new IllegalArgumentException("refused");
                    }
                }));
        roll.scenario.time.run(60 * Micros.SECOND);
        assertEquals(FeatureStage.ON, roll.stage(Feature.LEARNED));
        int reads = roll.scenario.storeRequests.getOrDefault("/store/" + StoreKeys.FEATURE_STAGES, 0);
        assertTrue(reads <= 4 * controllers + 30, reads + " reads of the switches");
        assertTrue(registered[0] <= 6 * controllers, registered[0] + " registrations");
    }

    /** Each request of a roll-out's first seconds is the last one of its controller, which is back with its version or a former one. */
    @ParameterizedTest
    @CsvSource({"3, 2", "5, 2", "3, 1", "3, 0"})
    void recoversFromATransitionCutShortAnywhere(int controllers, int back) {
        for (int at = 1; at <= 100; at++) {
            RolloutScenario roll = new RolloutScenario(at, controllers, Capabilities.ALL);
            FailoverScenario day = roll.scenario;
            day.crashAtRequest(at, 1, day.drawRestartDelay());
            day.time.run((500 + at * 30) * Micros.MILLISECOND);
            day.replace(at % controllers, VERSIONS.get(back), (1 + at * 5) * Micros.MILLISECOND);
            day.users.submit("batch", 6, 2);
            day.users.submit("daemon", 2, 0);
            day.time.run(10 * Micros.SECOND);
            day.replace(at % controllers, Capabilities.ALL, 200 * Micros.MILLISECOND);
            day.time.run(50 * Micros.SECOND);
            assertEquals(List.of(), roll.violations(), "at " + at + " " + day.cluster.eventLog());
            assertEquals(FeatureStage.ON, roll.stage(Feature.LEARNED), "at " + at + " " + day.cluster.eventLog());
        }
    }
}
