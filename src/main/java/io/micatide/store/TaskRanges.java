package io.micatide.store;

import com.google.common.base.Splitter;
import java.util.BitSet;

/** Converts sets of task indexes to and from text such as {@code 0-5,7,9-12}, which is short while tasks finish roughly in order. */
public final class TaskRanges {
    private TaskRanges() {}

    /**
     * Formats the set bits of a section, which is the range of indexes from {@code from} to {@code to}.
     *
     * @param bits the set
     * @param from first index of the section; the indexes in the text are relative to it
     * @param to the index after the section's last one
     * @return the ranges in ascending order, empty if no bit of the section is set
     */
    public static String format(BitSet bits, int from, int to) {
        StringBuilder text = new StringBuilder();
        int start = bits.nextSetBit(from);
        while (start >= 0 && start < to) {
            int end = Math.min(bits.nextClearBit(start), to) - 1;
            if (!text.isEmpty()) {
                text.append(',');
            }
            text.append(start - from);
            if (end > start) {
                text.append('-').append(end - from);
            }
            start = bits.nextSetBit(end + 1);
        }
        return text.toString();
    }

    /**
     * Reduces a section to bits whose text has a limited length. Whole runs of set bits are kept in ascending order as long as
     * the text stays within the limit; of a run that does not fit, only the required bits are kept.
     *
     * @param bits the set
     * @param required a subset of {@code bits} that must be kept
     * @param from first index of the section
     * @param to the index after the section's last one
     * @param maxChars maximum length of the text that {@link #format} returns for the kept bits
     * @return the kept bits, or null if the text of the required bits alone is too long
     */
    public static BitSet truncateToLength(BitSet bits, BitSet required, int from, int to, int maxChars) {
        BitSet all = section(bits, from, to);
        if (format(all, from, to).length() <= maxChars) {
            return all;
        }
        BitSet chosen = section(required, from, to);
        int length = lengthWithComma(chosen, from, to);
        for (int start = all.nextSetBit(from); start >= 0; ) {
            int end = all.nextClearBit(start);
            int lengthBefore = lengthWithComma(section(chosen, start, end), from, to);
            int lengthAfter = runLengthWithComma(start - from, end - 1 - from);
            if (length - lengthBefore + lengthAfter <= maxChars || lengthAfter <= lengthBefore) {
                chosen.set(start, end);
                length += lengthAfter - lengthBefore;
            }
            start = all.nextSetBit(end);
        }
        return length > maxChars ? null : chosen;
    }

    /** Returns the bits of a section at their original indexes. */
    private static BitSet section(BitSet bits, int from, int to) {
        BitSet section = bits.get(0, to);
        section.clear(0, Math.min(from, to));
        return section;
    }

    /** Returns the length of the text of a set, with one separating comma. */
    private static int lengthWithComma(BitSet bits, int from, int to) {
        return bits.isEmpty() ? 0 : format(bits, from, to).length() + 1;
    }

    /** Returns the length of the text of one run, with one separating comma. */
    private static int runLengthWithComma(int first, int last) {
        int length = Integer.toString(first).length() + 1;
        return last > first ? length + 1 + Integer.toString(last).length() : length;
    }

    /**
     * Sets the bits that are listed in a text.
     *
     * @param text a result of {@link #format}
     * @param from index to which the indexes in the text are relative
     * @param bits the set to which the bits are added
     * @throws NumberFormatException if an element of the text is neither an index nor a range
     */
    public static void parseInto(String text, int from, BitSet bits) {
        for (String range : Splitter.on(',').omitEmptyStrings().split(text)) {
            int dash = range.indexOf('-');
            int first = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
            int last = dash < 0 ? first : Integer.parseInt(range.substring(dash + 1));
            bits.set(from + first, from + last + 1);
        }
    }
}
