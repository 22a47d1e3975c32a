package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The planner as it was before the index of free capacity: it checks each pending job against all machines.
 * {@link PlacementReferenceTest} compares the decisions of {@link PlacementPlanner} with those of this reference. On purpose it
 * repeats the placement logic in one class and shares no placement code with the planner that it checks. Only its names and
 * comments are changed.
 */
final class ReferencePlacementPlanner extends PlacementPlanner {
    /** If fetching the image takes longer than this, other work may be preempted on a machine that has the image. */
    private static final long LONG_FETCH_MICROS = 1_500 * Micros.MILLISECOND;

    /** Time for which a team waits for its guarantee if there is no objective for guarantees. */
    private static final long DEFAULT_GUARANTEE_WAIT_MICROS = 2_500 * Micros.MILLISECOND;
    /** Share of the time of the objective for guarantees for which a team waits before work of others is preempted. */
    private static final double GUARANTEE_WAIT_SHARE = 0.5;

    /** Minimum time between two preemptions for the same array. */
    private static final long PREEMPTION_INTERVAL_MICROS = 500 * Micros.MILLISECOND;
    /**
     * Maximum share of all replicas on one machine, since a machine may hang. On a fleet of 40 machines one large machine held
     * most replicas, and only a share of 0.93 were up in the worst 30 s.
     */
    private static final double MAX_REPLICA_SHARE_PER_MACHINE = 0.05;

    /** Lower bound of the limit of replicas per machine. */
    private static final int MIN_REPLICA_LIMIT_PER_MACHINE = 2;
    /** Maximum work lost to colocate a replica with others although another machine has free capacity. */
    private static final long MAX_CHEAP_LOSS_MICROS = 10 * Micros.SECOND;
    /** Maximum age of the order of jobs that is used to refill a machine. */
    private static final long MAX_ORDER_AGE_MICROS = Micros.SECOND;
    /**
     * A job whose image is on the machine precedes jobs of the same rank that are due earlier by less than this. A job that can
     * meet its deadline is urgent if its latest start is less than this away.
     */
    private static final long IMAGE_PRECEDENCE_MICROS = 5 * Micros.SECOND;

    private static final Comparator<Machine> LEAST_FREE_CAPACITY = Comparator.comparing(
                    (Machine machine) -> !machine.isSpot)
            .thenComparing(machine -> machine.freeCapacity().cpus());
    private static final Comparator<Machine> MOST_FREE_CAPACITY =
            Comparator.comparing((Machine machine) -> -machine.freeCapacity().cpus());

    private final PlacementActions placements;
    private final Settings settings;
    private final Fleet fleet;
    private final JobLedgers ledgers;
    private final RuntimeEstimator runtimeEstimator;
    private final long guaranteeWaitMicros;
    private List<JobQueue.QueuedJob> order = List.of();
    private long orderMicros = Long.MIN_VALUE / 2;
    /** Minimum of each resource over the tasks of all jobs in the order. */
    private Resources minTaskResources = Resources.NONE;
    /** Maximum number of replicas colocated on one machine, as of the last plan. */
    private int maxReplicasPerMachine = MIN_REPLICA_LIMIT_PER_MACHINE;

    private boolean hasRunningLowPriorityWork;
    private int evictedByReplicas;
    private int evictedByGuarantees;
    private Map<String, Resources> unreconciledUsage = Map.of();

    ReferencePlacementPlanner(
            PlacementActions placements,
            Settings settings,
            Fleet fleet,
            JobLedgers ledgers,
            RuntimeEstimator runtimeEstimator) {
        super(placements, settings, fleet, ledgers, runtimeEstimator);
        this.placements = placements;
        this.settings = settings;
        this.fleet = fleet;
        this.ledgers = ledgers;
        this.runtimeEstimator = runtimeEstimator;
        long waitMicros = DEFAULT_GUARANTEE_WAIT_MICROS;
        for (Settings.Objective objective : settings.objectives()) {
            if (objective.kind().equals("guarantee") && objective.withinMicros() > 0) {
                waitMicros = Math.round(objective.withinMicros() * GUARANTEE_WAIT_SHARE);
            }
        }
        this.guaranteeWaitMicros = waitMicros;
    }

