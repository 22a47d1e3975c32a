package io.micatide.store;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Many machine names as short text. The cloud numbers machines as it makes them, so most of a fleet are neighbours: names
 * that differ in their closing number only are told as the steps between the numbers. 505 names, none next to another, take
 * about a kilobyte instead of five and a half.
 *
 * <p>One group is {@code prefix/digits/steps}; a step is the distance to the number before, and {@code +n} tells that n more
 * follow without a gap: {@code i-/6/231+29,2} is i-000231 to i-000260 and i-000262.
 */
public final class MachineNameCodec {
    private static final int MOST_DIGITS = 9;

    private MachineNameCodec() {}

    private record Group(String prefix, int digits) implements Comparable<Group> {
        @Override
        public int compareTo(Group other) {
            int byPrefix = prefix.compareTo(other.prefix);
            return byPrefix != 0 ? byPrefix : Integer.compare(digits, other.digits);
        }
    }

    private static int digitsOf(String name) {
        int digits = 0;
        while (digits < Math.min(MOST_DIGITS, name.length())
                && name.charAt(name.length() - 1 - digits) >= '0'
                && name.charAt(name.length() - 1 - digits) <= '9') {
            digits++;
        }
        return digits;
    }

    /** Closing numbers of names that are alike but for them. */
    private static final class Numbers {
        private int[] values = new int[16];
        private int count;

        void add(int number) {
            if (count == values.length) {
                values = Arrays.copyOf(values, 2 * count);
            }
            values[count++] = number;
        }

        /** In rising order; a name may be among them more than once. */
        int[] sorted() {
            int[] result = Arrays.copyOf(values, count);
            Arrays.sort(result);
            return result;
        }
    }

    /** The groups, in a fixed order; names without a number are groups without steps. */
    public static List<String> compress(Collection<String> names) {
        TreeMap<Group, Numbers> groups = new TreeMap<>();
        Group group = null;
        Numbers numbers = null;
        for (String name : names) {
            int digits = digitsOf(name);
            int prefix = name.length() - digits;
            // Most names are of the group of the one before: a leader shortens thousands of them at each of its rounds.
            if (group == null
                    || group.digits() != digits
                    || group.prefix().length() != prefix
                    || !name.startsWith(group.prefix())) {
                group = new Group(name.substring(0, prefix), digits);
                numbers = groups.computeIfAbsent(group, k -> new Numbers());
            }
            if (digits > 0) {
                numbers.add(Integer.parseInt(name, prefix, name.length(), 10));
            }
        }
        List<String> result = new ArrayList<>();
        groups.forEach((each, all) -> result.add(each.prefix() + "/" + each.digits() + "/" + steps(all.sorted())));
        return result;
    }

    private static String steps(int[] numbers) {
        StringBuilder text = new StringBuilder();
        int last = 0;
        int run = 0;
        boolean first = true;
        for (int number : numbers) {
            if (!first && number == last) {
                continue;
            }
            if (!first && number == last + 1) {
                run++;
            } else {
                endRun(text, run);
                text.append(first ? "" : ",").append(number - last);
                run = 0;
            }
            first = false;
            last = number;
        }
        endRun(text, run);
        return text.toString();
    }

    private static void endRun(StringBuilder text, int run) {
        if (run > 0) {
            text.append('+').append(run);
        }
    }

    /** What {@link #compress} was given; a text that it did not make is an {@link IllegalArgumentException}. */
    public static List<String> decompress(Collection<String> groups) {
        List<String> names = new ArrayList<>();
        for (String group : groups) {
            int last = group.lastIndexOf('/');
            int before = group.lastIndexOf('/', last - 1);
            if (before < 0) {
                throw new IllegalArgumentException("not a group of names: " + group);
            }
            String prefix = group.substring(0, before);
            int digits = Integer.parseInt(group.substring(before + 1, last));
            if (digits == 0) {
                names.add(prefix);
                continue;
            }
            int number = 0;
            for (String step : Splitter.on(',').split(group.substring(last + 1))) {
                int plus = step.indexOf('+');
                number += Integer.parseInt(plus < 0 ? step : step.substring(0, plus));
                names.add(name(prefix, digits, number));
                for (int more = plus < 0 ? 0 : Integer.parseInt(step.substring(plus + 1)); more > 0; more--) {
                    names.add(name(prefix, digits, ++number));
                }
            }
        }
        return names;
    }

    private static String name(String prefix, int digits, int number) {
        String text = Integer.toString(number);
        return prefix + "0".repeat(Math.max(0, digits - text.length())) + text;
    }

    /** What the groups take as JSON, with quotes and commas. */
    public static int compressedBytes(Collection<String> names) {
        int bytes = 0;
        for (String group : compress(names)) {
            bytes += group.length() + 3;
        }
        return bytes;
    }
}
