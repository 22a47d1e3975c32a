package io.micatide.scheduler;

/**
 * The collaborators that the placement of each kind of job shares during a term.
 *
 * @param scheduler applies placements
 * @param quota limits of the teams
 * @param selection feasibility and ranking of machines
 * @param preemption which work may be preempted and how much work that loses
 * @param preemptionExecutor carries out preemption
 * @param unschedulable classes of jobs that were found not to fit in the current plan
 * @param pass limits what one plan may do
 */
record PlanningContext(
        PlacementActions scheduler,
        TeamQuota quota,
        MachineSelection selection,
        Preemption preemption,
        PreemptionExecutor preemptionExecutor,
        UnschedulableClasses unschedulable,
        PlanningPass pass) {}