    /** Returns the jobs with pending tasks in the order in which they get capacity. */
    private List<JobQueue.QueuedJob> buildQueue(long nowMicros) {
        Map<String, Resources> requested = new HashMap<>();
        List<JobQueue.QueuedJob> result = new ArrayList<>();
        Map<Job, DeadlineFeasibility.JobEstimate> entries = new HashMap<>();
        for (DeadlineFeasibility.JobEstimate entry : markFeasibleJobs(nowMicros)) {
            entries.put(entry.job, entry);
        }
        for (Job job : ledgers.jobs()) {
            if (job.cancelled) {
                continue;
            }
            if (job.quarantined) {
                queueProbe(job, result);
                continue;
            }
            Team team = settings.teams().get(job.spec.team());
            Resources total = requested.merge(
                    job.spec.team(), job.spec.taskResources().times(job.unfinishedCount()), Resources::plus);
            boolean guaranteed = team != null && team.guaranteedCpus() > 0 && team.isWithinGuarantee(total);
            int waiting = job.pendingCount();
            if (waiting > 0) {
                DeadlineFeasibility.JobEstimate entry = entries.get(job);
                result.add(new JobQueue.QueuedJob(
                        job,
                        waiting,
                        guaranteed,
                        entry == null || entry.isFeasible,
                        entry == null ? job.readyMicros : entry.latestStartMicros()));
            }
        }
        result.sort(
                Comparator.comparing((JobQueue.QueuedJob queued) -> queued.job().priority())
                        .thenComparing(queued -> queued.job().spec.kind() == JobKind.SERVICE ? 0 : 1)
                        .thenComparing(queued -> !queued.isGuaranteed())
                        .thenComparing(queued -> !queued.canMeetDeadline())
                        .thenComparing(JobQueue.QueuedJob::dueMicros)
                        .thenComparing(queued -> queued.job().readyMicros));
        return result;
    }

    /**
     * Adds a quarantined job as a probe: a job that fails on every machine must not use its team's guarantee or delay jobs that
     * can meet their deadline.
     */
    private static void queueProbe(Job job, List<JobQueue.QueuedJob> queue) {
        if (job.placeableCount() > 0) {
            queue.add(new JobQueue.QueuedJob(job, job.placeableCount(), false, false, Long.MAX_VALUE));
        }
    }

    /**
     * Determines which jobs can meet their deadline: first within the limit of each team, since capacity beyond it helps none
     * of the team's jobs, then with all CPUs.
     */
    private List<DeadlineFeasibility.JobEstimate> markFeasibleJobs(long nowMicros) {
        double cpus = arrayCpus(nowMicros);
        Map<String, List<DeadlineFeasibility.JobEstimate>> perTeam = new LinkedHashMap<>();
        List<DeadlineFeasibility.JobEstimate> result = new ArrayList<>();
        List<DeadlineFeasibility.JobEstimate> lowest = new ArrayList<>();
        for (DeadlineFeasibility.JobEstimate entry : estimates(nowMicros)) {
            if (entry.job.priority() == Priority.LOW) {
                // Low priority gets the remaining CPUs: one large job of a rare class would otherwise outweigh many
                // other jobs.
                lowest.add(entry);
                continue;
            }
            perTeam.computeIfAbsent(entry.job.spec.team(), k -> new ArrayList<>())
                    .add(entry);
        }
        List<DeadlineFeasibility.JobEstimate> possible = new ArrayList<>();
        perTeam.forEach((name, entries) -> {
            Team team = settings.teams().get(name);
            double limitCpus = team == null || team.maxCpus() == 0 ? cpus : Math.min(cpus, team.maxCpus());
            for (DeadlineFeasibility.JobEstimate entry :
                    DeadlineFeasibility.markFeasible(entries, limitCpus, nowMicros)) {
                (entry.isFeasible ? possible : result).add(entry);
            }
        });
        result.addAll(DeadlineFeasibility.markFeasible(possible, cpus, nowMicros));
        result.addAll(DeadlineFeasibility.markFeasible(lowest, cpus, nowMicros));
        return result;
    }

    /** Returns the remaining work of every unfinished job that is not a service. */
    private List<DeadlineFeasibility.JobEstimate> estimates(long nowMicros) {
        List<DeadlineFeasibility.JobEstimate> result = new ArrayList<>();
        for (Job job : ledgers.jobs()) {
            if (!job.cancelled && !job.quarantined && job.spec.kind() != JobKind.SERVICE && job.unfinishedCount() > 0) {
                long length = runtimeEstimator.expectedMicros(job);
                int waiting = job.pendingCount();
                double work = job.spec.taskResources().cpus()
                        * (double) length
                        * (waiting + 0.5 * (job.unfinishedCount() - waiting));
                long slowest = runtimeEstimator.slowestMicros(job);
                result.add(new DeadlineFeasibility.JobEstimate(
                        job, work, slowest, dueMicros(job, slowest, nowMicros), weight(job.spec.jobClass())));
            }
        }
        return result;
    }

    /**
     * Returns the weight of one job of the class. Objectives are shares of a class, so a job counts for more the fewer jobs and
     * the more objectives its class has.
     */
    private double weight(String jobClass) {
        int aims = 1;
        for (Settings.Objective objective : settings.objectives()) {
            aims += jobClass.equals(objective.jobClass()) ? 1 : 0;
        }
        return aims / (double) Math.max(1, ledgers.jobsSeenOfClass(jobClass));
    }

