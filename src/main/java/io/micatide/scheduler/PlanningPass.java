package io.micatide.scheduler;

import java.util.HashSet;
import java.util.Set;

/**
 * One pass over the jobs that wait, which may take more than one plan: a plan that has looked at as many machines as its share of a core
 * allows goes on in the next tick, with the jobs that it has not come to, in the order that they have by then. What arrives meanwhile and goes
 * before the others is looked at first. A leader whose plan took seconds lost its lease to it, and every worker waited.
 */
final class PlanningPass {
    /**
     * Machines that a plan may look at for each core of the controller. At 0.255 of a core a plan of 6,000 looks was seen to take 0.1 to 0.2 s
     * (vision at 2,800 workers, simulated machines), so that one of {@code 0.255 * LOOKS_PER_CORE} stays below half a second.
     */
    static final long MACHINES_EXAMINED_PER_CORE = 60_000;

    private final long maxMachinesExamined;
    /** Jobs that this pass has come to, in this plan or an earlier one. */
    private final Set<Job> visited = new HashSet<>();

    private long examinedAtBegin;
    private boolean isFirstJob;
    private int truncations;

    /** @param cores what the controller has of a core */
    PlanningPass(double cores) {
        this.maxMachinesExamined = Math.max(1, Math.round(cores * MACHINES_EXAMINED_PER_CORE));
    }

    /** @param looks machines looked at so far in this term */
    void begin(long looks) {
        examinedAtBegin = looks;
        isFirstJob = true;
    }

    /** Whether the pass has not come to the job yet. */
    boolean isPending(Job job) {
        return !visited.contains(job);
    }

    /** Whether this plan has done its share; each does one job at least. */
    boolean isOver(long looks) {
        return !isFirstJob && looks - examinedAtBegin > maxMachinesExamined;
    }

    void markVisited(Job job) {
        isFirstJob = false;
        visited.add(job);
    }

    /** The next plan goes on with the rest. */
    void truncate() {
        truncations++;
    }

    /** It has come to all; the next plan begins another one. */
    void end() {
        visited.clear();
    }

    int truncations() {
        return truncations;
    }
}
