package io.micatide.core;

import com.google.common.base.Splitter;
import java.util.BitSet;

/** Finished tasks as text such as {@code 0-5,7,9-12}: short while tasks finish roughly in order. */
public final class Ranges {
    private Ranges() {
    }

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

    public static void parseInto(String text, int from, BitSet bits) {
        for (String part : Splitter.on(',').omitEmptyStrings().split(text)) {
            int dash = part.indexOf('-');
            int first = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
            int last = dash < 0 ? first : Integer.parseInt(part.substring(dash + 1));
            bits.set(from + first, from + last + 1);
        }
    }
}
