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

/** Steps as a table: where the features stand, who is there, what is asked for, and what comes next. */
class RolloutPlanTest {
    private static final long VERSION = 40;

    private static Map<String, String> stages(String text) {
        Map<String, String> result = new TreeMap<>();
        if (text != null && !text.isEmpty()) {
            Arrays.stream(text.split(" ")).forEach(each -> result.put(each.split("=")[0], each.split("=")[1]));
        }
        return result;
    }

    private static FeatureFlags flags(String text) {
        FeatureFlags switches = new FeatureFlags(Capabilities.ALL);
        Map<String, String> stages = stages(text);
        // As far as the others are at most.
        stages.put(
                "returns",
                text != null && text.contains("=ON") ? "ON" : text != null && text.contains("=READ") ? "READ" : "OFF");
        switches.update(VERSION, new StoredRecord.FeatureStages(stages));
        return switches;
    }

    /** `a`, `b` and `c` registered: `+` knows all and acts by the present switches, `-` by former ones, `o` knows nothing, `.` is not there. */
    private static ControllerRegistry registry(String there, String asked) {
        ControllerRegistry registry = new ControllerRegistry(List.of("a", "b", "c"));
        for (int i = 0; i < 3; i++) {
            char how = there.charAt(i);
            if (how != '.') {
                registry.add(
                        StoreKeys.controller("abc".substring(i, i + 1)),
                        new StoredRecord.RegisteredController(
                                "1",
                                how == 'o' ? List.of("needs", "history") : Capabilities.ALL.knownFeatureKeys(),
                                how == '-' ? VERSION - 1 : VERSION,
                                5),
                        7 + i);
            }
        }
        stages(asked)
                .forEach((feature, wish) -> registry.add(
                        StoreKeys.featureRequest(feature),
                        new StoredRecord.FeatureRequest(StoredRecord.RequestedAction.valueOf(wish)),
                        3));
        return registry;
    }

    /** Of the features but {@code returns}, which goes as they do and is left out for the width of the table. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // where it stands | who is there | asked | forward | after the step, empty for none
                "                                 | +++ |               | true  | booking-fence=READ learned=READ",
                "booking-fence=READ learned=READ  | +++ |               | true  | booking-fence=ON learned=ON",
                "booking-fence=ON learned=ON      | +++ |               | true  |",
                "                                 | +++ |               | false |",
                "                                 | ++. |               | true  |",
                "                                 | ++o |               | true  |",
                "booking-fence=READ learned=READ  | ++- |               | true  |", // Held back, and taken back one
                // stage at a time, whoever leads.
                "booking-fence=READ learned=READ  | +++ | learned=HOLD  | true  | booking-fence=ON learned=READ",
                "booking-fence=ON learned=ON      | +++ | learned=BACK  | true  | booking-fence=ON learned=READ",
                "booking-fence=ON learned=READ    | +++ | learned=BACK  | false | booking-fence=ON learned=OFF",
                "booking-fence=ON learned=OFF     | +++ | learned=BACK  | true  |",
                "booking-fence=ON learned=ON      | ++- | learned=BACK  | true  |",
                "booking-fence=ON learned=ON      | ++. | learned=BACK  | true  |", // From where nobody writes it back
                // to where nobody needs to know it:
                // whoever is away cannot be in the
                // way.
                "booking-fence=ON learned=READ    | ++. | learned=BACK  | true  | booking-fence=ON learned=OFF",
                "booking-fence=ON learned=READ    | ++- | learned=BACK  | true  |",
            })
    void plansTheNextTransition(String stages, String there, String asked, boolean forward, String next) {
        RolloutPlan plan = RolloutPlan.create(flags(stages), registry(there, asked), forward);
        if (next == null) {
            assertNull(plan.newStages());
        } else {
            Map<String, String> after = new TreeMap<>(plan.newStages().stages());
            after.remove("returns");
            assertEquals(stages(next), after);
        }
    }

    /** What it waits for is told by name. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "++.|booking-fence waits to go to READ: c is not registered",
                "+o+|booking-fence waits to go to READ: b (1) does not know it",
                "-++|booking-fence waits to go to READ: a has not taken in the last step",
            })
    void namesBlockers(String there, String told) {
        assertEquals(
                told,
                RolloutPlan.create(flags(""), registry(there, ""), true)
                        .blockers()
                        .get(0));
    }

    /** A step names as many registrations as a transaction has room for. */
    @Test
    void limitsRegistrationConditions() {
        assertEquals(
                List.of(new Transaction.Condition("rollout/here/a", 7), new Transaction.Condition("rollout/here/b", 8)),
                registry("+++", "").registrationConditions(2));
    }

