package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import java.util.List;

/**
 * Decides which pending tasks run on which machines. The rule of the design: a machine with enough free capacity that
 * has the image, else the machine with the most free capacity. Collaborators handle what is specific to gangs, services
 * and arrays, and quotas and preemption.
 *
 * <p>Invariant: jobs get capacity in the order of {@link JobQueue}, and recorded negative results ({@link
 * UnschedulableClasses}) are discarded whenever freed capacity or changed usage may make them outdated.
 */
class PlacementPlanner implements PlacementListener {
    private final Settings settings;
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final JobQueue queue;
    private final PlanningPass pass;
    private final TeamQuota quota;
    private final MachineSelection selection;
    private final PreemptionPolicy preemptionPolicy;
    private final PreemptionExecutor preemptionExecutor;
    private final GangPlacement gangs;
    private final ReplicaPlacement replicas;
    private final ArrayPlacement arrays;
    private final ArrayPreemption arrayPreemption;
    private final MachineRefill machineRefill;
    /** Classes of jobs that were found not to fit in the current plan. */
    final UnschedulableClasses unschedulable = new UnschedulableClasses();

    private QueueSnapshot lastQueue = QueueSnapshot.NONE;
    private CandidateMachines candidateMachines;

    PlacementPlanner(
            PlacementActions scheduler,
            Settings settings,
            Fleet fleet,
            JobLedgers ledgers,
            RuntimeEstimator runtimeEstimator) {
        this.settings = settings;
        this.fleet = fleet;
        this.ledgers = ledgers;
        this.queue = new JobQueue(settings, fleet, ledgers, runtimeEstimator);
        this.pass = new PlanningPass(settings.cores());
        this.quota = new TeamQuota(scheduler, settings, ledgers);
        this.selection = new MachineSelection(scheduler, settings, fleet);
        this.preemptionPolicy = new PreemptionPolicy(scheduler, settings, ledgers);
        Preemption preemption = new Preemption(settings, scheduler::teamUsage);
        this.preemptionExecutor = new PreemptionExecutor(scheduler, selection, preemption);
        PlanningContext context =
                new PlanningContext(scheduler, quota, selection, preemption, preemptionExecutor, unschedulable, pass);
        SingleTaskSelection singleTasks = new SingleTaskSelection(context);
        this.gangs = new GangPlacement(context, singleTasks);
        this.replicas = new ReplicaPlacement(context, singleTasks);
        this.arrays = new ArrayPlacement(context);
        this.arrayPreemption = new ArrayPreemption(context, preemptionPolicy);
        this.machineRefill = new MachineRefill(scheduler, settings, ledgers, quota);
    }

    /** Returns whether tasks of the job may be started now, considering only the state of the job itself. */
    boolean isStartable(Job job, long nowMicros) {
        return JobQueue.isStartable(job, nowMicros);
    }

    /**
     * Places pending tasks on all machines. Until the next plan, {@link #refill} uses the order of the queue that this
     * plan determined.
     */
    void plan(long nowMicros) {
        lastQueue = QueueSnapshot.of(queue.order(nowMicros), nowMicros);
        quota.refreshUnreconciledUsage();
        preemptionPolicy.refresh();
        if (lastQueue.isEmpty()) {
            return;
        }
        replicas.beginPlan(ledgers.jobs());
        unschedulable.clear();
        arrays.beginPlan(lastQueue, nowMicros);
        pass.beginPlan(machinesExamined());
        for (JobQueue.QueuedJob queued : lastQueue.jobs()) {
            if (isStartable(queued.job(), nowMicros) && pass.isPending(queued.job())) {
                if (pass.hasReachedLimit(machinesExamined())) {
                    pass.truncatePlan();
                    return;
                }
                placeJob(queued, nowMicros);
                if (!mayHaveMoreTasks(queued.job())) {
                    pass.markVisited(queued.job());
                }
                if (pass.hasPlacedMaxTasks()) {
                    pass.truncatePlan();
                    return;
                }
            }
        }
        pass.completePass();
    }

