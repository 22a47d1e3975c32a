package io.micatide.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * One pass over the queued jobs, which may take several plans. A plan that has examined as many machines as its share
 * of a core allows is truncated. The next tick continues with the jobs not visited yet, in the queue order of that
 * time; a job that arrives in between and ranks before the others is placed first. Without truncation a plan took
 * seconds, the leader lost its lease, and all workers had to wait. For the same reason a plan places no more tasks than its
 * share of a core allows; a job that has more of them goes on in the next tick.
 *
 * <p>Invariant: each plan visits at least one job, and each job is visited once in a pass, in one plan or in several.
 */
final class PlanningPass {
    /**
     * Machines that a plan may examine for each core of the controller. At 0.255 of a core, examining 6,000 machines
     * took 0.1 to 0.2 s (corrmhor-vision deployment, 2,800 workers, simulated machines), so a plan of {@code 0.255 *
     * MACHINES_EXAMINED_PER_CORE} machines stays below 0.5 s.
     */
    static final long MACHINES_EXAMINED_PER_CORE = 60_000;

    /** Tasks that a plan may place for each core of the controller. The tasks of a gang are placed together nevertheless. */
    static final long TASKS_PLACED_PER_CORE = 20_000;

    private final long maxMachinesExamined;
    private final long maxTasksPlaced;
    /** Jobs visited by this pass, in this plan or an earlier one. */
    private final Set<Job> visited = new HashSet<>();

    private long examinedAtBegin;
    private long tasksPlaced;
    private boolean isFirstJob;
    private int truncations;

    /** @param cores the controller's share of CPU cores; may be less than one */
    PlanningPass(double cores) {
        this.maxMachinesExamined = Math.max(1, Math.round(cores * MACHINES_EXAMINED_PER_CORE));
        this.maxTasksPlaced = Math.max(1, Math.round(cores * TASKS_PLACED_PER_CORE));
    }

    /**
     * Begins a plan.
     *
     * @param machinesExamined machines examined in this term so far
     */
    void beginPlan(long machinesExamined) {
        examinedAtBegin = machinesExamined;
        tasksPlaced = 0;
        isFirstJob = true;
    }

    /** Returns whether the pass has not visited the job yet. */
    boolean isPending(Job job) {
        return !visited.contains(job);
    }

    /**
     * Returns whether this plan has examined as many machines as it may.
     *
     * @param machinesExamined machines examined in this term so far
     */
    boolean hasReachedLimit(long machinesExamined) {
        return !isFirstJob && machinesExamined - examinedAtBegin > maxMachinesExamined;
    }

    /** Records that a task was placed. */
    void taskPlaced() {
        tasksPlaced++;
    }

    /** Returns whether this plan has placed as many tasks as it may. */
    boolean hasPlacedMaxTasks() {
        return tasksPlaced >= maxTasksPlaced;
    }

    /** Marks the job as visited in this pass. */
    void markVisited(Job job) {
        isFirstJob = false;
        visited.add(job);
    }

    /** Ends the plan early; the next plan continues with the remaining jobs. */
    void truncatePlan() {
        truncations++;
    }

    /** Ends the pass after all jobs were visited; the next plan begins a new pass. */
    void completePass() {
        visited.clear();
    }

    /** Returns the number of plans of this term that were truncated. */
    int truncations() {
        return truncations;
    }
}
