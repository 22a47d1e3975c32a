package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TaskState;

/** The one-line summary of a term for the log: counts of jobs, machines and running tasks at the time of construction. */
final class TermSummary {
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private int reconciledMachines;
    private int schedulableMachines;
    private int bootingMachines;
    private int replicas;
    private int machinesWithReplicas;
    private Resources capacity = Resources.NONE;
    private Resources used = Resources.NONE;
    private long spotCpus;
    private long runningCpus;
    private int pendingTasks;
    private int unreconciledJobs;
    private int quarantinedJobs;
    private int jobsExcludedFromMachines;
    private int fullLedgers;

    TermSummary(Fleet fleet, JobLedgers ledgers, Settings settings, long nowMicros) {
        this.fleet = fleet;
        this.ledgers = ledgers;
        for (Machine machine : fleet.machines()) {
            count(machine, machine.isSchedulable(nowMicros, settings));
        }
        for (Job job : ledgers.jobs()) {
            count(job);
            jobsExcludedFromMachines += job.failedMachines.excludesAny(nowMicros) ? 1 : 0;
        }
    }

    private void count(Machine machine, boolean isSchedulable) {
        reconciledMachines += machine.isReconciled ? 1 : 0;
        bootingMachines += machine.lastHeartbeatMicros < 0 ? 1 : 0;
        if (isSchedulable) {
            schedulableMachines++;
            capacity = capacity.plus(machine.capacity());
            used = used.plus(machine.used);
            spotCpus += machine.isSpot ? machine.capacity().cpus() : 0;
        }
        int replicasBefore = replicas;
        for (Placement placement : machine.placements) {
            replicas += placement.job.spec.kind() == JobKind.SERVICE ? 1 : 0;
            if (placement.phase == Placement.Phase.REPORTED && placement.state == TaskState.RUNNING) {
                runningCpus += placement.job.spec.taskResources().cpus();
            }
        }
        machinesWithReplicas += replicas > replicasBefore ? 1 : 0;
    }

    private void count(Job job) {
        fullLedgers += ledgers.isMachineListFull(job) ? 1 : 0;
        quarantinedJobs += job.quarantined ? 1 : 0;
        pendingTasks += job.pendingCount();
        unreconciledJobs += job.hasUnreconciledMachines() ? 1 : 0;
    }

    /**
     * Returns the log line, with CPUs rounded down to whole numbers.
     *
     * @param waitingJobs number of jobs that wait for their dependencies
     * @param slowMachinesFound number of times that a machine was found slow in this term
     */
    String line(
            int waitingJobs,
            PlacementPlanner planner,
            int slowMachinesFound,
            ProvisioningRequests provisioningRequests) {
        return "jobs=" + ledgers.jobs().size() + " awaiting=" + waitingJobs + " waiting=" + pendingTasks + " unsettled="
                + unreconciledJobs + " machines=" + fleet.machines().size() + " confirmed=" + reconciledMachines
                + " usable=" + schedulableMachines + " cpus=" + used.cpus() / 1000 + "/" + capacity.cpus() / 1000
                + " running=" + runningCpus / 1000 + " spot=" + spotCpus / 1000 + " booting=" + bootingMachines
                + " replicas=" + replicas + " serving=" + machinesWithReplicas + " looked=" + planner.machinesExamined()
                + " cut=" + planner.truncatedPlans() + " evicted=" + planner.evictionCounts() + " slow="
                + slowMachinesFound
                + " suspect=" + quarantinedJobs + " full=" + fullLedgers + " bookings="
                + provisioningRequests.requests.size() + " excluded=" + jobsExcludedFromMachines;
    }
}
