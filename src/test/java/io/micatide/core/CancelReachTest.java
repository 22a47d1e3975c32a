package io.micatide.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Leases of 10 s, cancellations of 30: what is answered within 18.995 s of a read is over in time. Steps in seconds since the term began. */
class CancelReachTest {
    @ParameterizedTest
    @CsvSource({
        // f a read, 0 and 1 a sibling that nobody serves, s the first sibling, served; ? may workers be answered
        "f100 ?118, y", "f100 ?119, n", "f100 ?119 f119 ?120, ny",
        // A new leader that has read nothing yet knows no more than the one before.
        "?9, y", "?10, n",
        // All siblings say that nobody is served; one of them not, or not lately.
        "f100 0@130 1@131 ?132, y", "f100 0@130 ?132, n", "f100 0@130 1@131 ?134, n", "f100 0@130 1@131 s@131 ?132, n",
    })
    void untilACancellationCouldBeLate(String steps, String told) {
        Settings settings = new Settings("c0", "a", "x:1", "x:2", List.of(new Settings.Sibling("c1", "a", "x:3"),
                new Settings.Sibling("c2", "b", "x:4")), "x:5", "x:6", List.of("a", "b"), 0, Map.of(), List.of(),
                Micros.SECOND, 10 * Micros.SECOND, 30 * Micros.SECOND, 5 * Micros.SECOND, 30 * Micros.SECOND, 80, 30, 2048, 2048, 5,
                8, Micros.SECOND, 1, 100, 100);
        CancelReach reach = new CancelReach(settings);
        reach.begin(0);
        StringBuilder text = new StringBuilder();
        for (String step : steps.split(" ")) {
            long at = Long.parseLong(step.substring(step.charAt(1) == '@' ? 2 : 1)) * Micros.SECOND;
            switch (step.charAt(0)) {
                case 'f' -> reach.fresh(at);
                case '?' -> text.append(reach.mayAnswer(at) ? 'y' : 'n');
                case 's' -> reach.heard(0, true, at);
                default -> reach.heard(step.charAt(0) - '0', false, at);
            }
        }
        assertEquals(told, text.toString());
    }
}
