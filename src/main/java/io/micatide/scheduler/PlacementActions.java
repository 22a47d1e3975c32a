package io.micatide.scheduler;

import io.micatide.model.Resources;

/**
 * The changes that a planner may make to the cluster state. The planner decides which tasks are placed and which are
 * preempted; these actions apply the decision and keep the invariants of jobs, machines and team usage for any
 * decision.
 */
interface PlacementActions {
    /**
     * Returns whether the ledger of the job names the machine or has space for its name. Otherwise no task of the job
     * may start there.
     *
     * @param nowMicros current time on the steady clock
     */
    boolean mayRecordMachine(Job job, Machine machine, long nowMicros);

    /** Returns whether the leader has memory for one more placed task of the job. */
    boolean hasMemoryForTask(Job job);

    /**
     * Places a task on the machine. The start is sent once the ledger of the job names the machine.
     *
     * @param taskIndex index, from 0, of a task that is neither finished nor live
     * @param nowMicros current time on the steady clock
     */
    void placeTask(Job job, int taskIndex, Machine machine, long nowMicros);

    /** Removes a placement that was never sent, or that is no longer on the machine. */
    void remove(Placement placement);

    /**
     * Requests a stop. Of two stops of one placement the shorter grace period applies.
     *
     * @param graceMicros how long the task may continue in order to save its work; 0 stops it immediately
     * @param nowMicros current time on the steady clock
     */
    void stop(Placement placement, long graceMicros, long nowMicros);

    /** Stops a task with time for a checkpoint. For a gang stops all tasks, since they can only save together. */
    void stopWithCheckpoint(Placement placement, long nowMicros);

    /**
     * Returns the total resources of the placements of a team's jobs, {@link Resources#NONE} for a team without
     * placements.
     */
    Resources teamUsage(String team);
}