    /** What is in use and not known, by version, stage and name; off is nobody's concern, and an older version of the row is no news. */
    @Test
    void namesUnsupportedFeatures() {
        FeatureFlags former = new FeatureFlags(Capabilities.without(Feature.LEARNED));
        assertFalse(former.isKnown());
        assertTrue(former.update(
                9, new StoredRecord.FeatureStages(Map.of("learned", "READ", "booking-fence", "ON", "later", "OFF"))));
        assertEquals(List.of("learned (READ)"), former.unsupportedFeatures());
        assertFalse(former.update(8, new StoredRecord.FeatureStages(Map.of())));
        assertEquals(List.of("learned (READ)"), former.unsupportedFeatures());
        assertTrue(former.update(
                10, new StoredRecord.FeatureStages(Map.of("later", "ON", "booking-fence", "BOTH", "learned", "OFF"))));
        assertEquals(
                List.of("booking-fence (BOTH)", "later (ON)"),
                former.unsupportedFeatures().stream().sorted().toList());
    }

    /** One put for each lease and for each step, on condition of the switches and of the row as it was read. */
    @Test
    void registersOnceForEachLeaseAndTransition() {
        ControllerRegistration mine = new ControllerRegistration("a", "1", Capabilities.ALL, 5);
        assertEquals(ControllerRegistration.Action.NOTHING, mine.nextAction(0, 40, 0), "no lease to attach it to");
        assertEquals(ControllerRegistration.Action.NOTHING, mine.nextAction(3, -1, 0), "the switches are not known");
        assertEquals(ControllerRegistration.Action.READ, mine.nextAction(3, 40, 0));
        assertEquals(ControllerRegistration.Action.NOTHING, mine.nextAction(3, 40, 0), "one request at a time");
        mine.recordRead(12);
        assertEquals(ControllerRegistration.Action.PUT, mine.nextAction(3, 40, 0));
        assertEquals(
                List.of(new Transaction.Condition("job/features", 40), new Transaction.Condition("rollout/here/a", 12)),
                mine.registrationTransaction().conditions());
        assertEquals(3, mine.registrationTransaction().writes().get(0).leaseId());
        mine.registrationStored(50);
        assertEquals(ControllerRegistration.Action.NOTHING, mine.nextAction(3, 40, 0));
        assertEquals(ControllerRegistration.Action.PUT, mine.nextAction(3, 60, 0), "newer switches");
        mine.outcomeUnknown(0);
        assertEquals(ControllerRegistration.Action.NOTHING, mine.nextAction(3, 60, 1));
        assertEquals(
                ControllerRegistration.Action.READ,
                mine.nextAction(3, 60, 1_000_000),
                "a put without an answer may have been applied");
        mine.recordRead(61);
        assertEquals(ControllerRegistration.Action.PUT, mine.nextAction(4, 60, 1_000_000));
        mine.registrationStored(70);
        assertEquals(ControllerRegistration.Action.PUT, mine.nextAction(5, 60, 1_000_000), "a new lease");
        assertEquals(
                ControllerRegistration.Action.NOTHING,
                new ControllerRegistration("a", "1", Capabilities.LEGACY, 5).nextAction(3, 40, 0));
    }
}
