package io.micatide.scheduler;

import io.micatide.model.Priority;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What was found not to fit during one plan, so that jobs that ask for the same are not looked at again until it could matter. Room only
 * shrinks while a plan places; where it grows, all of this is forgotten.
 */
final class UnschedulableClasses {
    /**
     * Gangs for which the same room counts.
     *
     * @param priority null where nothing is displaced: then the team does not matter either
     * @param team null likewise
     */
    private record GangClass(EquivalenceClass equivalenceClass, Priority priority, String team) {
        static GangClass of(Job job, boolean preempts) {
            EquivalenceClass shape = EquivalenceClass.of(job.spec);
            return preempts ? new GangClass(shape, job.priority(), job.spec.team()) : new GangClass(shape, null, null);
        }
    }

    /** Arrays that may displace the same work. */
    private record PreemptorClass(EquivalenceClass equivalenceClass, Priority priority, String team, boolean guaranteed) {
        static PreemptorClass of(JobQueue.QueuedJob queued) {
            Job job = queued.job();
            return new PreemptorClass(EquivalenceClass.of(job.spec), job.priority(), job.spec.team(), queued.guaranteed());
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

    /** Something was placed or stopped: a team may use more than its guarantee now, and yield. */
    void usageChanged() {
        futilePreemptors.clear();
    }

    /** No machine that arrays of this shape may use has free room for a task. */
    void markFull(EquivalenceClass equivalenceClass) {
        fullClasses.add(equivalenceClass);
    }

    boolean isFull(EquivalenceClass equivalenceClass) {
        return fullClasses.contains(equivalenceClass);
    }

    /** An array like this one found nothing to displace. */
    void markPreemptionFutile(JobQueue.QueuedJob queued) {
        futilePreemptors.add(PreemptorClass.of(queued));
    }

    boolean isPreemptionFutile(JobQueue.QueuedJob queued) {
        return futilePreemptors.contains(PreemptorClass.of(queued));
    }

    /**
     * How many tasks of a gang like this one fit into each zone.
     *
     * @param preempts whether what could be displaced is counted
     */
    void recordTasksFittingPerZone(Job job, boolean preempts, Map<String, Long> perZone) {
        tasksFittingPerZone.put(GangClass.of(job, preempts), perZone);
    }

    /** The same, as it was when it was told: there is no more now. Null if it was not told since room grew. */
    Map<String, Long> tasksFittingPerZone(Job job, boolean preempts) {
        return tasksFittingPerZone.get(GangClass.of(job, preempts));
    }
}