    /** Returns whether the placement of the job's tasks was interrupted, which is never done to a gang. */
    private boolean mayHaveMoreTasks(Job job) {
        return pass.hasPlacedMaxTasks() && job.spec.kind() != JobKind.GANG && job.placeableCount() > 0;
    }

    private void placeJob(JobQueue.QueuedJob queued, long nowMicros) {
        boolean mayPreempt = preemptionPolicy.mayPreempt(queued, nowMicros);
        switch (queued.job().spec.kind()) {
            case GANG ->
                gangs.place(
                        queued,
                        mayPreempt ? CapacityRequest.Source.SAME_PRIORITY : CapacityRequest.Source.FREE,
                        nowMicros);
            case SERVICE -> replicas.place(queued, nowMicros);
            case ARRAY -> {
                arrays.place(queued.job(), nowMicros);
                arrays.excludeFilledMachines(lastQueue);
                if (mayPreempt) {
                    arrayPreemption.placeIfDue(queued, nowMicros);
                }
            }
        }
    }

    /** Places tasks of the next jobs in the queue on one machine that has newly freed capacity. */
    void refill(Machine machine, long nowMicros) {
        machineRefill.refill(lastQueue, machine, nowMicros);
    }

    /** Records that a task was placed on the machine. */
    @Override
    public void taskPlaced(Machine machine) {
        pass.taskPlaced();
        arrays.taskPlaced(lastQueue, machine);
        unschedulable.usageChanged();
    }

    /** Records that capacity was freed on a machine, so that tasks which did not fit may fit now. */
    @Override
    public void capacityFreed() {
        unschedulable.capacityFreed();
    }

    /** Records that a placement was requested to stop, so that work which could not be preempted may be preemptible now. */
    @Override
    public void usageChanged() {
        unschedulable.usageChanged();
    }

    /** Returns the queue that determines in which order jobs get capacity. */
    JobQueue queue() {
        return queue;
    }

    /** Returns the jobs that had pending tasks at the last plan, in queue order. */
    List<JobQueue.QueuedJob> order() {
        return lastQueue.jobs();
    }

    /**
     * Returns how many tasks of a job the limit of its team allows.
     *
     * @param job the job that the tasks belong to
     * @param count the number of tasks requested
     * @param alsoPlanned resources planned for the team in addition to its current usage
     * @return at most {@code count}; for a gang either {@code count} or 0
     */
    int tasksWithinLimit(Job job, int count, Resources alsoPlanned) {
        return quota.tasksWithinLimit(job, count, alsoPlanned);
    }

    /**
     * Begins a batch of ledger writes. Candidate machines of its jobs are chosen from the machines that are schedulable
     * now.
     */
    void beginWriteBatch(long nowMicros) {
        candidateMachines =
                new CandidateMachines(fleet.machines(), machine -> machine.isSchedulable(nowMicros, settings));
    }

    /**
     * Returns machines on which pending tasks may be placed later. If the ledger names a machine in advance, a start
     * there is sent in the response to the heartbeat that reported the free capacity, instead of waiting for a ledger
     * write first.
     *
     * @param job the job whose ledger is written
     * @param limit maximum number of names returned
     * @param nowMicros current time on the steady clock
     * @return machine names; empty unless the job is an array with pending tasks that is not quarantined
     */
    List<String> candidateMachines(Job job, int limit, long nowMicros) {
        if (job.spec.kind() != JobKind.ARRAY || job.pendingCount() == 0 || job.quarantined) {
            return List.of();
        }
        return candidateMachines.machines(
                machine -> MachineSelection.isFeasible(job, machine, nowMicros),
                machine -> job.ledgerMachines.contains(machine.name),
                limit);
    }

    /** Returns the number of machines examined in this term so far, by the planner and by the free capacity index. */
    long machinesExamined() {
        return selection.machinesExamined();
    }

    /** Returns the number of plans of this term that were truncated and continued in the next tick, for the log. */
    int truncatedPlans() {
        return pass.truncations();
    }

    /** Returns the number of attempts evicted in this term, for the log: for services, and for gangs and arrays. */
    String evictionCounts() {
        return preemptionExecutor.evictionCounts();
    }
}
