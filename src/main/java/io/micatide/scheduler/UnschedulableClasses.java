package io.micatide.scheduler;

import io.micatide.model.Priority;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What was found not to fit during one plan, so that jobs that ask for the same are not tried again until it could matter.
 *
 * <p>Invariant: free capacity only shrinks while a plan places, so what is remembered stays true; where capacity grows, all
 * of it is forgotten, and where a team's usage changes, what was found about preemption.
 */
final class UnschedulableClasses {
    /**
     * Gangs for which the same capacity counts.
     *
     * @param priority null where nothing is preempted: then the team does not matter either
     * @param team null likewise
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

    /** A plan begins. */
    void clear() {
        capacityFreed();
    }

    /** Something left a machine. */
    void capacityFreed() {
        fullClasses.clear();
        futilePreemptors.clear();
        tasksFittingPerZone.clear();
    }

    /** Something was placed or stopped: a team may use more than its guarantee now, and its work be preempted. */
    void usageChanged() {
        futilePreemptors.clear();
    }

    /** Records that no machine which arrays of this class may use has free capacity for a task. */
    void markFull(EquivalenceClass equivalenceClass) {
        fullClasses.add(equivalenceClass);
    }

    /** Whether {@link #markFull} was called for the class and no capacity was freed since. */
    boolean isFull(EquivalenceClass equivalenceClass) {
        return fullClasses.contains(equivalenceClass);
    }

    /** Records that an array like this one found nothing to preempt. */
    void markPreemptionFutile(JobQueue.QueuedJob queued) {
        futilePreemptors.add(PreemptorClass.of(queued));
    }

    /** Whether {@link #markPreemptionFutile} was called for an array like this one and nothing has changed since. */
    boolean isPreemptionFutile(JobQueue.QueuedJob queued) {
        return futilePreemptors.contains(PreemptorClass.of(queued));
    }

    /**
     * Records how many tasks of a gang like this one fit into each zone.
     *
     * @param source what was counted as capacity: what is free, or also what could be preempted
     * @param tasksPerZone by zone; kept, not copied
     */
    void recordTasksFittingPerZone(Job job, CapacityRequest.Source source, Map<String, Long> tasksPerZone) {
        tasksFittingPerZone.put(GangClass.of(job, source), tasksPerZone);
    }

    /**
     * How many tasks of a gang like this one fit into each zone at most: there is no more capacity than when it was
     * recorded.
     *
     * @return null if it was not recorded since capacity grew
     */
    Map<String, Long> tasksFittingPerZone(Job job, CapacityRequest.Source source) {
        return tasksFittingPerZone.get(GangClass.of(job, source));
    }
}
