package io.micatide.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Values by job class for the classes that were updated last. Users name the classes, so that their number and the length of their names are
 * bounded here.
 *
 * @param <V> type of the values
 */
final class RecentJobClasses<V> {
    static final int MAX_CLASSES = 1_000;
    /** Length of all names together, in characters. */
    static final int MAX_NAME_CHARS = 100_000;

    /** The class that was updated least recently comes first. */
    private final Map<String, V> values = new LinkedHashMap<>();

    private int nameChars;

    /** Returns the value of a class, or the given one if there is none. */
    V getOrDefault(String jobClass, V defaultValue) {
        return values.getOrDefault(jobClass, defaultValue);
    }

    /** Sets the value of a class, and drops the classes that were updated least recently if there are too many. */
    void put(String jobClass, V value) {
        remove(jobClass);
        values.put(jobClass, value);
        nameChars += jobClass.length();
        while (values.size() > MAX_CLASSES || nameChars > MAX_NAME_CHARS) {
            remove(values.keySet().iterator().next());
        }
    }

    private void remove(String jobClass) {
        if (values.remove(jobClass) != null) {
            nameChars -= jobClass.length();
        }
    }

    /** Returns whether the class has a value. */
    boolean contains(String jobClass) {
        return values.containsKey(jobClass);
    }

    /** Passes all classes with their values, in no particular order. */
    void forEach(BiConsumer<String, V> action) {
        values.forEach(action);
    }
}
