package io.micatide.model;

import java.util.List;

/**
 * Something that a leader has learned and no row holds. A successor that knows it places better at once; it may be old or wrong, so it
 * speeds up and never allows: no start, no record and no settling of an earlier start rests on one.
 */
public sealed interface Hint {
    /** What it is about; a later hint of the same name replaces it. */
    String name();

    /**
     * @param address where its worker takes commands, empty if that is not known
     * @param incarnation of its worker, by its last report
     * @param images names of images that the machine most likely has, the one used longest ago first
     * @param imageSizesGb their sizes, in the same order
     * @param slow its tasks took much longer than others of their jobs, not long ago
     * @param quarantined jobs failed on it that succeed elsewhere: it was to be returned
     * @param deleted its deletion was answered; ledgers may name it still
     */
    record MachineHint(
            String name,
            String address,
            long incarnation,
            List<String> images,
            List<Double> imageSizesGb,
            boolean slow,
            boolean quarantined,
            boolean deleted)
            implements Hint {
        public static MachineHint deleted(String name) {
            return new MachineHint(name, "", 0, List.of(), List.of(), false, false, true);
        }
    }

    /**
     * @param meanRuntimeMicros how long its tasks took on average, 0 if none is over
     * @param completedTasks how many that tells of, roughly
     * @param quarantined it failed on several machines and never succeeded
     * @param failedProbes how often it was tried since
     */
    record JobHint(String name, long meanRuntimeMicros, int completedTasks, boolean quarantined, int failedProbes)
            implements Hint {}

    /** How long tasks of a class take by their owners' estimate, and how far a single one is usually from it. */
    record JobClassHint(String name, double factor, double spread) implements Hint {}
}
