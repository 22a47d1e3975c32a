package io.micatide.model;

import java.util.List;

/**
 * Advisory state that a leader has learned and that no stored record contains. It lets a successor place tasks well from the beginning.
 * A hint may be outdated or wrong, so correctness never depends on it: no start of a task, no stored record and no resolution of an earlier
 * start is based on a hint.
 */
public sealed interface Hint {
    /** Returns the name of the machine, job or job class that the hint describes; a later hint of the same kind and name replaces it. */
    String name();

    /**
     * A hint about a machine.
     *
     * @param name of the machine
     * @param address host and port at which its worker accepts commands, empty if unknown
     * @param incarnation of its worker according to the last heartbeat
     * @param images names of the images that the machine most likely has cached, the least recently used first
     * @param imageSizesGb sizes of the images in GB, in the same order
     * @param slow whether its tasks recently took much longer than others of their jobs
     * @param quarantined whether jobs failed on the machine that succeed elsewhere, so that it was to be deleted
     * @param deleted whether the cloud confirmed its deletion; ledgers may still list the machine
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
        /** Returns a hint that the given machine is deleted. */
        public static MachineHint deleted(String name) {
            return new MachineHint(name, "", 0, List.of(), List.of(), false, false, true);
        }
    }

    /**
     * A hint about a job.
     *
     * @param name id of the job
     * @param meanRuntimeMicros mean run time of its completed tasks, 0 if there are none
     * @param completedTasks approximate number of completed tasks from which the mean is computed
     * @param quarantined whether its tasks failed on several machines and never succeeded
     * @param failedProbes number of its failed probes, which determines the pause until the next one
     */
    record JobHint(String name, long meanRuntimeMicros, int completedTasks, boolean quarantined, int failedProbes)
            implements Hint {}

    /**
     * A hint about a job class.
     *
     * @param name of the class
     * @param factor mean ratio of the run time of a task to its owner's estimate
     * @param spread mean deviation of a task's ratio from that mean, as a fraction of the mean
     */
    record JobClassHint(String name, double factor, double spread) implements Hint {}
}
