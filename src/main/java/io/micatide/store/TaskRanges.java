package io.micatide.store;

import com.google.common.base.Splitter;
import java.util.BitSet;

/** Sets of task indexes as text such as {@code 0-5,7,9-12}: short while tasks finish roughly in order. */
public final class TaskRanges {
    private TaskRanges() {}

    /**
     * Formats the set bits of a section.
     *
     * @param bits the set
     * @param from first index of the section; the text counts from there
     * @param to the index after the section's last one
     * @return the ranges in rising order, empty for none
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
     * Chooses as many bits of a section as {@link #format} writes in a number of characters. Whole runs are taken in
     * order; of a run that does not fit, the required bits remain.
     *
     * @param bits the set
     * @param required a subset that must remain
     * @param from first index of the section
     * @param to the index after the section's last one
     * @param maxChars longest text
     * @return the chosen bits, or null if not even the required ones fit
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

    /** The bits of a section, at their own indexes. */
    private static BitSet section(BitSet bits, int from, int to) {
        BitSet section = bits.get(0, to);
        section.clear(0, Math.min(from, to));
        return section;
    }

    /** Characters of a set, with a comma to keep it from others. */
    private static int lengthWithComma(BitSet bits, int from, int to) {
        return bits.isEmpty() ? 0 : format(bits, from, to).length() + 1;
    }

    /** Characters of one run, with a comma to keep it from others. */
    private static int runLengthWithComma(int first, int last) {
        int length = Integer.toString(first).length() + 1;
        return last > first ? length + 1 + Integer.toString(last).length() : length;
    }

    /**
     * Sets the bits that a text names.
     *
     * @param text as {@link #format} made it
     * @param from index from which the text counts
     * @param bits the set to which they are added
     * @throws NumberFormatException if the text is not of that form
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
