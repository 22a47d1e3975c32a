package io.micatide.store;

import com.google.common.base.Splitter;
import java.util.BitSet;

/** Finished tasks as text such as {@code 0-5,7,9-12}: short while tasks finish roughly in order. */
public final class TaskRanges {
    private TaskRanges() {}

    /** The set bits from {@code from} (inclusive) to {@code to} (exclusive), counted from {@code from}. */
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
     * The most of {@code bits} between {@code from} and {@code to} that {@link #format} tells in {@code mostChars}, or null
     * if it cannot even tell {@code kept}, which has to stay. Whole runs are taken in order; of a run that does not fit what
     * is kept remains.
     */
    public static BitSet truncateToLength(BitSet bits, BitSet kept, int from, int to, int mostChars) {
        BitSet all = bits.get(0, to);
        all.clear(0, Math.min(from, to));
        if (format(all, from, to).length() <= mostChars) {
            return all;
        }
        BitSet chosen = kept.get(0, to);
        chosen.clear(0, Math.min(from, to));
        int length = chosen.isEmpty() ? 0 : format(chosen, from, to).length() + 1;
        for (int start = all.nextSetBit(from); start >= 0; ) {
            int end = all.nextClearBit(start);
            BitSet own = chosen.get(0, end);
            own.clear(0, start);
            // Each run stands for itself, with the comma before it.
            int before = own.isEmpty() ? 0 : format(own, from, to).length() + 1;
            int after = Integer.toString(start - from).length()
                    + 1
                    + (end - start > 1 ? 1 + Integer.toString(end - 1 - from).length() : 0);
            if (length - before + after <= mostChars || after <= before) {
                chosen.set(start, end);
                length += after - before;
            }
            start = all.nextSetBit(end);
        }
        return length > mostChars ? null : chosen;
    }

    public static void parseInto(String text, int from, BitSet bits) {
        for (String part : Splitter.on(',').omitEmptyStrings().split(text)) {
            int dash = part.indexOf('-');
            int first = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
            int last = dash < 0 ? first : Integer.parseInt(part.substring(dash + 1));
            bits.set(from + first, from + last + 1);
        }
    }
}
