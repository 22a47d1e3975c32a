package io.micatide.scheduler;

import io.micatide.model.Priority;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Records which classes of jobs did not fit during one plan, so that jobs with the same requirements are not tried
 * again until the result may have changed.
 *
 * <p>Invariant: placing only reduces free capacity, so recorded results stay valid. All are cleared when capacity is
 * freed, and those about preemption also when the usage of a team changes.
 */
final class UnschedulableClasses {
    /**
     * Gangs for which the same capacity counts.
     *
     * @param equivalenceClass determines which machines the gangs can use
     * @param priority null if nothing is preempted, as the priority is irrelevant then
     * @param team null if nothing is preempted, as the team is irrelevant then
     */
    private record GangClass(EquivalenceClass equivalenceClass, Priority priority, String team) {
        static GangClass of(Job job, CapacityRequest.Source source) {
            EquivalenceClass equivalenceClass = EquivalenceClass.of(job.spec);
            return source == CapacityRequest.Source.FREE
                    ? new GangClass(equivalenceClass, null, null)
                    : new GangClass(equivalenceClass, job.priority(), job.spec.team());
        }
    }

    /** Arrays for which the same work may be preempted. */
    private record PreemptorClass(
            EquivalenceClass equivalenceClass, Priority priority, String team, boolean isGuaranteed) {
        static PreemptorClass of(JobQueue.QueuedJob queued) {
            Job job = queued.job();
            return new PreemptorClass(
                    EquivalenceClass.of(job.spec), job.priority(), job.spec.team(), queued.isGuaranteed());
        }
    }

    private final Set<EquivalenceClass> fullClasses = new HashSet<>();
    private final Set<PreemptorClass> futilePreemptors = new HashSet<>();
    private final Map<GangClass, Map<String, Long>> tasksFittingPerZone = new HashMap<>();

    /** Clears all results at the beginning of a plan. */
    void clear() {
        capacityFreed();
    }

    /** Clears all results, since a placement was removed from a machine. */
    void capacityFreed() {
        fullClasses.clear();
        futilePreemptors.clear();
        tasksFittingPerZone.clear();
    }

    /**
     * Clears the results about preemption: after a placement or a stop, a team may exceed its guarantee, which makes
     * its work preemptible.
     */
    void usageChanged() {
        futilePreemptors.clear();
    }

    /** Records that no machine available to arrays of this class has free capacity for a task. */
    void markFull(EquivalenceClass equivalenceClass) {
        fullClasses.add(equivalenceClass);
    }

    /** Returns whether {@link #markFull} was called for the class and no capacity was freed since. */
    boolean isFull(EquivalenceClass equivalenceClass) {
        return fullClasses.contains(equivalenceClass);
    }

    /** Records that an array of this class found no work to preempt. */
    void markPreemptionFutile(JobQueue.QueuedJob queued) {
        futilePreemptors.add(PreemptorClass.of(queued));
    }

    /**
     * Returns whether {@link #markPreemptionFutile} was called for an array of this class and its result is still
     * valid.
     */
    boolean isPreemptionFutile(JobQueue.QueuedJob queued) {
        return futilePreemptors.contains(PreemptorClass.of(queued));
    }

    /**
     * Records how many tasks of a gang of this class fit into each zone.
     *
     * @param source what was counted as capacity: only free capacity, or also capacity that could be preempted
     * @param tasksPerZone number of tasks by zone; kept without copying
     */
    void recordTasksFittingPerZone(Job job, CapacityRequest.Source source, Map<String, Long> tasksPerZone) {
        tasksFittingPerZone.put(GangClass.of(job, source), tasksPerZone);
    }

    /**
     * Returns the maximum number of tasks of a gang of this class that fit into each zone. It is an upper bound, since
     * capacity has at most shrunk since it was recorded.
     *
     * @return null if nothing was recorded since capacity was last freed
     */
    Map<String, Long> tasksFittingPerZone(Job job, CapacityRequest.Source source) {
        return tasksFittingPerZone.get(GangClass.of(job, source));
    }
}
