package io.micatide.scheduler;

import io.micatide.model.Settings;
import io.micatide.model.Tuning;

/**
 * Creates and holds the components of the scheduler of one term. Each component owns its state and depends only on components that are declared
 * before it; {@link Scheduler} calls them in the order that a message requires.
 */
final class SchedulerComponents {
    final Settings settings;
    final long fencingToken;
    final long termStartMicros;

    // ---- cluster state
    final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    final Fleet fleet = new Fleet();
    final JobLedgers ledgers;
    final PlacementTable placements;
    final DagInheritance dagInheritance;

    // ---- reconciliation of the cluster state with heartbeats and records
    final StartGuard startGuard;
    final FailoverProgress failoverProgress;
    final FailoverRecovery recovery;
    final Evictions evictions;
    final TaskOutcomes taskOutcomes;
    final HeartbeatReconciler heartbeatReconciler;
    final HeartbeatCommands heartbeatCommands;
    final JobOutcomes jobOutcomes = new JobOutcomes(runtimeEstimator);
    final JobReconciler jobReconciler;

    // ---- decisions, cloud calls and writes
    final PlacementPlanner planner;
    final ProvisioningRequests provisioningRequests;
    final MachineDeletions machineDeletions;
    final CloudRecords cloudRecords;
    final Autoscaler autoscaler;
    final WriteBatches writeBatches;

    /** Creates the planner of a term; tests replace it. */
    @FunctionalInterface
    interface PlannerFactory {
        PlacementPlanner create(
                PlacementActions placements,
                Settings settings,
                Fleet fleet,
                JobLedgers ledgers,
                RuntimeEstimator runtimeEstimator);
    }

    SchedulerComponents(
            Settings settings,
            Tuning tuning,
            ArrayTaskLimit arrayTaskLimit,
            long fencingToken,
            long nowMicros,
            PlannerFactory plannerFactory) {
        this.settings = settings;
        this.fencingToken = fencingToken;
        this.termStartMicros = nowMicros;
        this.ledgers = new JobLedgers(settings, fencingToken);
        this.placements = new PlacementTable(settings, fencingToken, ledgers, arrayTaskLimit);
        this.planner = plannerFactory.create(placements, settings, fleet, ledgers, runtimeEstimator);
        placements.setListener(planner);
        this.dagInheritance = new DagInheritance(ledgers, runtimeEstimator);

        ClusterState cluster = new ClusterState(settings, fencingToken, fleet, ledgers, placements);
        FailureAttribution failureAttribution = new FailureAttribution(runtimeEstimator);
        this.startGuard = new StartGuard(settings, nowMicros);
        this.failoverProgress = new FailoverProgress(nowMicros);
        this.recovery = new FailoverRecovery(cluster, failoverProgress);
        this.evictions = new Evictions(cluster, failureAttribution);
        this.taskOutcomes = new TaskOutcomes(cluster, failureAttribution, runtimeEstimator);
        this.heartbeatReconciler =
                new HeartbeatReconciler(cluster, recovery, failureAttribution, taskOutcomes, evictions);
        this.heartbeatCommands = new HeartbeatCommands(startGuard, failoverProgress);
        this.jobReconciler = new JobReconciler(cluster, dagInheritance, recovery, jobOutcomes);

        this.provisioningRequests = new ProvisioningRequests(settings, fencingToken);
        this.machineDeletions = new MachineDeletions(settings, fencingToken);
        this.cloudRecords = new CloudRecords(provisioningRequests, machineDeletions);
        this.autoscaler = new Autoscaler(settings, tuning, fleet, provisioningRequests, planner, machineDeletions);
        WriteBudget budget = new WriteBudget(settings, nowMicros);
        this.writeBatches = new WriteBatches(cluster, cloudRecords, planner, jobOutcomes, budget);
    }
}
