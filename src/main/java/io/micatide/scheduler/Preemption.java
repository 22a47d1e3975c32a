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
 * Which work yields to which job, and what is lost by it. What a machine could free for work of a higher priority is kept with the machine
 * until something on it changes; where work of the same priority may yield, the teams' use decides, and it is worked out anew.
 */
final class Preemption {
    /** Nothing on the machine makes room. */
    static final long IMPOSSIBLE = Long.MAX_VALUE;

    /** Those first that lose least: what was not sent yet, then what has run for the shortest time. */
    private static final Comparator<Placement> LEAST_LOSS = Comparator.comparing(
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
    record PreemptionRequest(Resources taskResources, Priority priority) {}

    /**
     * What a machine could free for one task by stopping work of lower priorities only.
     *
     * @param isPossible whether it could at all
     * @param sentVictims attempts among the victims that were sent
     * @param createdSumMicros when these were created, summed up
     * @param tasksFitting how many such tasks fit with all that yields at once
     */
    private record Estimate(boolean isPossible, int sentVictims, long createdSumMicros, long tasksFitting) {
        long lostWorkMicros(long nowMicros) {
            return isPossible ? sentVictims * (Micros.SECOND + nowMicros) - createdSumMicros : IMPOSSIBLE;
        }
    }

    /** The estimates of one machine; forgotten when something on it changes. */
    static final class Estimates {
        private final Map<PreemptionRequest, Estimate> byRequest = new HashMap<>();
        /** The demand that was asked for last, which the next question is most likely for, and what it was told. */
        private PreemptionRequest lastRequest;

        private Estimate lastEstimate;
        /** Arrays that are not being stopped, by priority: other teams' may yield to the same priority. */
        private boolean[] arraysOfPriority;

        void clear() {
            byRequest.clear();
            lastRequest = null;
            arraysOfPriority = null;
        }
    }

    /** @param teamUse what a team uses now */
    Preemption(Settings settings, Function<String, Resources> teamUse) {
        this.settings = settings;
        this.teamUsage = teamUse;
    }

    /** What is lost by stopping the victims, in microseconds of work. */
    static long lostWork(List<Placement> victims, long nowMicros) {
        long loss = 0;
        for (Placement victim : victims) {
            if (!victim.isUnsent()) {
                loss += Micros.SECOND + nowMicros - victim.createdMicros;
            }
        }
        return loss;
    }

    /**
     * What is lost on this machine by room for one task of the job, {@link #IMPOSSIBLE} if there is none to be had.
     *
     * @param scope which work may be preempted
     */
    long lostWork(Job job, Machine machine, Scope scope, long nowMicros) {
        if (scope == Scope.SAME_PRIORITY && hasArraysOfSamePriority(job, machine)) {
            return computeLostWork(job, machine, scope, nowMicros);
        }
        long loss = estimate(job, machine).lostWorkMicros(nowMicros);
        assert loss == computeLostWork(job, machine, scope, nowMicros) : "the estimate of " + machine.name + " is old";
        return loss;
    }

    private long computeLostWork(Job job, Machine machine, Scope scope, long nowMicros) {
        List<Placement> victims = selectVictims(job, machine, scope);
        return victims == null ? IMPOSSIBLE : lostWork(victims, nowMicros);
    }

    /** How many tasks of a gang fit with all that could yield to it. */
    long tasksFittingAfterPreemption(Job job, Machine machine) {
        if (hasArraysOfSamePriority(job, machine)) {
            return countTasks(job, machine);
        }
        long tasks = estimate(job, machine).tasksFitting();
        assert tasks == countTasks(job, machine) : "the estimate of " + machine.name + " is old";
        return tasks;
    }

    private long countTasks(Job job, Machine machine) {
        Resources room = machine.freeCapacity();
        for (Placement placement : machine.placements) {
            if (!placement.isStopping() && isPreemptible(placement, job)) {
                room = room.plus(placement.job.spec.taskResources());
            }
        }
        return job.spec.taskResources().timesFittingIn(room);
    }

    private Estimate estimate(Job job, Machine machine) {
        Estimates estimates = machine.estimates;
        PreemptionRequest last = estimates.lastRequest;
        if (last != null
                && last.priority() == job.priority()
                && last.taskResources().equals(job.spec.taskResources())) {
            return estimates.lastEstimate;
        }
        PreemptionRequest demand = new PreemptionRequest(job.spec.taskResources(), job.priority());
        estimates.lastEstimate = estimates.byRequest.computeIfAbsent(demand, k -> computeEstimate(job, machine));
        estimates.lastRequest = demand;
        return estimates.lastEstimate;
    }

    private Estimate computeEstimate(Job job, Machine machine) {
        long tasks = countTasks(job, machine);
        List<Placement> victims = selectVictims(job, machine, Scope.LOWER_PRIORITY);
        if (victims == null) {
            return new Estimate(false, 0, 0, tasks);
        }
        int sent = 0;
        long createdSum = 0;
        for (Placement victim : victims) {
            if (!victim.isUnsent()) {
                sent++;
                createdSum += victim.createdMicros;
            }
        }
        return new Estimate(true, sent, createdSum, tasks);
    }

    /** Whether there are arrays of the job's own priority on the machine; its own team's count as well. */
    private static boolean hasArraysOfSamePriority(Job job, Machine machine) {
        Estimates estimates = machine.estimates;
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
     * Lesser work that ends at once when it is stopped, so that a start in the same answer finds room; or null.
     *
     * @param scope which work may be preempted
     */
    List<Placement> selectVictims(Job job, Machine machine, Scope scope) {
        List<Placement> victims = new ArrayList<>();
        Resources room = machine.freeCapacity();
        List<Placement> lesser = new ArrayList<>();
        for (Placement placement : machine.placements) {
            if (placement.isStopping() && placement.stopGraceMicros == 0) {
                // Stopped for others that were placed here since: without this each further task displaced more.
                room = room.plus(placement.job.spec.taskResources());
            } else if (!placement.isStopping() && isPreemptible(placement, job)) {
                lesser.add(placement);
            }
        }
        lesser.sort(LEAST_LOSS);
        Map<String, Resources> taken = new HashMap<>();
        for (Placement placement : lesser) {
            if (job.spec.taskResources().fitsIn(room)) {
                break;
            }
            if (!placement.job.priority().equals(job.priority())
                    || (scope == Scope.SAME_PRIORITY && isOverGuarantee(placement, taken))) {
                victims.add(placement);
                room = room.plus(placement.job.spec.taskResources());
                taken.merge(placement.job.spec.team(), placement.job.spec.taskResources(), Resources::plus);
            }
        }
        return job.spec.taskResources().fitsIn(room) ? victims : null;
    }

    private static boolean isPreemptible(Placement placement, Job job) {
        JobSpec theirs = placement.job.spec;
        if (theirs.kind() == JobKind.GANG || theirs.checkpointIntervalMicros() > 0) {
            return false;
        }
        return job.priority().isAbove(placement.job.priority())
                || (!theirs.team().equals(job.spec.team())
                        && theirs.kind() == JobKind.ARRAY
                        && job.priority() == placement.job.priority());
    }

    private boolean isOverGuarantee(Placement placement, Map<String, Resources> taken) {
        Team team = settings.teams().get(placement.job.spec.team());
        if (team == null) {
            return true;
        }
        Resources use = teamUsage.apply(team.name()).minus(taken.getOrDefault(team.name(), Resources.NONE));
        return !team.isWithinGuarantee(use);
    }
}
