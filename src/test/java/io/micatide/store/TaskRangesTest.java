package io.micatide.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TaskRangesTest {
    @ParameterizedTest
    @CsvSource({"'', 0, 10", "0-3, 0, 10", "'0,2,4-5', 0, 10", "'1,9', 20, 30", "0-9, 20, 30"})
    void formatRestoresTheParsedText(String text, int from, int to) {
        BitSet bits = new BitSet();
        TaskRanges.parseInto(text, from, bits);
        bits.set(to);
        assertEquals(text, TaskRanges.format(bits, from, to));
    }

    /** The most fragmented page fits into a value, also with the smallest size limit of a deployment. */
    @ParameterizedTest
    @CsvSource({"16", "32", "64"})
    void mostFragmentedPageFitsIntoAValue(int valueKb) {
        int pageTasks = Math.max(256, Integer.highestOneBit(valueKb * 1024 / 8));
        BitSet bits = new BitSet();
        for (int i = 0; i < 100_000; i += 2) {
            bits.set(i);
        }
        for (int from = 0; from < 100_000; from += pageTasks) {
            int length = TaskRanges.format(bits, from, from + pageTasks).length();
            assertTrue(length < valueKb * 1024 * 5 / 8, "page at task " + from + " takes characters: " + length);
        }
    }

    @Test
    void emptyTextHasNoTasks() {
        BitSet bits = new BitSet();
        TaskRanges.parseInto("", 0, bits);
        assertTrue(bits.isEmpty());
    }
}
