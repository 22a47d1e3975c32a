package io.micatide.scheduler;

/** Hears of what may make a decision of the planner come out differently: it keeps what it found unschedulable until then. */
interface PlacementListener {
    /** A placement was added to the machine, whose free capacity shows it already. */
    void taskPlaced(Machine machine);

    /** A placement was taken from a machine: what did not fit may fit now. */
    void capacityFreed();

    /** Something was asked to stop: what could not be preempted may be preempted now. */
    void usageChanged();
}
