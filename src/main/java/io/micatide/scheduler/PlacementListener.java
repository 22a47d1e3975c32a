package io.micatide.scheduler;

/**
 * Receives events that may change a decision of the planner, which until then keeps what it found to be unschedulable.
 */
interface PlacementListener {
    /** A placement was added to the machine; the free capacity of the machine already reflects it. */
    void taskPlaced(Machine machine);

    /** A placement was removed from a machine: tasks that did not fit may fit now. */
    void capacityFreed();

    /** A placement was requested to stop: work that could not be preempted may be preemptible now. */
    void usageChanged();
}
