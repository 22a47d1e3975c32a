package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Selects work that may be preempted for a job, and estimates how much work is lost. {@link PreemptionExecutor} carries
 * out the preemption.
 *
 * <p>Invariant: the estimate of what a machine could free for work of a higher priority is cached with the machine
 * until something on the machine changes, and always equals a new computation. Where work of the same priority may be
 * preempted, the result depends on the usage of the teams and is computed each time.
 */
final class Preemption {
    /** The lost work where preemption frees too little capacity. */
    static final long IMPOSSIBLE = Long.MAX_VALUE;
    /** Number of evictions after which all tasks of a large job should be placed, if there are fewer machines. */
    private static final int EVICTIONS_PER_JOB = 256;
    /** Number of evictions on each machine after which all tasks of a large job should be placed. */
    private static final int EVICTIONS_PER_MACHINE = 4;

    /**
     * Orders placements by how much work stopping them loses: unsent placements first, then the most recently created.
     */
    private static final Comparator<Placement> LEAST_LOST_WORK_FIRST = Comparator.comparing(
                    (Placement placement) -> !placement.isUnsent())
            .thenComparing(placement -> -placement.createdMicros);

    private final Settings settings;
    private final Function<String, Resources> teamUsage;

    /** Which work may be preempted. */
    enum Scope {
        /** Work of lower priorities. */
        LOWER_PRIORITY(CapacityRequest.Source.LOWER_PRIORITY),
        /** Also arrays of the same priority whose teams use more than their guarantees. */
        SAME_PRIORITY(CapacityRequest.Source.SAME_PRIORITY);

        private final CapacityRequest.Source capacitySource;

        Scope(CapacityRequest.Source capacitySource) {
            this.capacitySource = capacitySource;
        }

        /** Returns the capacity to request when searching for machines on which work of this scope can be preempted. */
        CapacityRequest.Source capacitySource() {
            return capacitySource;
        }
    }

    /** The tasks that an estimate applies to. */
    private record PreemptionRequest(Resources taskResources, Priority priority) {}

    /**
     * What a machine could free for one task by preempting only work of lower priorities.
     *
     * @param isPossible whether enough capacity can be freed
     * @param sentVictimCount number of victims that were sent to the machine
     * @param createdSumMicros sum of the creation times of these victims
     * @param tasksFitting number of tasks that fit if everything preemptible is preempted
     */
    private record Estimate(boolean isPossible, int sentVictimCount, long createdSumMicros, long tasksFitting) {
        long lostWorkMicros(long nowMicros) {
            return isPossible ? sentVictimCount * (Micros.SECOND + nowMicros) - createdSumMicros : IMPOSSIBLE;
        }
    }

    /** The cached estimates of one machine, cleared when something on the machine changes. */
    static final class Estimates {
        private final Map<PreemptionRequest, Estimate> byRequest = new HashMap<>();
        /** The most recent request, which is likely to be the next one as well, and its estimate. */
        private PreemptionRequest lastRequest;

        private Estimate lastEstimate;
        /** Whether the machine has arrays that are not stopping, by ordinal of their priority; null if not known. */
        private boolean[] hasArraysOfPriority;

        /** Discards the estimates, since something on the machine has changed. */
        void clear() {
            byRequest.clear();
            lastRequest = null;
            hasArraysOfPriority = null;
        }
    }

    /** @param teamUsage returns the current usage of the team with the given name */
    Preemption(Settings settings, Function<String, Resources> teamUsage) {
        this.settings = settings;
        this.teamUsage = teamUsage;
    }

    /** Returns the work lost by stopping the victims, in microseconds. */
    private static long lostWork(List<Placement> victims, long nowMicros) {
        long lossMicros = 0;
        for (Placement victim : victims) {
            if (!victim.isUnsent()) {
                lossMicros += Micros.SECOND + nowMicros - victim.createdMicros;
            }
        }
        return lossMicros;
    }

