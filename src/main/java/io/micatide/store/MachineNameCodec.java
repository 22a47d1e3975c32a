package io.micatide.store;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Compresses many machine names into a short text form. The cloud numbers machines in the order of their creation, so most names of a
 * fleet differ only in their trailing number, often by one: such names form a group that holds the differences between the numbers. 505
 * names without two consecutive numbers take about one kilobyte instead of 5.5.
 *
 * <p>A group has the form {@code prefix/digits/differences}. Each difference is relative to the preceding number (the first one to 0),
 * and {@code +n} means that n consecutive numbers follow: {@code i-/6/231+29,2} stands for i-000231 to i-000260 and i-000262.
 */
public final class MachineNameCodec {
    /** Any number of this many digits fits into an int. */
    private static final int MAX_DIGITS = 9;
    /** Bytes that an element of a JSON array takes besides its characters: two quotes and a comma. */
    private static final int JSON_ELEMENT_OVERHEAD_BYTES = 3;

    private MachineNameCodec() {}

    private record NameGroup(String prefix, int digits) implements Comparable<NameGroup> {
        @Override
        public int compareTo(NameGroup other) {
            int byPrefix = prefix.compareTo(other.prefix);
            return byPrefix != 0 ? byPrefix : Integer.compare(digits, other.digits);
        }
    }

    /** Trailing numbers of the names of one group. */
    private static final class NumberList {
        private int[] values = new int[16];
        private int count;

        void add(int number) {
            if (count == values.length) {
                values = Arrays.copyOf(values, 2 * count);
            }
            values[count++] = number;
        }

        /** Returns the numbers in ascending order, with duplicates. */
        int[] sorted() {
            int[] result = Arrays.copyOf(values, count);
            Arrays.sort(result);
            return result;
        }
    }

    /**
     * Compresses names.
     *
     * @param names in any order; duplicates are kept once
     * @return the groups in ascending order of prefix and digits; a name without a trailing number is a group without differences
     */
    public static List<String> compress(Collection<String> names) {
        TreeMap<NameGroup, NumberList> groups = new TreeMap<>();
        NameGroup group = null;
        NumberList numbers = null;
        for (String name : names) {
            int digits = trailingDigits(name);
            int prefixLength = name.length() - digits;
            // Fast path: a leader compresses thousands of names for each write, and most belong to the group of the
            // preceding name.
            if (group == null
                    || group.digits() != digits
                    || group.prefix().length() != prefixLength
                    || !name.startsWith(group.prefix())) {
                group = new NameGroup(name.substring(0, prefixLength), digits);
                numbers = groups.computeIfAbsent(group, key -> new NumberList());
            }
            if (digits > 0) {
                numbers.add(Integer.parseInt(name, prefixLength, name.length(), 10));
            }
        }
        List<String> result = new ArrayList<>();
        groups.forEach((nameGroup, list) ->
                result.add(nameGroup.prefix() + "/" + nameGroup.digits() + "/" + differences(list.sorted())));
        return result;
    }

    private static int trailingDigits(String name) {
        int digits = 0;
        while (digits < Math.min(MAX_DIGITS, name.length())
                && name.charAt(name.length() - 1 - digits) >= '0'
                && name.charAt(name.length() - 1 - digits) <= '9') {
            digits++;
        }
        return digits;
    }

    private static String differences(int[] sortedNumbers) {
        StringBuilder text = new StringBuilder();
        int last = 0;
        int runLength = 0;
        boolean isFirst = true;
        for (int number : sortedNumbers) {
            if (!isFirst && number == last) {
                continue;
            }
            if (!isFirst && number == last + 1) {
                runLength++;
            } else {
                appendRun(text, runLength);
                text.append(isFirst ? "" : ",").append(number - last);
                runLength = 0;
            }
            isFirst = false;
            last = number;
        }
        appendRun(text, runLength);
        return text.toString();
    }

    private static void appendRun(StringBuilder text, int runLength) {
        if (runLength > 0) {
            text.append('+').append(runLength);
        }
    }

    /**
     * Restores the names from their groups, in ascending order within each group.
     *
     * @param groups a result of {@link #compress}
     * @return the names
     * @throws IllegalArgumentException if an element is not a group
     */
    public static List<String> decompress(Collection<String> groups) {
        List<String> names = new ArrayList<>();
        for (String group : groups) {
            decompress(group, names);
        }
        return names;
    }

    private static void decompress(String group, List<String> names) {
        int digitsEnd = group.lastIndexOf('/');
        int prefixEnd = group.lastIndexOf('/', digitsEnd - 1);
        if (prefixEnd < 0) {
            throw new IllegalArgumentException("expected a name group prefix/digits/differences, got " + group);
        }
        String prefix = group.substring(0, prefixEnd);
        int digits = Integer.parseInt(group.substring(prefixEnd + 1, digitsEnd));
        if (digits == 0) {
            names.add(prefix);
            return;
        }
        int number = 0;
        for (String difference : Splitter.on(',').split(group.substring(digitsEnd + 1))) {
            int plus = difference.indexOf('+');
            number += Integer.parseInt(plus < 0 ? difference : difference.substring(0, plus));
            names.add(name(prefix, digits, number));
            for (int remaining = plus < 0 ? 0 : Integer.parseInt(difference.substring(plus + 1));
                    remaining > 0;
                    remaining--) {
                names.add(name(prefix, digits, ++number));
            }
        }
    }

    private static String name(String prefix, int digits, int number) {
        String text = Integer.toString(number);
        return prefix + "0".repeat(Math.max(0, digits - text.length())) + text;
    }

    /**
     * Returns the size of names as a JSON array of groups, including quotes and commas.
     *
     * @param names the uncompressed names
     * @return size of the array's elements in bytes
     */
    public static int compressedBytes(Collection<String> names) {
        int bytes = 0;
        for (String group : compress(names)) {
            bytes += group.length() + JSON_ELEMENT_OVERHEAD_BYTES;
        }
        return bytes;
    }
}
