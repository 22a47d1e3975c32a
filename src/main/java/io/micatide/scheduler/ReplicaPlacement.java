package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Resources;

/**
 * Places the replicas of services. Replicas are colocated on few machines: they run for minutes, and replicas spread
 * over the fleet each kept a machine that would otherwise have been returned.
 *
 * <p>Invariant: a replica is colocated with others only on a machine that has fewer replicas than the limit per
 * machine.
 */
final class ReplicaPlacement {
    /**
     * Maximum share of all replicas on one machine, since a machine may hang. On a fleet of 40 machines one large
     * machine held most replicas, and only a share of 0.93 were up in the worst 30 s.
     */
    private static final double MAX_SHARE_PER_MACHINE = 0.05;

    private static final int MIN_LIMIT_PER_MACHINE = 2;
    /** Maximum work lost to colocate a replica with others although another machine has free capacity. */
    private static final long MAX_LOST_WORK_FOR_COLOCATION_MICROS = 10 * Micros.SECOND;

    private final PlacementActions scheduler;
    private final TeamQuota quota;
    private final MachineSelection selection;
    private final Preemption preemption;
    private final PreemptionExecutor preemptionExecutor;
    private final SingleTaskSelection singleTasks;
    private final PlanningPass pass;
    private int maxReplicasPerMachine = MIN_LIMIT_PER_MACHINE;

    ReplicaPlacement(PlanningContext context, SingleTaskSelection singleTasks) {
        this.scheduler = context.scheduler();
        this.quota = context.quota();
        this.selection = context.selection();
        this.preemption = context.preemption();
        this.preemptionExecutor = context.preemptionExecutor();
        this.singleTasks = singleTasks;
        this.pass = context.pass();
    }

    /** Begins a plan: computes the limit of replicas per machine from the current number of replicas. */
    void beginPlan(Iterable<Job> jobs) {
        int replicas = 0;
        for (Job job : jobs) {
            if (job.spec.kind() == JobKind.SERVICE) {
                replicas += job.liveAttempts.size();
            }
        }
        maxReplicasPerMachine = Math.max(MIN_LIMIT_PER_MACHINE, (int) (MAX_SHARE_PER_MACHINE * replicas));
    }

    /** Places as many missing replicas of the service as there is capacity for. */
    void place(JobQueue.QueuedJob queued, long nowMicros) {
        Job job = queued.job();
        if (!mayPlaceReplica(job)) {
            return;
        }
        JobCandidates candidates =
                new JobCandidates(job, selection.candidates(job, CapacityRequest.Source.SAME_PRIORITY, nowMicros));
        for (int missing = queued.pendingTasks(); missing > 0 && mayPlaceReplica(job); missing--) {
            int allowed = quota.tasksWithinLimit(job, missing, Resources.NONE);
            int position = findMachine(candidates, allowed, nowMicros);
            if (position < 0) {
                return;
            }
            scheduler.placeTask(job, job.nextPendingTask(), candidates.machine(position), nowMicros);
            candidates.machineChanged(position);
        }
    }

    private boolean mayPlaceReplica(Job job) {
        return job.placeableCount() > 0 && quota.allowsTask(job) && !pass.hasPlacedMaxTasks();
    }

    private int findMachine(JobCandidates candidates, int allowed, long nowMicros) {
        int position = findMachineWithReplicas(candidates, allowed, nowMicros);
        return position >= 0 ? position : singleTasks.findOrPreempt(candidates, allowed, nowMicros);
    }

    /**
     * Returns the position of the machine with the image and the highest colocation score, or -1; preempts finite work there
     * if needed.
     */
    private int findMachineWithReplicas(JobCandidates candidates, int allowed, long nowMicros) {
        Job job = candidates.job();
        int best = candidates.bestColocation(machine -> colocationRank(job, machine, nowMicros));
        if (best >= 0 && !fits(job, candidates.machine(best))) {
            int tasks = Preemption.tasksPerEviction(allowed, candidates.size());
            preemptionExecutor.freeCapacity(candidates, best, tasks, nowMicros);
        }
        return best;
    }

    /** Returns a lower rank the higher the colocation score of the machine is. */
    private long colocationRank(Job job, Machine machine, long nowMicros) {
        if (!MachineSelection.hasImage(machine, job)) {
            return RankedMachines.EXCLUDED;
        }
        long score = colocationScore(job, machine);
        return score > 0 && (fits(job, machine) || isCheapToPreempt(job, machine, nowMicros))
                ? -score
                : RankedMachines.EXCLUDED;
    }

    /**
     * Returns the score of colocating a replica with those on the machine; 0 if it has none, too many or too little
     * capacity.
     */
    private long colocationScore(Job job, Machine machine) {
        Resources request = job.spec.taskResources();
        Resources usedByReplicas = machine.usedByReplicas();
        int replicas = machine.replicaCount();
        if (replicas == 0
                || replicas >= maxReplicasPerMachine
                || !request.plus(usedByReplicas).fitsIn(machine.capacity())) {
            return 0;
        }
        return usedByReplicas.cpus() + (fits(job, machine) ? 2 * request.cpus() : 0);
    }

    private static boolean fits(Job job, Machine machine) {
        return job.spec.taskResources().fitsIn(machine.freeCapacity());
    }

    private boolean isCheapToPreempt(Job job, Machine machine, long nowMicros) {
        return preemption.lostWork(job, machine, Preemption.Scope.SAME_PRIORITY, nowMicros)
                < MAX_LOST_WORK_FOR_COLOCATION_MICROS;
    }
}