    /**
     * Returns the work lost by freeing capacity on the machine for one task of the job.
     *
     * @param scope which work may be preempted
     * @return microseconds of work, or {@link #IMPOSSIBLE}
     */
    long lostWork(Job job, Machine machine, Scope scope, long nowMicros) {
        if (scope == Scope.SAME_PRIORITY && hasArraysOfSamePriority(job, machine)) {
            return computeLostWork(job, machine, scope, nowMicros);
        }
        long lossMicros = estimate(job, machine).lostWorkMicros(nowMicros);
        assert lossMicros == computeLostWork(job, machine, scope, nowMicros) : "outdated estimate of " + machine.name;
        return lossMicros;
    }

    private long computeLostWork(Job job, Machine machine, Scope scope, long nowMicros) {
        List<Placement> victims = selectVictims(job, machine, scope, 1);
        return victims == null ? IMPOSSIBLE : lostWork(victims, nowMicros);
    }

    /** Returns how many tasks of the job fit on the machine once all that was told to end immediately has ended. */
    static long tasksFittingAfterStops(Job job, Machine machine) {
        Resources available = machine.freeCapacity();
        for (Placement placement : machine.placements) {
            if (isEndingImmediately(placement)) {
                available = available.plus(placement.job.spec.taskResources());
            }
        }
        return job.spec.taskResources().timesFittingIn(available);
    }

    private static boolean isEndingImmediately(Placement placement) {
        return placement.isStopping() && placement.stopGraceMicros == 0;
    }

    /** Returns how many tasks of a gang fit on the machine if everything is preempted that may be preempted for it. */
    long tasksFittingAfterPreemption(Job job, Machine machine) {
        if (hasArraysOfSamePriority(job, machine)) {
            return countTasks(job, machine);
        }
        long tasks = estimate(job, machine).tasksFitting();
        assert tasks == countTasks(job, machine) : "outdated estimate of " + machine.name;
        return tasks;
    }

    private static long countTasks(Job job, Machine machine) {
        Resources available = machine.freeCapacity();
        for (Placement placement : machine.placements) {
            if (!placement.isStopping() && isPreemptible(placement, job)) {
                available = available.plus(placement.job.spec.taskResources());
            }
        }
        return job.spec.taskResources().timesFittingIn(available);
    }

    private Estimate estimate(Job job, Machine machine) {
        Estimates estimates = machine.preemptionEstimates;
        PreemptionRequest last = estimates.lastRequest;
        if (last != null
                && last.priority() == job.priority()
                && last.taskResources().equals(job.spec.taskResources())) {
            return estimates.lastEstimate;
        }

        PreemptionRequest request = new PreemptionRequest(job.spec.taskResources(), job.priority());
        estimates.lastEstimate = estimates.byRequest.computeIfAbsent(request, key -> computeEstimate(job, machine));
        estimates.lastRequest = request;
        return estimates.lastEstimate;
    }

    private Estimate computeEstimate(Job job, Machine machine) {
        long tasks = countTasks(job, machine);
        List<Placement> victims = selectVictims(job, machine, Scope.LOWER_PRIORITY, 1);
        if (victims == null) {
            return new Estimate(false, 0, 0, tasks);
        }
        int sent = 0;
        long createdSumMicros = 0;
        for (Placement victim : victims) {
            if (!victim.isUnsent()) {
                sent++;
                createdSumMicros += victim.createdMicros;
            }
        }
        return new Estimate(true, sent, createdSumMicros, tasks);
    }

    /** Returns whether the machine has arrays of the job's priority, including arrays of the job's own team. */
    private static boolean hasArraysOfSamePriority(Job job, Machine machine) {
        Estimates estimates = machine.preemptionEstimates;
        if (estimates.hasArraysOfPriority == null) {
            estimates.hasArraysOfPriority = new boolean[Priority.values().length];
            for (Placement placement : machine.placements) {
                if (!placement.isStopping() && placement.job.spec.kind() == JobKind.ARRAY) {
                    estimates.hasArraysOfPriority[placement.job.priority().ordinal()] = true;
                }
            }
        }
        return estimates.hasArraysOfPriority[job.priority().ordinal()];
    }