    /** Returns the CPUs available to jobs other than services, in thousandths. */
    private double arrayCpus(long nowMicros) {
        double cpus = 0;
        for (Machine machine : fleet.machines()) {
            if (machine.capacity() != null
                    && !machine.deletionRequested
                    && !machine.quarantined
                    && machine.spotNoticeEndsMicros < 0
                    && machine.slowUntilMicros < nowMicros
                    && machine.isResponsive(nowMicros, settings)) {
                cpus += machine.capacity().cpus();
                for (Placement placement : machine.placements) {
                    if (placement.job.spec.kind() == JobKind.SERVICE) {
                        cpus -= placement.job.spec.taskResources().cpus();
                    }
                }
            }
        }
        return cpus;
    }

    /** Returns the earliest time at which users expect the job and that it can still reach. */
    private long dueMicros(Job job, long length, long nowMicros) {
        JobSpec spec = job.spec;
        long reachable = nowMicros + length;
        long due = Long.MAX_VALUE;
        if (spec.deadlineMicros() >= 0 && job.deadlineMicros() >= reachable) {
            due = job.deadlineMicros();
        }
        if (job.dependentsDueMicros >= reachable) {
            due = Math.min(due, job.dependentsDueMicros);
        }
        for (Settings.Objective objective : settings.objectives()) {
            if (objective.withinMicros() > 0
                    && objective.kind().equals("finished")
                    && objective.jobClass().equals(spec.jobClass())) {
                long candidate = job.readyMicros + objective.withinMicros();
                if (candidate >= reachable) {
                    due = Math.min(due, candidate);
                }
            }
        }
        // Without an objective that can still be met, the job is due soon, but later than jobs that can meet
        // victimSpec.
        return due < Long.MAX_VALUE
                ? due
                : Math.max(job.readyMicros, nowMicros - 600 * Micros.SECOND) + 900 * Micros.SECOND;
    }

    @Override
    boolean isStartable(Job job, long nowMicros) {
        return !job.cancelled && job.backoffUntilMicros <= nowMicros && !job.hasUnreconciledMachines();
    }

