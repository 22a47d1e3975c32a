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
 * Which work may be preempted for which job, and what is lost by it. Only decides; {@link PreemptionExecutor} carries it out.
 *
 * <p>Invariant: what a machine could free for work of a higher priority is kept with the machine until something on it
 * changes, and equals what a new computation would give; where work of the same priority may be preempted, the teams' usage
 * decides, and it is computed anew each time.
 */
final class Preemption {
    /** The loss where preemption frees too little capacity. */
    static final long IMPOSSIBLE = Long.MAX_VALUE;

    /** Those first that lose the least: what was not sent yet, then what has run for the shortest time. */
    private static final Comparator<Placement> LEAST_LOSS_FIRST = Comparator.comparing(
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

        /** What counts as capacity when machines are looked for on which such work can be preempted. */
        CapacityRequest.Source capacitySource() {
            return capacitySource;
        }
    }

    /** Which tasks an estimate is for. */
    private record PreemptionRequest(Resources taskResources, Priority priority) {}

    /**
     * What a machine could free for one task by preempting work of lower priorities only.
     *
     *
     * @param isPossible whether it could at all
     * @param sentVictims attempts among the victims that were sent
     * @param createdSumMicros when these were created, summed up
     * @param tasksFitting how many such tasks fit if all that may be preempted is
     *
     */
    private record Estimate(boolean isPossible, int sentVictims, long createdSumMicros, long tasksFitting) {
        long lostWorkMicros(long nowMicros) {
            return isPossible ? sentVictims * (Micros.SECOND + nowMicros) - createdSumMicros : IMPOSSIBLE;
        }
    }

    /** The estimates of one machine; forgotten when something on it changes. */
    static final class Estimates {
        private final Map<PreemptionRequest, Estimate> byRequest = new HashMap<>();
        /** The request that was asked last, which is most likely the next one as well, and its estimate. */
        private PreemptionRequest lastRequest;

        private Estimate lastEstimate;
        /** Whether there are arrays that are not being stopped, by the ordinal of their priority; null if not known. */
        private boolean[] arraysOfPriority;

        /** Something on the machine has changed. */
        void clear() {
            byRequest.clear();
            lastRequest = null;
            arraysOfPriority = null;
        }
    }

    /** @param teamUsage what a team of that name uses now */
    Preemption(Settings settings, Function<String, Resources> teamUsage) {
        this.settings = settings;
        this.teamUsage = teamUsage;
    }

    /** What is lost by stopping the victims, in microseconds of work. */
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
     * What is lost on this machine by freeing capacity for one task of the job.
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
        List<Placement> victims = selectVictims(job, machine, scope);
        return victims == null ? IMPOSSIBLE : lostWork(victims, nowMicros);
    }

    /** How many tasks of a gang fit on the machine if all is preempted that may be preempted for it. */
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
        List<Placement> victims = selectVictims(job, machine, Scope.LOWER_PRIORITY);
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

    /** Whether there are arrays of the job's own priority on the machine; its own team's count as well. */
    private static boolean hasArraysOfSamePriority(Job job, Machine machine) {
        Estimates estimates = machine.preemptionEstimates;
        if (estimates.arraysOfPriority == null) {
            estimates.arraysOfPriority = new boolean[Priority.values().length];
            for (Placement placement : machine.placements) {
                if (!placement.isStopping() && placement.job.spec.kind() == JobKind.ARRAY) {
                    estimates.arraysOfPriority[placement.job.priority().ordinal()] = true;
                }
            }
        }
        return estimates.arraysOfPriority[job.priority().ordinal()];
    }

    /**
     * Selects work that ends at once when it is stopped, so that a start in the same response finds capacity.
     *
     * @param scope which work may be preempted
     * @return the fewest that lose the least, empty if there is capacity already; null if all of it is not enough
     */
    List<Placement> selectVictims(Job job, Machine machine, Scope scope) {
        Resources request = job.spec.taskResources();
        Resources available = machine.freeCapacity();
        List<Placement> preemptible = new ArrayList<>();
        for (Placement placement : machine.placements) {
            if (placement.isStopping() && placement.stopGraceMicros == 0) {
                // Stopped for others that were placed here since: without this each further task preempted more.
                available = available.plus(placement.job.spec.taskResources());
            } else if (!placement.isStopping() && isPreemptible(placement, job)) {
                preemptible.add(placement);
            }
        }
        preemptible.sort(LEAST_LOSS_FIRST);
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
        return request.fitsIn(available) ? victims : null;
    }

    /** Whether the job may ever preempt the attempt; gangs and work with checkpoints cannot end at once. */
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

    /** @param freedByTeam what the victims that were selected before use */
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