    /**
     * Selects work that ends immediately when it is stopped, so that a start in the same response finds the capacity
     * free.
     *
     * @param scope which work may be preempted
     * @param tasks number of tasks of the job that should fit
     * @return victims in the order of least lost work, only until the tasks fit, or as many of them as can; empty if there
     *     is enough free capacity already; null if preempting everything would not be enough for one task
     */
    List<Placement> selectVictims(Job job, Machine machine, Scope scope, int tasks) {
        Resources request = job.spec.taskResources().times(tasks);
        Resources available = machine.freeCapacity();
        List<Placement> preemptible = new ArrayList<>();
        for (Placement placement : machine.placements) {
            if (isEndingImmediately(placement)) {
                // This capacity is being freed for tasks that have been placed here since. Unless it counts as
                // available, each further task would preempt more work than needed.
                available = available.plus(placement.job.spec.taskResources());
            } else if (!placement.isStopping() && isPreemptible(placement, job)) {
                preemptible.add(placement);
            }
        }
        if (request.fitsIn(available)) {
            return List.of();
        }
        preemptible.sort(LEAST_LOST_WORK_FIRST);
        List<Placement> victims = new ArrayList<>();
        Map<String, Resources> freedByTeam = new HashMap<>();
        for (Placement placement : preemptible) {
            if (request.fitsIn(available)) {
                break;
            }
            if (isInScope(placement, job, scope, freedByTeam)) {
                victims.add(placement);
                available = available.plus(placement.job.spec.taskResources());
                freedByTeam.merge(placement.job.spec.team(), placement.job.spec.taskResources(), Resources::plus);
            }
        }
        if (request.fitsIn(available)) {
            return victims;
        }
        int fitting = (int) job.spec.taskResources().timesFittingIn(available);
        // With fewer tasks, fewer victims are needed, which are the first of these.
        return fitting == 0 ? null : selectVictims(job, machine, scope, fitting);
    }

    /**
     * Returns for how many tasks capacity is freed on a machine at once. Selecting victims takes time for all that runs on
     * the machine, so for a job with many times more tasks than machines it isn't repeated for each task.
     *
     * @param missing number of tasks to be placed
     * @param machines number of machines on which they may be placed
     */
    static int tasksPerEviction(int missing, int machines) {
        return Math.max(1, missing / Math.max(EVICTIONS_PER_JOB, EVICTIONS_PER_MACHINE * machines));
    }

    /**
     * Returns whether the job may ever preempt the placement. Gangs and work with checkpoints cannot end immediately.
     */
    private static boolean isPreemptible(Placement placement, Job job) {
        JobSpec running = placement.job.spec;
        if (running.kind() == JobKind.GANG || running.checkpointIntervalMicros() > 0) {
            return false;
        }
        return job.priority().isAbove(placement.job.priority()) || isOtherTeamsArrayOfSamePriority(placement, job);
    }

    private static boolean isOtherTeamsArrayOfSamePriority(Placement placement, Job job) {
        JobSpec running = placement.job.spec;
        return !running.team().equals(job.spec.team())
                && running.kind() == JobKind.ARRAY
                && job.priority() == placement.job.priority();
    }

    /** @param freedByTeam resources used by the victims selected so far, by team */
    private boolean isInScope(Placement placement, Job job, Scope scope, Map<String, Resources> freedByTeam) {
        return placement.job.priority() != job.priority()
                || (scope == Scope.SAME_PRIORITY && isOverGuarantee(placement, freedByTeam));
    }

    private boolean isOverGuarantee(Placement placement, Map<String, Resources> freedByTeam) {
        Team team = settings.teams().get(placement.job.spec.team());
        if (team == null) {
            return true;
        }
        Resources usage = teamUsage.apply(team.name()).minus(freedByTeam.getOrDefault(team.name(), Resources.NONE));
        return !team.isWithinGuarantee(usage);
    }
}
