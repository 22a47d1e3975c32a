package io.micatide.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * One pass over the jobs that wait, which may take more than one plan. A plan that has examined as many machines as its
 * share of a core allows is truncated, and the next tick goes on with the jobs that the pass has not come to, in the order
 * that they have by then; what arrives meanwhile and goes before the others is placed first. A leader whose plan took
 * seconds lost its lease to it, and every worker waited.
 *
 * <p>Invariant: each plan places one job at least, and each job has one turn in a pass.
 */
final class PlanningPass {
    /**
     * Machines that a plan may examine for each core of the controller. At 0.255 of a core a plan that examined 6,000 was
     * seen to take 0.1 to 0.2 s (vision at 2,800 workers, simulated machines), so that one of
     * {@code 0.255 * MACHINES_EXAMINED_PER_CORE} stays below half a second.
     */
    static final long MACHINES_EXAMINED_PER_CORE = 60_000;

    private final long maxMachinesExamined;
    /** Jobs that this pass has come to, in this plan or an earlier one. */
    private final Set<Job> visited = new HashSet<>();

    private long examinedAtBegin;
    private boolean isFirstJob;
    private int truncations;

    /** @param cores the controller's share of processors; may be less than one */
    PlanningPass(double cores) {
        this.maxMachinesExamined = Math.max(1, Math.round(cores * MACHINES_EXAMINED_PER_CORE));
    }

    /**
     * A plan begins.
     *
     * @param machinesExamined in this term so far
     */
    void beginPlan(long machinesExamined) {
        examinedAtBegin = machinesExamined;
        isFirstJob = true;
    }

    /** Whether the pass has not come to the job yet. */
    boolean isPending(Job job) {
        return !visited.contains(job);
    }

    /**
     * Whether this plan has done its share.
     *
     * @param machinesExamined in this term so far
     */
    boolean hasReachedLimit(long machinesExamined) {
        return !isFirstJob && machinesExamined - examinedAtBegin > maxMachinesExamined;
    }

    /** The job has had its turn. */
    void markVisited(Job job) {
        isFirstJob = false;
        visited.add(job);
    }

    /** The plan ends here; the next one goes on with the rest. */
    void truncatePlan() {
        truncations++;
    }

    /** The pass has come to all jobs; the next plan begins another one. */
    void completePass() {
        visited.clear();
    }

    /** Plans of this term that were truncated. */
    int truncations() {
        return truncations;
    }
}
