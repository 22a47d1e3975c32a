package io.micatide.scheduler;

/**
 * Receives the events after which the planner has to discard or recheck cached results, such as the classes of jobs that did not fit.
 */
interface PlacementListener {
    /** A placement was added to the machine; the free capacity of the machine already reflects it. */
    void taskPlaced(Machine machine);

    /** A placement was removed from a machine: tasks that did not fit may fit now. */
    void capacityFreed();

    /** A placement was requested to stop: work that could not be preempted may be preemptible now. */
    void usageChanged();
}
