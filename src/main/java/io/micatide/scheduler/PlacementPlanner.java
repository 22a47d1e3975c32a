package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import java.util.List;

/**
 * The pass over the queue that decides what runs where. The rule is the design's: a fitting machine that has the image,
 * else the fitting one with the most free capacity. What is particular to gangs, services and arrays, and quotas and
 * preemption, are the concern of its collaborators.
 *
 * <p>Invariant: jobs get capacity in the order of {@link JobQueue}; what was found not to fit is forgotten whenever
 * capacity is freed or usage changes.
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
    /** What was found not to fit in the present plan. */
    final UnschedulableClasses unschedulable = new UnschedulableClasses();

    private QueueSnapshot lastQueue = QueueSnapshot.NONE;
    private CandidateMachines candidateMachines;

    PlacementPlanner(
            PlacementActions scheduler, Settings settings, Fleet fleet, JobLedgers ledgers, RuntimeEstimator runtimes) {
        this.settings = settings;
        this.fleet = fleet;
        this.ledgers = ledgers;
        this.queue = new JobQueue(settings, fleet, ledgers, runtimes);
        this.pass = new PlanningPass(settings.cores());
        this.quota = new TeamQuota(scheduler, settings, ledgers);
        this.selection = new MachineSelection(scheduler, settings, fleet);
        this.preemptionPolicy = new PreemptionPolicy(scheduler, settings, ledgers);
        Preemption preemption = new Preemption(settings, scheduler::teamUsage);
        this.preemptionExecutor = new PreemptionExecutor(scheduler, selection, preemption);
        PlanningContext context =
                new PlanningContext(scheduler, quota, selection, preemption, preemptionExecutor, unschedulable);
        SingleTaskSelection singleTasks = new SingleTaskSelection(context);
        this.gangs = new GangPlacement(context, singleTasks);
        this.replicas = new ReplicaPlacement(context, singleTasks);
        this.arrays = new ArrayPlacement(context);
        this.arrayPreemption = new ArrayPreemption(context, preemptionPolicy);
        this.machineRefill = new MachineRefill(scheduler, settings, ledgers, quota);
    }

    /** Whether tasks of the job may be started now, as far as the job itself goes. */
    boolean isStartable(Job job, long nowMicros) {
        return JobQueue.isStartable(job, nowMicros);
    }

    /**
     * Places pending tasks on all machines. The order of the queue that it finds is what {@link #refill} goes by until the
     * next plan.
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
                pass.markVisited(queued.job());
            }
        }
        pass.completePass();
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

    /** Gives capacity that came free on one machine to the next in the queue. */
    void refill(Machine machine, long nowMicros) {
        machineRefill.refill(lastQueue, machine, nowMicros);
    }

    /** A task was placed on the machine. */
    @Override
    public void taskPlaced(Machine machine) {
        arrays.taskPlaced(lastQueue, machine);
        unschedulable.usageChanged();
    }

    /** Tasks were taken from a machine: what did not fit may fit now. */
    @Override
    public void capacityFreed() {
        unschedulable.capacityFreed();
    }

    /** Something was placed or stopped: what could not be preempted may be preempted now. */
    @Override
    public void usageChanged() {
        unschedulable.usageChanged();
    }

    /** In which order jobs get capacity. */
    JobQueue queue() {
        return queue;
    }

    /** The jobs with pending tasks as of the last plan, in their order. */
    List<JobQueue.QueuedJob> order() {
        return lastQueue.jobs();
    }

    /**
     * How many of a job's tasks its team's limit allows.
     *
     * @param job whose tasks they are
     * @param count tasks that are asked for
     * @param alsoPlanned what the team is to get besides what it uses
     * @return at most {@code count}; of a gang all or none
     */
    int tasksWithinLimit(Job job, int count, Resources alsoPlanned) {
        return quota.tasksWithinLimit(job, count, alsoPlanned);
    }

    /** A batch of ledger writes begins: candidate machines are named for its jobs as they are now. */
    void beginWriteBatch(long nowMicros) {
        candidateMachines =
                new CandidateMachines(fleet.machines(), machine -> machine.isSchedulable(nowMicros, settings));
    }

    /**
     * Machines on which pending tasks may be placed later. With the ledger naming them before, such a start goes out with
     * the response to the heartbeat that told of free capacity, instead of waiting for a ledger write first.
     *
     * @param limit how many names are returned at most
     * @return names; empty for all but arrays with pending tasks
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

    /** Machines examined so far in this term, here and in the index. */
    long machinesExamined() {
        return selection.machinesExamined();
    }

    /** Plans of this term that went on in the next tick, for the log. */
    int truncatedPlans() {
        return pass.truncations();
    }

    /** Attempts that were evicted in this term, for the log: for services, and for gangs and arrays. */
    String evictionCounts() {
        return preemptionExecutor.evictionCounts();
    }
}
