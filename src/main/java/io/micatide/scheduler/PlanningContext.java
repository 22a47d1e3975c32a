package io.micatide.scheduler;

/**
 * What the placement of every kind of job works with during a term.
 *
 * @param scheduler carries placements out
 * @param quota the teams' limits
 * @param selection feasibility and ranking of machines
 * @param preemption which work may be preempted and what is lost by it
 * @param preemptionExecutor carries preemption out
 * @param unschedulable what was found not to fit in the present plan
 */
record PlanningContext(
        PlacementActions scheduler,
        TeamQuota quota,
        MachineSelection selection,
        Preemption preemption,
        PreemptionExecutor preemptionExecutor,
        UnschedulableClasses unschedulable) {}
