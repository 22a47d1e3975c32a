package io.micatide.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the leader's plan of stage transitions, the detection of unsupported features and the registration of a controller. Guards against
 * a transition while a controller that does not support it, or still acts on other stages, may be serving.
 */
class RolloutPlanTest {
    private static final long VERSION = 40;

    /** Parses {@code name=value} pairs separated by spaces; none for null. */
    private static Map<String, String> stages(String text) {
        Map<String, String> result = new TreeMap<>();
        if (text != null && !text.isEmpty()) {
            Arrays.stream(text.split(" ")).forEach(entry -> result.put(entry.split("=")[0], entry.split("=")[1]));
        }
        return result;
    }

    /** Returns flags at {@link #VERSION} with the given stages. */
    private static FeatureFlags flags(String text) {
        FeatureFlags flags = new FeatureFlags(Capabilities.ALL);
        Map<String, String> stages = stages(text);
        // The feature that the tables leave out is at the highest stage of the others.
        stages.put(
                "returns",
                text != null && text.contains("=ON") ? "ON" : text != null && text.contains("=READ") ? "READ" : "OFF");
        flags.update(VERSION, new StoredRecord.FeatureStages(stages));
        return flags;
    }

    /**
     * Returns a registry of the controllers {@code a}, {@code b} and {@code c}, described by one character each.
     *
     * @param controllers {@code +} knows all features and acts on the current stages, {@code -} acts on an earlier version of the stages,
     *     {@code o} knows none of the features with stages, {@code .} is not registered
     * @param requests requested action by feature
     */
    private static ControllerRegistry registry(String controllers, String requests) {
        ControllerRegistry registry = new ControllerRegistry(List.of("a", "b", "c"));
        for (int i = 0; i < 3; i++) {
            char controller = controllers.charAt(i);
            if (controller != '.') {
                registry.add(
                        StoreKeys.controller("abc".substring(i, i + 1)),
                        new StoredRecord.RegisteredController(
                                "1",
                                controller == 'o' ? List.of("needs", "history") : Capabilities.ALL.knownFeatureKeys(),
                                controller == '-' ? VERSION - 1 : VERSION,
                                5),
                        7 + i);
            }
        }
        stages(requests)
                .forEach((feature, action) -> registry.add(
                        StoreKeys.featureRequest(feature),
                        new StoredRecord.FeatureRequest(StoredRecord.RequestedAction.valueOf(action)),
                        3));
        return registry;
    }

    /** The feature {@code returns} takes part, but is left out of the table to limit its width: it changes stages as the others do. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // stages before | controllers | requests | forward allowed | stages after, empty for no transition
                "                                 | +++ |               | true  | booking-fence=READ learned=READ",
                "booking-fence=READ learned=READ  | +++ |               | true  | booking-fence=ON learned=ON",
                "booking-fence=ON learned=ON      | +++ |               | true  |",
                "                                 | +++ |               | false |",
                "                                 | ++. |               | true  |",
                "                                 | ++o |               | true  |",
                "booking-fence=READ learned=READ  | ++- |               | true  |",
                // On request a feature is held, or reverted one stage at a time, also by a leader that may
                // not move features forward.
                "booking-fence=READ learned=READ  | +++ | learned=HOLD  | true  | booking-fence=ON learned=READ",
                "booking-fence=ON learned=ON      | +++ | learned=BACK  | true  | booking-fence=ON learned=READ",
                "booking-fence=ON learned=READ    | +++ | learned=BACK  | false | booking-fence=ON learned=OFF",
                "booking-fence=ON learned=OFF     | +++ | learned=BACK  | true  |",
                "booking-fence=ON learned=ON      | ++- | learned=BACK  | true  |",
                "booking-fence=ON learned=ON      | ++. | learned=BACK  | true  |",
                // From READ, where no controller writes the new form, to OFF, where none needs to know the feature: an
                // unregistered controller does not block it.
                "booking-fence=ON learned=READ    | ++. | learned=BACK  | true  | booking-fence=ON learned=OFF",
                "booking-fence=ON learned=READ    | ++- | learned=BACK  | true  |",
            })
    void plansTheNextTransition(
            String stages, String controllers, String requests, boolean isForwardAllowed, String next) {
        RolloutPlan plan = RolloutPlan.create(flags(stages), registry(controllers, requests), isForwardAllowed);
        if (next == null) {
            assertNull(plan.newStages());
        } else {
            Map<String, String> after = new TreeMap<>(plan.newStages().stages());
            after.remove("returns");
            assertEquals(stages(next), after);
        }
    }

    /** A blocker names the feature, the target stage, the controller and the reason. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "++.|booking-fence waits to go to READ: c is not registered",
                "+o+|booking-fence waits to go to READ: b (1) does not know it",
                "-++|booking-fence waits to go to READ: a has not taken in the last step",
            })
    void namesBlockers(String controllers, String expected) {
        assertEquals(
                expected,
                RolloutPlan.create(flags(""), registry(controllers, ""), true)
                        .blockers()
                        .get(0));
    }

    /** A transition has at most as many registrations as conditions as fit in its transaction. */
    @Test
    void limitsRegistrationConditions() {
        assertEquals(
                List.of(new Transaction.Condition("rollout/here/a", 7), new Transaction.Condition("rollout/here/b", 8)),
                registry("+++", "").registrationConditions(2));
    }

