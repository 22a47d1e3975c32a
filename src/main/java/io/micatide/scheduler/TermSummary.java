package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TaskState;

/** What a leader tells of its term in one line of the log: counts of jobs, machines and what runs on them, at one moment. */
final class TermSummary {
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private int confirmed;
    private int usable;
    private int booting;
    private int replicas;
    private int serving;
    private Resources size = Resources.NONE;
    private Resources used = Resources.NONE;
    private long spotCpus;
    private long runningCpus;
    private int waiting;
    private int unsettled;
    private int suspect;
    private int full;

    TermSummary(Fleet fleet, JobLedgers ledgers, Settings settings, long nowMicros) {
        this.fleet = fleet;
        this.ledgers = ledgers;
        for (Machine machine : fleet.machines()) {
            count(machine, machine.isSchedulable(nowMicros, settings));
        }
        for (Job job : ledgers.jobs()) {
            count(job);
        }
    }

    private void count(Machine machine, boolean isUsable) {
        confirmed += machine.reconciled ? 1 : 0;
        booting += machine.lastAnsweredMicros < 0 ? 1 : 0;
        if (isUsable) {
            usable++;
            size = size.plus(machine.capacity());
            used = used.plus(machine.used);
            spotCpus += machine.spot ? machine.capacity().cpus() : 0;
        }
        int before = replicas;
        for (Placement placement : machine.placements) {
            replicas += placement.job.spec.kind() == JobKind.SERVICE ? 1 : 0;
            if (placement.phase == Placement.Phase.REPORTED && placement.state == TaskState.RUNNING) {
                runningCpus += placement.job.spec.taskResources().cpus();
            }
        }
        serving += replicas > before ? 1 : 0;
    }

    private void count(Job job) {
        full += ledgers.isMachineListFull(job) ? 1 : 0;
        suspect += job.quarantined ? 1 : 0;
        waiting += job.pendingCount();
        unsettled += job.hasUnreconciledMachines() ? 1 : 0;
    }

    /**
     * The line; processors are whole ones.
     *
     * @param awaiting jobs that wait for others
     * @param slowFound machines that were found slow in this term
     */
    String line(int awaiting, PlacementPlanner planner, int slowFound, ProvisioningRequests rentals) {
        return "jobs=" + ledgers.jobs().size()
                + " awaiting=" + awaiting
                + " waiting=" + waiting
                + " unsettled=" + unsettled
                + " machines=" + fleet.machines().size()
                + " confirmed=" + confirmed
                + " usable=" + usable
                + " cpus=" + used.cpus() / 1000 + "/" + size.cpus() / 1000
                + " running=" + runningCpus / 1000
                + " spot=" + spotCpus / 1000
                + " booting=" + booting
                + " replicas=" + replicas
                + " serving=" + serving
                + " looked=" + planner.machinesExamined()
                + " cut=" + planner.truncatedPlans()
                + " evicted=" + planner.evictionCounts()
                + " slow=" + slowFound
                + " suspect=" + suspect
                + " full=" + full
                + " bookings=" + rentals.requests.size();
    }
}