    /** Places pending tasks on all machines, and sets the order that {@link #refill} uses until the next plan. */
    @Override
    void plan(long nowMicros) {
        order = buildQueue(nowMicros);
        orderMicros = nowMicros;
        unreconciledUsage = computeUnreconciledUsage();
        hasRunningLowPriorityWork = hasRunningLowPriorityWork();
        if (order.isEmpty()) {
            minTaskResources = Resources.NONE;
            return;
        }
        minTaskResources = order.get(0).job().spec.taskResources();
        for (JobQueue.QueuedJob queued : order) {
            minTaskResources = minTaskResources.min(queued.job().spec.taskResources());
        }
        maxReplicasPerMachine =
                Math.max(MIN_REPLICA_LIMIT_PER_MACHINE, (int) (MAX_REPLICA_SHARE_PER_MACHINE * replicaCount()));
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.isSchedulable(nowMicros, settings)) {
                usable.add(machine);
            }
        }
        List<Machine> open = new ArrayList<>();
        for (Machine machine : usable) {
            if (minTaskResources.fitsIn(machine.freeCapacity())) {
                open.add(machine);
            }
        }
        for (JobQueue.QueuedJob queued : order) {
            if (isStartable(queued.job(), nowMicros)) {
                placeJob(queued, usable, open, nowMicros);
            }
        }
    }

    /**
     * Returns whether work of the lowest priority may be evicted for the job: only for jobs that would otherwise be late. When
     * it was evicted for any pending job, hundreds of tasks of 150 s were restarted for jobs that had time left.
     */
    private boolean mayEvictLowPriorityWork(JobQueue.QueuedJob queued, long nowMicros) {
        return hasRunningLowPriorityWork && isUrgent(queued, nowMicros);
    }

    /** Returns whether the job can meet its deadline, but only if it starts about now. */
    private static boolean isUrgent(JobQueue.QueuedJob queued, long nowMicros) {
        return queued.canMeetDeadline() && queued.dueMicros() - nowMicros < IMAGE_PRECEDENCE_MICROS;
    }

    /** Returns whether work of the lowest priority is running, which may be evicted for any other. */
    private boolean hasRunningLowPriorityWork() {
        for (Job job : ledgers.jobs()) {
            if (job.priority() == Priority.LOW && !job.liveAttempts.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of attempts evicted in this term, for the log: for services, and for gangs and arrays. */
    @Override
    String evictionCounts() {
        return evictedByReplicas + "/" + evictedByGuarantees;
    }

    private int replicaCount() {
        int count = 0;
        for (Job job : ledgers.jobs()) {
            count += job.spec.kind() == JobKind.SERVICE ? job.liveAttempts.size() : 0;
        }
        return count;
    }

    /** Returns the jobs that had pending tasks at the last plan, in queue order. */
    @Override
    List<JobQueue.QueuedJob> order() {
        return order;
    }

    /**
     * Places tasks of the next jobs in the queue on one machine with newly freed capacity, so that their starts are sent in the
     * response to the heartbeat that reported it. Planning for all machines at every heartbeat took more than the whole CPU share
     * of the leader with 373 machines, and it lost its lease.
     */
    @Override
    void refill(Machine machine, long nowMicros) {
        if (nowMicros - orderMicros > MAX_ORDER_AGE_MICROS || !machine.isSchedulable(nowMicros, settings)) {
            return;
        }
        if (order.isEmpty() || !minTaskResources.fitsIn(machine.freeCapacity())) {
            return;
        }
        for (Job job = nextJob(machine, nowMicros); job != null; job = nextJob(machine, nowMicros)) {
            placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
        }
    }

    /** Returns the next job in the order that gets capacity on this machine, or null. */
    private Job nextJob(Machine machine, long nowMicros) {
        JobQueue.QueuedJob first = null;
        for (JobQueue.QueuedJob queued : order) {
            if (first != null
                    && (!first.hasSameRank(queued)
                            || queued.dueMicros() - first.dueMicros() >= IMAGE_PRECEDENCE_MICROS)) {
                break;
            }
            if (mayRefill(queued.job(), machine, nowMicros)) {
                first = first == null ? queued : first;
                if (hasImage(machine, queued.job())) {
                    return queued.job();
                }
            }
        }
        return first == null ? null : first.job();
    }

    private boolean mayRefill(Job job, Machine machine, long nowMicros) {
        return job.spec.kind() != JobKind.GANG
                && job.placeableCount() > 0
                && ledgers.get(job.id()) == job
                && isStartable(job, nowMicros)
                && isSuitable(job, machine, nowMicros)
                && placements.mayRecordMachine(job, machine, nowMicros)
                && job.spec.taskResources().fitsIn(machine.freeCapacity())
                && isWithinZoneLimit(job, machine)
                && isWithinTeamLimit(job);
    }

    private boolean isWithinTeamLimit(Job job) {
        Team team = settings.teams().get(job.spec.team());
        return team == null
                || team.isWithinLimit(placements
                        .teamUsage(team.name())
                        .plus(unreconciledUsage.getOrDefault(team.name(), Resources.NONE))
                        .plus(job.spec.taskResources()));
    }

    /** Returns how many of the tasks the team's limit allows in addition to its usage and {@code others}; for a gang, all or none. */
    @Override
    int tasksWithinLimit(Job job, int count, Resources others) {
        Team team = settings.teams().get(job.spec.team());
        if (team == null) {
            return count;
        }
        Resources perTask = job.spec.taskResources();
        Resources used = placements
                .teamUsage(team.name())
                .plus(unreconciledUsage.getOrDefault(team.name(), Resources.NONE))
                .plus(others);
        long allowed = count;
        if (team.maxCpus() > 0 && perTask.cpus() > 0) {
            allowed = Math.min(allowed, Math.max(0, team.maxCpus() - used.cpus()) / perTask.cpus());
        }
        if (team.maxGpus() > 0 && perTask.gpus() > 0) {
            allowed = Math.min(allowed, Math.max(0, team.maxGpus() - used.gpus()) / perTask.gpus());
        }
        return job.spec.kind() == JobKind.GANG && allowed < count ? 0 : (int) allowed;
    }

    private static boolean isSuitable(Job job, Machine machine, long nowMicros) {
        JobSpec spec = job.spec;
        return spec.allowsMachine(machine.type, machine.zone(), machine.isSpot)
                && !job.failedMachines.isExcluded(machine.name, nowMicros)
                && (spec.kind() == JobKind.SERVICE || machine.slowUntilMicros < nowMicros);
    }

    /**
     * Returns machines on which pending tasks may be placed later. If the ledger names them in advance, a start is sent in the
     * response to the heartbeat that reported the free capacity, without waiting for a write batch.
     */
    @Override
    List<String> candidateMachines(Job job, int limit, long nowMicros) {
        List<String> names = new ArrayList<>();
        if (job.spec.kind() == JobKind.ARRAY && job.pendingCount() > 0 && !job.quarantined) {
            List<Machine> usable = new ArrayList<>();
            for (Machine machine : fleet.machines()) {
                if (machine.isSchedulable(nowMicros, settings) && isSuitable(job, machine, nowMicros)) {
                    usable.add(machine);
                }
            }
            if (usable.size() > limit) {
                // The ledger cannot name all: machines with the most free capacity, of equal ones first those that it
                // names already.
                usable.sort(MOST_FREE_CAPACITY.thenComparing(machine -> !job.ledgerMachines.contains(machine.name)));
            }
            for (Machine machine : usable.subList(0, Math.min(limit, usable.size()))) {
                names.add(machine.name);
            }
        }
        return names;
    }

    /** Returns whether the machine has the job's image or is fetching it for another task of the job. */
    private static boolean hasImage(Machine machine, Job job) {
        return machine.images.containsKey(job.spec.image()) || job.liveMachines.contains(machine.name);
    }

    /** Returns the usage by team of tasks that may be on machines that have not sent a heartbeat to this leader yet. */
    private Map<String, Resources> computeUnreconciledUsage() {
        Map<String, Resources> result = new HashMap<>();
        for (Job job : ledgers.jobs()) {
            if (job.hasUnreconciledMachines()) {
                int tasks = job.cancelled ? job.spec.taskCount() : job.pendingCount();
                result.merge(job.spec.team(), job.spec.taskResources().times(tasks), Resources::plus);
            }
        }
        return result;
    }

    private void placeJob(JobQueue.QueuedJob queued, List<Machine> usable, List<Machine> open, long nowMicros) {
        Job job = queued.job();
        JobSpec spec = job.spec;
        // Capacity becomes free continuously and goes to the first job in the queue. Work of the same priority is
        // stopped only
        // for a team that has waited for its guarantee.
        boolean hasWaited = nowMicros - job.readyMicros > guaranteeWaitMicros;
        boolean mayPreempt = !job.quarantined
                && (spec.kind() == JobKind.SERVICE
                        || ((queued.isGuaranteed() || mayEvictLowPriorityWork(queued, nowMicros)) && hasWaited)
                        || (spec.priority() == job.priority()
                                ? spec.priority() != Priority.NORMAL
                                : isUrgent(queued, nowMicros)));
        if (spec.kind() == JobKind.GANG) {
            placeGang(job, queued.pendingTasks(), suitable(job, usable, nowMicros), mayPreempt, nowMicros);
        } else if (spec.kind() == JobKind.SERVICE) {
            placeReplicas(queued, suitable(job, usable, nowMicros), nowMicros);
        } else {
            placeArray(job, open, nowMicros);
            if (mayPreempt
                    && job.pendingCount() > 0
                    && nowMicros >= job.nextPreemptionMicros
                    && mayHaveEvictableWork(job)) {
                job.nextPreemptionMicros = nowMicros + PREEMPTION_INTERVAL_MICROS;
                preempt(queued, suitable(job, usable, nowMicros), nowMicros);
            }
        }
    }

    private List<Machine> suitable(Job job, List<Machine> machines, long nowMicros) {
        List<Machine> result = new ArrayList<>();
        for (Machine machine : machines) {
            if (isSuitable(job, machine, nowMicros) && placements.mayRecordMachine(job, machine, nowMicros)) {
                result.add(machine);
            }
        }
        return result;
    }

    private void placeReplicas(JobQueue.QueuedJob queued, List<Machine> candidates, long nowMicros) {
        Job job = queued.job();
        for (int left = queued.pendingTasks(); left > 0 && job.placeableCount() > 0 && isWithinTeamLimit(job); left--) {
            Machine machine = machineWithReplicas(job, candidates, nowMicros);
            machine = machine != null ? machine : chooseMachine(job, candidates, true, nowMicros);
            if (machine == null) {
                return;
            }
            placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
        }
    }

    /**
     * Returns a machine with the image that has replicas already, or null: preferably one with many replicas and enough free
     * capacity. Evicts other work there if necessary. Replicas run for minutes, and replicas spread over the fleet each kept a
     * machine that would otherwise have been returned.
     */
    private Machine machineWithReplicas(Job job, List<Machine> candidates, long nowMicros) {
        Resources perReplica = job.spec.taskResources();
        Machine best = null;
        long bestScore = 0;
        for (Machine machine : candidates) {
            if (!machine.images.containsKey(job.spec.image()) || !isWithinZoneLimit(job, machine)) {
                continue;
            }
            Resources replicas = Resources.NONE;
            int count = 0;
            for (Placement placement : machine.placements) {
                if (placement.job.spec.kind() == JobKind.SERVICE) {
                    replicas = replicas.plus(placement.job.spec.taskResources());
                    count++;
                }
            }
            if (count == 0
                    || count >= maxReplicasPerMachine
                    || !perReplica.plus(replicas).fitsIn(machine.capacity())) {
                continue;
            }
            boolean fits = perReplica.fitsIn(machine.freeCapacity());
            long score = replicas.cpus() + (fits ? 2 * perReplica.cpus() : 0);
            if (score > bestScore && (fits || canEvictCheaply(job, machine, nowMicros))) {
                best = machine;
                bestScore = score;
            }
        }
        if (best != null && !perReplica.fitsIn(best.freeCapacity())) {
            evict(job, victims(job, best), nowMicros);
        }
        return best;
    }

    private boolean canEvictCheaply(Job job, Machine machine, long nowMicros) {
        List<Placement> victims = victims(job, machine);
        return victims != null && lossMicros(victims, nowMicros) < MAX_CHEAP_LOSS_MICROS;
    }

    /** Fills one machine after another, since each further machine has to fetch the image and to be named in the ledger. */
    private void placeArray(Job job, List<Machine> open, long nowMicros) {
        if (open.isEmpty()) {
            return;
        }
        List<Machine> ready = new ArrayList<>();
        List<Machine> others = new ArrayList<>();
        for (Machine machine : open) {
            if (isSuitable(job, machine, nowMicros)) {
                (hasImage(machine, job) ? ready : others).add(machine);
            }
        }
        ready.sort(LEAST_FREE_CAPACITY);
        others.sort(MOST_FREE_CAPACITY);
        ready.addAll(others);
        for (Machine machine : ready) {
            while (job.spec.taskResources().fitsIn(machine.freeCapacity())
                    && isWithinZoneLimit(job, machine)
                    && placements.mayRecordMachine(job, machine, nowMicros)) {
                if (job.placeableCount() == 0 || !isWithinTeamLimit(job)) {
                    open.removeIf(full -> !minTaskResources.fitsIn(full.freeCapacity()));
                    return;
                }
                placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
            }
        }
        open.removeIf(full -> !minTaskResources.fitsIn(full.freeCapacity()));
    }

    /** Returns whether any work may exist that can be evicted for a task of this job. */
    private boolean mayHaveEvictableWork(Job job) {
        if (job.priority() != Priority.NORMAL || hasRunningLowPriorityWork) {
            return true;
        }
        for (Team team : settings.teams().values()) {
            if (!team.name().equals(job.spec.team()) && !team.isWithinGuarantee(placements.teamUsage(team.name()))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Evicts other work for the job, on machines with the image first and then by least lost work. Most of a job is served by
     * capacity that becomes free anyway, so a job of normal priority is given its capacity in parts: taking all of it at once
     * lost one start in ten, and some tasks were started fifteen times.
     */
    private void preempt(JobQueue.QueuedJob queued, List<Machine> candidates, long nowMicros) {
        Job job = queued.job();
        int left = job.pendingCount();
        if (job.priority() == Priority.NORMAL) {
            long until = job.readyMicros + guaranteeWaitMicros * 3 / 2 - nowMicros;
            left = (int)
                    Math.ceil(left * PREEMPTION_INTERVAL_MICROS / (double) Math.max(PREEMPTION_INTERVAL_MICROS, until));
        }
        record Option(Machine machine, boolean hasImage, long lossMicros) {}
        List<Option> options = new ArrayList<>();
        for (Machine machine : candidates) {
            List<Placement> victims = victims(job, machine, queued.isGuaranteed());
            if (victims != null) {
                options.add(new Option(machine, hasImage(machine, job), lossMicros(victims, nowMicros)));
            }
        }
        options.sort(Comparator.comparing((Option option) -> !option.hasImage()).thenComparing(Option::lossMicros));
        for (boolean progress = true; progress && left > 0; ) {
            progress = false;
            for (Option option : options) {
                Machine machine = option.machine();
                List<Placement> victims = left > 0 && isWithinZoneLimit(job, machine)
                        ? victims(job, machine, queued.isGuaranteed())
                        : null;
                if (job.pendingCount() == 0 || !isWithinTeamLimit(job)) {
                    return;
                }
                if (victims != null) {
                    evict(job, victims, nowMicros);
                    placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
                    left--;
                    progress = true;
                }
            }
        }
    }

    private void evict(Job job, List<Placement> victims, long nowMicros) {
        if (job.spec.kind() == JobKind.SERVICE) {
            evictedByReplicas += victims.size();
        } else {
            evictedByGuarantees += victims.size();
        }
        for (Placement victim : victims) {
            if (victim.isUnsent()) {
                placements.remove(victim);
            } else {
                placements.stop(victim, 0, nowMicros);
            }
        }
    }

    /** Places all missing tasks of a gang or none, since a part of a gang would use capacity without running. */
    private void placeGang(Job job, int missing, List<Machine> machines, boolean mayPreempt, long nowMicros) {
        JobSpec spec = job.spec;
        Team team = settings.teams().get(spec.team());
        boolean mustNotStart = job.gangAttemptEnded || (job.gangStarted && !job.liveAttempts.isEmpty());
        if (mustNotStart
                || (team != null
                        && !team.isWithinLimit(placements
                                .teamUsage(spec.team())
                                .plus(unreconciledUsage.getOrDefault(spec.team(), Resources.NONE))
                                .plus(spec.taskResources().times(missing))))) {
            return;
        }
        Map<String, Long> perZone = new HashMap<>();
        for (Machine machine : machines) {
            Resources freeCapacity = machine.freeCapacity();
            if (mayPreempt) {
                for (Placement placement : machine.placements) {
                    if (!placement.isStopping() && isEvictable(placement, job)) {
                        freeCapacity = freeCapacity.plus(placement.job.spec.taskResources());
                    }
                }
            }
            perZone.merge(machine.zone(), spec.taskResources().timesFittingIn(freeCapacity), Long::sum);
        }
        List<Machine> candidates = machines;
        if (spec.singleZone()) {
            String zone = job.liveAttempts.isEmpty()
                    ? null
                    : job.liveAttempts.values().iterator().next().get(0).machine.zone();
            for (Map.Entry<String, Long> entry : perZone.entrySet()) {
                if (zone == null && entry.getValue() >= missing) {
                    zone = entry.getKey();
                }
            }
            String chosen = zone;
            candidates = machines.stream()
                    .filter(machine -> machine.zone().equals(chosen))
                    .toList();
            if (chosen == null || perZone.getOrDefault(chosen, 0L) < missing) {
                return;
            }
        } else {
            long fittingTasks = 0;
            for (long count : perZone.values()) {
                fittingTasks += Math.min(count, spec.maxTasksPerZone());
            }
            if (fittingTasks < missing) {
                return;
            }
        }
        for (int i = 0; i < missing; i++) {
            int index = job.nextPendingTask();
            Machine machine = index < 0 ? null : chooseMachine(job, candidates, mayPreempt, nowMicros);
            if (machine == null) {
                for (List<Placement> list : List.copyOf(job.liveAttempts.values())) {
                    for (Placement placement : List.copyOf(list)) {
                        if (placement.isUnsent()) {
                            placements.remove(placement);
                        }
                    }
                }
                return;
            }
            placements.placeTask(job, index, machine, nowMicros);
        }
    }

    private Machine chooseMachine(Job job, List<Machine> candidates, boolean mayPreempt, long nowMicros) {
        JobSpec spec = job.spec;
        Machine withImage = null;
        Machine withoutImage = null;
        for (Machine machine : candidates) {
            if (spec.taskResources().fitsIn(machine.freeCapacity()) && isWithinZoneLimit(job, machine)) {
                if (machine.images.containsKey(spec.image())) {
                    withImage = withImage == null || LEAST_FREE_CAPACITY.compare(machine, withImage) < 0
                            ? machine
                            : withImage;
                } else {
                    withoutImage = withoutImage == null || MOST_FREE_CAPACITY.compare(machine, withoutImage) < 0
                            ? machine
                            : withoutImage;
                }
            }
        }
        if (withImage != null) {
            return withImage;
        }
        boolean longFetch = withoutImage != null && fetchMicros(withoutImage, spec) > LONG_FETCH_MICROS;
        if (mayPreempt && (withoutImage == null || longFetch)) {
            List<Placement> cheapestVictims = null;
            Machine cheapestMachine = null;
            long leastLossMicros = Long.MAX_VALUE;
            for (Machine machine : candidates) {
                if ((withoutImage == null || machine.images.containsKey(spec.image()))
                        && isWithinZoneLimit(job, machine)) {
                    List<Placement> victims = victims(job, machine);
                    long lossMicros = victims == null
                            ? Long.MAX_VALUE
                            : lossMicros(victims, nowMicros)
                                    + (machine.images.containsKey(spec.image()) ? 0 : fetchMicros(machine, spec));
                    if (lossMicros < leastLossMicros) {
                        leastLossMicros = lossMicros;
                        cheapestVictims = victims;
                        cheapestMachine = machine;
                    }
                }
            }
            if (cheapestMachine != null) {
                evict(job, cheapestVictims, nowMicros);
                return cheapestMachine;
            }
            if (withoutImage == null) {
                stopCheckpointingWork(job, candidates, nowMicros);
            }
        }
        return withoutImage;
    }

    /** Stops work that writes a checkpoint before it ends; its capacity is used when it has become free. */
    private void stopCheckpointingWork(Job job, List<Machine> candidates, long nowMicros) {
        if (job.capacityAwaitedUntilMicros > nowMicros) {
            return;
        }
        for (Machine machine : candidates) {
            Resources freeCapacity = machine.freeCapacity();
            List<Placement> victims = new ArrayList<>();
            for (Placement placement : machine.placements) {
                JobSpec victimSpec = placement.job.spec;
                if (!job.spec.taskResources().fitsIn(freeCapacity)
                        && victimSpec.kind() != JobKind.SERVICE
                        && !placement.isStopping()
                        && job.priority().isAbove(placement.job.priority())) {
                    victims.add(placement);
                    freeCapacity = freeCapacity.plus(victimSpec.taskResources());
                }
            }
            if (!victims.isEmpty() && job.spec.taskResources().fitsIn(freeCapacity)) {
                for (Placement victim : victims) {
                    job.capacityAwaitedUntilMicros = Math.max(
                            job.capacityAwaitedUntilMicros,
                            nowMicros + victim.job.spec.saveMicros() + 5 * Micros.SECOND);
                    placements.stopWithCheckpoint(victim, nowMicros);
                }
                return;
            }
        }
    }

    private long fetchMicros(Machine machine, JobSpec spec) {
        MachineType type = fleet.machineTypes().get(machine.type);
        return type == null || type.fetchGbPerSecond() <= 0
                ? 0
                : Micros.ofSeconds(spec.imageGb() / type.fetchGbPerSecond());
    }

    private boolean isWithinZoneLimit(Job job, Machine machine) {
        if (!job.spec.singleZone() && !job.spec.spreadOverZones()) {
            return true;
        }
        int inZone = 0;
        for (List<Placement> list : job.liveAttempts.values()) {
            for (Placement placement : list) {
                if (placement.machine.zone() == null
                        || !placement.machine.zone().equals(machine.zone())) {
                    if (job.spec.singleZone()) {
                        return false;
                    }
                } else {
                    inZone++;
                }
            }
        }
        return inZone < job.spec.maxTasksPerZone();
    }

    private static long lossMicros(List<Placement> victims, long nowMicros) {
        long lossMicros = 0;
        for (Placement victim : victims) {
            if (!victim.isUnsent()) {
                lossMicros += Micros.SECOND + nowMicros - victim.createdMicros;
            }
        }
        return lossMicros;
    }

    /**
     * Returns work to evict that ends immediately when it is stopped, so that a start in the same response finds the capacity
     * free; or null if evicting everything would not be enough.
     */
    private List<Placement> victims(Job job, Machine machine) {
        return victims(job, machine, true);
    }

    /** @param includesSamePriority whether work of the same priority of teams that exceed their guarantee may be evicted too */
    private List<Placement> victims(Job job, Machine machine, boolean includesSamePriority) {
        List<Placement> victims = new ArrayList<>();
        Resources freeCapacity = machine.freeCapacity();
        List<Placement> evictable = new ArrayList<>();
        for (Placement placement : machine.placements) {
            if (placement.isStopping() && placement.stopGraceMicros == 0) {
                // Already stopped for tasks that were placed here since. Without this, each further task would evict
                // more work.
                freeCapacity = freeCapacity.plus(placement.job.spec.taskResources());
            } else if (!placement.isStopping() && isEvictable(placement, job)) {
                evictable.add(placement);
            }
        }
        evictable.sort(Comparator.comparing((Placement placement) -> !placement.isUnsent())
                .thenComparing(placement -> -placement.createdMicros));
        Map<String, Resources> evictedByTeam = new HashMap<>();
        for (Placement placement : evictable) {
            if (job.spec.taskResources().fitsIn(freeCapacity)) {
                break;
            }
            if (!placement.job.priority().equals(job.priority())
                    || (includesSamePriority && exceedsGuarantee(placement, evictedByTeam))) {
                victims.add(placement);
                freeCapacity = freeCapacity.plus(placement.job.spec.taskResources());
                evictedByTeam.merge(placement.job.spec.team(), placement.job.spec.taskResources(), Resources::plus);
            }
        }
        return job.spec.taskResources().fitsIn(freeCapacity) ? victims : null;
    }

    private boolean isEvictable(Placement placement, Job job) {
        JobSpec victimSpec = placement.job.spec;
        if (victimSpec.kind() == JobKind.GANG || victimSpec.checkpointIntervalMicros() > 0) {
            return false;
        }
        return job.priority().isAbove(placement.job.priority())
                || (!victimSpec.team().equals(job.spec.team())
                        && victimSpec.kind() == JobKind.ARRAY
                        && job.priority() == placement.job.priority());
    }

    private boolean exceedsGuarantee(Placement placement, Map<String, Resources> evictedByTeam) {
        Team team = settings.teams().get(placement.job.spec.team());
        if (team == null) {
            return true;
        }
        Resources usage =
                placements.teamUsage(team.name()).minus(evictedByTeam.getOrDefault(team.name(), Resources.NONE));
        return !team.isWithinGuarantee(usage);
    }
}
