package io.micatide.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Steps: a sibling's number with the layout that it says it reads, b a new term, f a failed write, ? asks for the mark of layout 2, ! for that of 3. */
class LayoutWatchTest {
    @ParameterizedTest
    @CsvSource({
        "0, ?, y",
        "2, ? 0:2 ? 1:2 ?, nny",
        // Production says nothing of a layout, and a sibling that is not heard is taken for it.
        "2, 0:2 1:1 ?, n",
        "2, 0:2 0:2 ?, n",
        // A later version reads this layout too.
        "2, 0:2 1:3 ?, y",
        "2, 0:2 1:2 ? ?, yn",
        "2, 0:2 1:2 ? f ?, yy",
        // One of the former version reads layout 2 alone; the mark of that does not wait for it to go.
        "2, 0:2 1:3 ? ! 0:3 !, yny",
        "2, 0:3 1:3 ? ! ! f !, yyny",
        // What was heard in an earlier term says nothing of this one.
        "2, 0:2 1:2 b ? 0:2 ? 1:2 ?, nny",
    })
    void marksOnceAllWereHeardInThisTerm(int siblings, String steps, String told) {
        LayoutWatch watch = new LayoutWatch(siblings);
        StringBuilder text = new StringBuilder();
        for (String step : steps.split(" ")) {
            switch (step.charAt(0)) {
                case 'b' -> watch.begin();
                case 'f' -> watch.failed(text.toString().length() > 1 ? 3 : 2);
                case '?' -> text.append(watch.mark(Settings.LAYOUT_NEEDS) ? 'y' : 'n');
                case '!' -> text.append(watch.mark(Settings.LAYOUT_HISTORY) ? 'y' : 'n');
                default -> watch.heard(step.charAt(0) - '0', step.charAt(2) - '0');
            }
        }
        assertEquals(told, text.toString());
    }
}
