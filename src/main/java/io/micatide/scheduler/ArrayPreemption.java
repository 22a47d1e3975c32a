package io.micatide.scheduler;

import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Preempts other work for arrays that found no free capacity, on machines with the image first and then by least lost
 * work.
 *
 * <p>Invariant: for each array, work is preempted at most once per {@link #INTERVAL_MICROS}. Most of a job is served by
 * capacity that becomes free anyway, so an array of normal priority is given its capacity in parts: taking all of it at
 * once lost one start in ten, and some tasks were started fifteen times.
 */
final class ArrayPreemption {
    private static final long INTERVAL_MICROS = 500 * Micros.MILLISECOND;

    private static final Comparator<Option> IMAGE_THEN_LEAST_LOSS =
            Comparator.comparing((Option option) -> !option.hasImage()).thenComparing(Option::lossMicros);

    private final PlanningContext context;
    private final PreemptionPolicy policy;

    /**
     * A machine on which capacity for a task can be freed.
     *
     * @param machine the machine
     * @param hasImage whether the machine has the image or is fetching it for the job
     * @param lossMicros work lost by freeing the capacity, in microseconds
     */
    private record Option(Machine machine, boolean hasImage, long lossMicros) {}

    ArrayPreemption(PlanningContext context, PreemptionPolicy policy) {
        this.context = context;
        this.policy = policy;
    }

    /** Preempts work for the array, unless that was done within the last interval or no work can be preempted. */
    void placeIfDue(JobQueue.QueuedJob queued, long nowMicros) {
        Job job = queued.job();
        if (job.pendingCount() > 0 && nowMicros >= job.nextPreemptionMicros && policy.isAnyWorkPreemptible(job)) {
            job.nextPreemptionMicros = nowMicros + INTERVAL_MICROS;
            if (!context.unschedulable().isPreemptionFutile(queued)) {
                place(queued, nowMicros);
            }
        }
    }

    private void place(JobQueue.QueuedJob queued, long nowMicros) {
        List<Option> options = rankedOptions(queued, nowMicros);
        int remaining = maxTasksAtOnce(queued.job(), nowMicros);
        int perMachine = Preemption.tasksPerEviction(remaining, options.size());
        int placed;
        do {
            placed = placeOnEachMachine(queued, options, perMachine, remaining, nowMicros);
            remaining -= placed;
        } while (placed > 0 && remaining > 0);
    }

    /** Places at most {@code limit} tasks, at most {@code perMachine} on each machine; returns how many it placed. */
    private int placeOnEachMachine(
            JobQueue.QueuedJob queued, List<Option> options, int perMachine, int limit, long nowMicros) {
        int placed = 0;
        for (Option option : options) {
            int tasks = context.quota()
                    .tasksWithinLimit(queued.job(), Math.min(perMachine, limit - placed), Resources.NONE);
            if (tasks == 0 || !mayPlaceTask(queued.job())) {
                break;
            }
            placed += preemptAndPlace(queued, option.machine(), tasks, nowMicros);
        }
        return placed;
    }

    /** Frees capacity for up to {@code limit} tasks and places them; returns how many it placed. */
    private int preemptAndPlace(JobQueue.QueuedJob queued, Machine machine, int limit, long nowMicros) {
        Job job = queued.job();
        if (!MachineSelection.allowsTask(job, machine)
                || !context.preemptionExecutor().freeCapacity(job, machine, scope(queued), limit, nowMicros)) {
            return 0;
        }
        long fitting = Math.min(limit, Preemption.tasksFittingAfterStops(job, machine));
        int placed = 0;
        while (placed < fitting && mayPlaceTask(job) && MachineSelection.allowsTask(job, machine)) {
            context.scheduler().placeTask(job, job.nextPendingTask(), machine, nowMicros);
            placed++;
        }
        return placed;
    }

    private boolean mayPlaceTask(Job job) {
        return job.pendingCount() > 0
                && context.quota().allowsTask(job)
                && !context.pass().hasPlacedMaxTasks();
    }

    private List<Option> rankedOptions(JobQueue.QueuedJob queued, long nowMicros) {
        Job job = queued.job();
        Preemption.Scope scope = scope(queued);
        List<Machine> feasible = context.selection().feasibleMachines(job, scope.capacitySource(), nowMicros);
        List<Machine> candidates = context.selection().recordableMachines(job, feasible, nowMicros);
        List<Option> options = new ArrayList<>();
        for (Machine machine : candidates) {
            long lossMicros = context.preemption().lostWork(job, machine, scope, nowMicros);
            if (lossMicros != Preemption.IMPOSSIBLE) {
                options.add(new Option(machine, MachineSelection.hasOrFetchesImage(machine, job), lossMicros));
            }
        }
        // The result applies to other jobs of the class only if it does not depend on this job's ledger and failures.
        if (options.isEmpty() && candidates.size() == feasible.size() && job.failedMachines.isEmpty()) {
            context.unschedulable().markPreemptionFutile(queued);
        }
        options.sort(IMAGE_THEN_LEAST_LOSS);
        return options;
    }

    /** Jobs within the guarantee of their team may also preempt work of other teams of the same priority. */
    private static Preemption.Scope scope(JobQueue.QueuedJob queued) {
        return queued.isGuaranteed() ? Preemption.Scope.SAME_PRIORITY : Preemption.Scope.LOWER_PRIORITY;
    }

    /**
     * Returns all pending tasks; at normal priority the share with which all are placed within 1.5 times the guarantee
     * wait after the job became ready.
     */
    private int maxTasksAtOnce(Job job, long nowMicros) {
        int pending = job.pendingCount();
        if (job.priority() != Priority.NORMAL) {
            return pending;
        }
        long remainingMicros = job.readyMicros + policy.guaranteeWaitMicros() * 3 / 2 - nowMicros;
        return (int) Math.ceil(pending * INTERVAL_MICROS / (double) Math.max(INTERVAL_MICROS, remainingMicros));
    }
}