    /**
     * Features in use that the version does not know, or not at their stage, are named with their stage. A feature that is off does not
     * count, and an older version of the record is ignored.
     */
    @Test
    void namesUnsupportedFeatures() {
        FeatureFlags flags = new FeatureFlags(Capabilities.without(Feature.LEARNED));
        assertFalse(flags.isKnown());
        assertTrue(flags.update(
                9, new StoredRecord.FeatureStages(Map.of("learned", "READ", "booking-fence", "ON", "later", "OFF"))));
        assertEquals(List.of("learned (READ)"), flags.unsupportedFeatures());
        assertFalse(flags.update(8, new StoredRecord.FeatureStages(Map.of())));
        assertEquals(List.of("learned (READ)"), flags.unsupportedFeatures());
        assertTrue(flags.update(
                10, new StoredRecord.FeatureStages(Map.of("later", "ON", "booking-fence", "BOTH", "learned", "OFF"))));
        assertEquals(
                List.of("booking-fence (BOTH)", "later (ON)"),
                flags.unsupportedFeatures().stream().sorted().toList());
    }

    /** Writes once for each lease and each version of the stages, on condition of the version of the stages and of the record as read. */
    @Test
    void registersOnceForEachLeaseAndTransition() {
        ControllerRegistration registration = new ControllerRegistration("a", "1", Capabilities.ALL, 5);
        assertEquals(
                ControllerRegistration.Action.NOTHING, registration.nextAction(0, 40, 0), "no lease to attach it to");
        assertEquals(
                ControllerRegistration.Action.NOTHING,
                registration.nextAction(3, -1, 0),
                "the feature stages are not known");
        assertEquals(ControllerRegistration.Action.READ, registration.nextAction(3, 40, 0));
        assertEquals(ControllerRegistration.Action.NOTHING, registration.nextAction(3, 40, 0), "one request at a time");
        registration.recordRead(12);
        assertEquals(ControllerRegistration.Action.PUT, registration.nextAction(3, 40, 0));
        assertEquals(
                List.of(new Transaction.Condition("job/features", 40), new Transaction.Condition("rollout/here/a", 12)),
                registration.registrationTransaction().conditions());
        assertEquals(3, registration.registrationTransaction().writes().get(0).leaseId());
        registration.registrationStored(50);
        assertEquals(ControllerRegistration.Action.NOTHING, registration.nextAction(3, 40, 0));
        assertEquals(ControllerRegistration.Action.PUT, registration.nextAction(3, 60, 0), "newer feature stages");
        registration.outcomeUnknown(0);
        assertEquals(ControllerRegistration.Action.NOTHING, registration.nextAction(3, 60, 1));
        assertEquals(
                ControllerRegistration.Action.READ,
                registration.nextAction(3, 60, 1_000_000),
                "a write without an answer may have been executed");
        registration.recordRead(61);
        assertEquals(ControllerRegistration.Action.PUT, registration.nextAction(4, 60, 1_000_000));
        registration.registrationStored(70);
        assertEquals(ControllerRegistration.Action.PUT, registration.nextAction(5, 60, 1_000_000), "a new lease");
        assertEquals(
                ControllerRegistration.Action.NOTHING,
                new ControllerRegistration("a", "1", Capabilities.LEGACY, 5).nextAction(3, 40, 0));
    }
}
