package io.micatide.scheduler;

import io.micatide.model.Resources;

/**
 * What a planner may do to the cluster state. The planner decides which task goes where and what has to yield; these actions apply the decision
 * and keep the invariants of jobs, machines and team usage, whatever the decision is.
 */
interface PlacementActions {
    /**
     * Whether the ledger of the job names the machine or has room for its name, without which nothing of the job may start there.
     *
     * @param nowMicros the time, steady clock
     */
    boolean mayRecordMachine(Job job, Machine machine, long nowMicros);

    /**
     * Decides a start. It is sent once the ledger of the job names the machine.
     *
     * @param taskIndex of a task that is neither finished nor live, from 0
     * @param nowMicros the time, steady clock
     */
    void placeTask(Job job, int taskIndex, Machine machine, long nowMicros);

    /** Takes a placement away: nothing of it was sent, or nothing of it is on the machine any more. */
    void remove(Placement placement);

    /**
     * Asks for a stop; of two stops of one placement the shorter grace counts.
     *
     * @param graceMicros how long the task may go on to save its work, 0 for not at all
     * @param nowMicros the time, steady clock
     */
    void stop(Placement placement, long graceMicros, long nowMicros);

    /** Stops a task with time for a checkpoint; of a gang all tasks, which only save together. */
    void stopWithCheckpoint(Placement placement, long nowMicros);

    /** What the placements of a team's jobs take in all, {@link Resources#NONE} for a team without any. */
    Resources teamUsage(String team);
}
