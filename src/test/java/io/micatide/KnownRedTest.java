package io.micatide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.opentest4j.TestAbortedException;

/** What may land red is named, is a test, fails, and is at most three. */
class KnownRedTest {
    private static final String GOOD = "io.micatide.KnownRedTest#theFileMayStand, never meant, 43";

    @Test
    void theFileMayStand() {
        assertEquals(List.of(), KnownRed.problems(KnownRed.read(KnownRed.FILE)));
    }

    /** Lines by number of a good one, or as they stand; how much is wrong. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "0 | 0",
                "1 | 0",
                "3 | 0",
                "4 | 1",
                "io.micatide.KnownRedTest#aLineIsJudged[2], a cause, with a comma, 43 | 0",
                "io.micatide.KnownRedTest#aLineIsJudged[99], cause, 43 | 1",
                "io.micatide.KnownRedTest#aLineIsJudged, cause, 43 | 1",
                "io.micatide.KnownRedTest#nothing, cause, 43 | 1",
                "io.micatide.NoSuchTest#nothing, cause, 43 | 1",
                "io.micatide.KnownRedTest#theFileMayStand | 1",
                "io.micatide.KnownRedTest#theFileMayStand, cause | 1",
            })
    void aFileIsJudged(String lines, int problems) {
        String text = lines.length() == 1 ? (GOOD + "\n").repeat(Integer.parseInt(lines)) : lines;
        assertEquals(problems, KnownRed.problems(KnownRed.parse(text)).size());
    }

    /** A test passes or fails, and is named or not: what is told of it. */
    @ParameterizedTest
    @CsvSource({"true, false, passes", "false, false, fails", "false, true, passed over", "true, true, fails"})
    void aLineIsJudged(boolean passes, boolean named, String told) throws Throwable {
        String verdict = "passes";
        try {
            KnownRed.run(
                    () -> {
                        if (!passes) {
                            throw new AssertionError("red");
                        }
                        return null;
                    },
                    named ? KnownRed.parse(GOOD).get(0) : null,
                    line -> {});
        } catch (TestAbortedException e) {
            verdict = "passed over";
        } catch (AssertionError e) {
            verdict = "fails";
        }
        assertEquals(told, verdict);
    }
}
