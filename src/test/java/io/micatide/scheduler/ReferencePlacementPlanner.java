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
 * The former planner, from before there was an index of free capacity: it tests each waiting job against all machines. Kept
 * in one piece as it was, as the reference that {@link PlacementReferenceTest} compares {@link PlacementPlanner} with,
 * decision for decision. It shares no code with the planner that it checks, and is changed only where a rename reaches it:
 * its names and its shape are those of its time.
 */
final class ReferencePlacementPlanner extends PlacementPlanner {
    /** An image that takes longer than this to fetch is worth stopping other work for. */
    private static final long LONG_FETCH_MICROS = 1_500 * Micros.MILLISECOND;

    private static final long DEFAULT_GUARANTEE_WAIT_MICROS = 2_500 * Micros.MILLISECOND;
    /** How much of an aim's time a team waits for its guarantee by itself before others have to yield. */
    private static final double GUARANTEE_WAIT_SHARE = 0.5;

    private static final long PREEMPTION_INTERVAL_MICROS = 500 * Micros.MILLISECOND;
    /**
     * The share of all replicas that gather on one machine: it may hang. On a fleet of 40 a large machine once took most
     * of them, and 0.93 were up in the worst 30 s.
     */
    private static final double MAX_REPLICA_SHARE_PER_MACHINE = 0.05;

    private static final int MIN_REPLICA_LIMIT_PER_MACHINE = 2;
    /** Work that may be lost for a replica that has room elsewhere. */
    private static final long MAX_CHEAP_LOSS_MICROS = 10 * Micros.SECOND;
    /** An order older than this is not gone by. */
    private static final long MAX_ORDER_AGE_MICROS = Micros.SECOND;
    /** A job whose image is there goes before one that is due so much earlier and has to fetch its own. */
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
    /** The least of each resource that any job in the order asks for. */
    private Resources minTaskResources = Resources.NONE;
    /** Replicas that gather on one machine at most, as of the last plan. */
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
        long patience = DEFAULT_GUARANTEE_WAIT_MICROS;
        for (Settings.Objective objective : settings.objectives()) {
            if (objective.kind().equals("guarantee") && objective.withinMicros() > 0) {
                patience = Math.round(objective.withinMicros() * GUARANTEE_WAIT_SHARE);
            }
        }
        this.guaranteeWaitMicros = patience;
    }

    /** Jobs with waiting tasks in the order in which they get room. */
    private List<JobQueue.QueuedJob> buildQueue(long nowMicros) {
        Map<String, Resources> asked = new HashMap<>();
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
            Resources total = asked.merge(
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
        result.sort(Comparator.comparing((JobQueue.QueuedJob q) -> q.job().priority())
                .thenComparing(q -> q.job().spec.kind() == JobKind.SERVICE ? 0 : 1)
                .thenComparing(q -> !q.isGuaranteed())
                .thenComparing(q -> !q.canMeetDeadline())
                .thenComparing(JobQueue.QueuedJob::dueMicros)
                .thenComparing(q -> q.job().readyMicros));
        return result;
    }

    /** A job that fails wherever it is tried holds no guarantee and no place among what can be on time. */
    private static void queueProbe(Job job, List<JobQueue.QueuedJob> queue) {
        if (job.placeableCount() > 0) {
            queue.add(new JobQueue.QueuedJob(job, job.placeableCount(), false, false, Long.MAX_VALUE));
        }
    }

    /**
     * What can be on time: first within each team's limit, since room beyond it helps none of the team's jobs, then
     * with all processors.
     */
    private List<DeadlineFeasibility.JobEstimate> markFeasibleJobs(long nowMicros) {
        double cpus = arrayCpus(nowMicros);
        Map<String, List<DeadlineFeasibility.JobEstimate>> perTeam = new LinkedHashMap<>();
        List<DeadlineFeasibility.JobEstimate> result = new ArrayList<>();
        List<DeadlineFeasibility.JobEstimate> lowest = new ArrayList<>();
        for (DeadlineFeasibility.JobEstimate entry : estimates(nowMicros)) {
            if (entry.job.priority() == Priority.LOW) {
                // It gets what is left: a large job of a rare class would count for more than many of the others.
                lowest.add(entry);
                continue;
            }
            perTeam.computeIfAbsent(entry.job.spec.team(), k -> new ArrayList<>())
                    .add(entry);
        }
        List<DeadlineFeasibility.JobEstimate> possible = new ArrayList<>();
        perTeam.forEach((name, entries) -> {
            Team team = settings.teams().get(name);
            double most = team == null || team.maxCpus() == 0 ? cpus : Math.min(cpus, team.maxCpus());
            for (DeadlineFeasibility.JobEstimate entry : DeadlineFeasibility.markFeasible(entries, most, nowMicros)) {
                (entry.isFeasible ? possible : result).add(entry);
            }
        });
        result.addAll(DeadlineFeasibility.markFeasible(possible, cpus, nowMicros));
        result.addAll(DeadlineFeasibility.markFeasible(lowest, cpus, nowMicros));
        return result;
    }

    /** What is left of every job that ends. */
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

    /** Aims are shares of a class: the fewer jobs it has, and the more aims, the more one of them counts. */
    private double weight(String jobClass) {
        int aims = 1;
        for (Settings.Objective objective : settings.objectives()) {
            aims += jobClass.equals(objective.jobClass()) ? 1 : 0;
        }
        return aims / (double) Math.max(1, ledgers.jobsSeenOfClass(jobClass));
    }

    /** Processors, in thousandths, that are there for work that ends. */
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

    /** The earliest time at which users expect the job and that it can still reach. */
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
        // Without an aim, or beyond all of them: soon, but after what can still be on time.
        return due < Long.MAX_VALUE
                ? due
                : Math.max(job.readyMicros, nowMicros - 600 * Micros.SECOND) + 900 * Micros.SECOND;
    }

    @Override
    boolean isStartable(Job job, long nowMicros) {
        return !job.cancelled && job.backoffUntilMicros <= nowMicros && !job.hasUnreconciledMachines();
    }

    /** Places what waits, on all machines. The order that it finds is what {@link #refill} goes by until the next time. */
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
     * Work of the lowest priority yields to what would be late otherwise, not to all that waits: hundreds of a guest's tasks
     * of 150 s were once started over for jobs that had time.
     */
    private boolean mayEvictLowPriorityWork(JobQueue.QueuedJob queued, long nowMicros) {
        return hasRunningLowPriorityWork && isUrgent(queued, nowMicros);
    }

    /** It can be on time, but only if it starts about now. */
    private static boolean isUrgent(JobQueue.QueuedJob queued, long nowMicros) {
        return queued.canMeetDeadline() && queued.dueMicros() - nowMicros < IMAGE_PRECEDENCE_MICROS;
    }

    /** Whether work of the lowest priority runs, which any other may displace. */
    private boolean hasRunningLowPriorityWork() {
        for (Job job : ledgers.jobs()) {
            if (job.priority() == Priority.LOW && !job.liveAttempts.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Attempts that had to yield in this term, for the log. */
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

    /** The jobs with waiting tasks as of the last plan. */
    @Override
    List<JobQueue.QueuedJob> order() {
        return order;
    }

    /**
     * Gives the room that came free on one machine to the next in the queue, so that it goes out with the answer to the
     * report that told of it. Planning for all machines at every report once took more than the whole share of a
     * core with 373 of them, and the leader lost its lease.
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

    /** The job in the order that gets room on this machine, or null. */
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

    /**
     * How many of so many tasks the team's limit allows beside what it uses and {@code others}; of a gang all or none.
     */
    @Override
    int tasksWithinLimit(Job job, int count, Resources others) {
        Team team = settings.teams().get(job.spec.team());
        if (team == null) {
            return count;
        }
        Resources each = job.spec.taskResources();
        Resources there = placements
                .teamUsage(team.name())
                .plus(unreconciledUsage.getOrDefault(team.name(), Resources.NONE))
                .plus(others);
        long most = count;
        if (team.maxCpus() > 0 && each.cpus() > 0) {
            most = Math.min(most, Math.max(0, team.maxCpus() - there.cpus()) / each.cpus());
        }
        if (team.maxGpus() > 0 && each.gpus() > 0) {
            most = Math.min(most, Math.max(0, team.maxGpus() - there.gpus()) / each.gpus());
        }
        return job.spec.kind() == JobKind.GANG && most < count ? 0 : (int) most;
    }

    private static boolean isSuitable(Job job, Machine machine, long nowMicros) {
        JobSpec spec = job.spec;
        return spec.allowsMachine(machine.type, machine.zone, machine.isSpot)
                && !job.failedMachines.contains(machine.name)
                && (spec.kind() == JobKind.SERVICE || machine.slowUntilMicros < nowMicros);
    }

    /**
     * Machines on which tasks that still wait may be placed later. With the ledger naming them before, such a start goes
     * out with the answer to the report that told of the room, instead of waiting for a round first.
     */
    @Override
    List<String> candidateMachines(Job job, int most, long nowMicros) {
        List<String> names = new ArrayList<>();
        if (job.spec.kind() == JobKind.ARRAY && job.pendingCount() > 0 && !job.quarantined) {
            List<Machine> usable = new ArrayList<>();
            for (Machine machine : fleet.machines()) {
                if (machine.isSchedulable(nowMicros, settings) && isSuitable(job, machine, nowMicros)) {
                    usable.add(machine);
                }
            }
            if (usable.size() > most) {
                // A small value cannot name all: those with room, then those that the ledger names already.
                usable.sort(MOST_FREE_CAPACITY.thenComparing(machine -> !job.ledgerMachines.contains(machine.name)));
            }
            for (Machine machine : usable.subList(0, Math.min(most, usable.size()))) {
                names.add(machine.name);
            }
        }
        return names;
    }

    /** There, or being fetched for another task of the job. */
    private static boolean hasImage(Machine machine, Job job) {
        return machine.images.containsKey(job.spec.image()) || job.liveMachines.contains(machine.name);
    }

    /** Tasks that may still sit on machines which have not reported to this leader count for their team. */
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
        // Room comes free all the time, and what is first in the queue gets it: stopping work of the same priority
        // is for a team that has waited for its guarantee.
        boolean waited = nowMicros - job.readyMicros > guaranteeWaitMicros;
        boolean preempts = !job.quarantined
                && (spec.kind() == JobKind.SERVICE
                        || ((queued.isGuaranteed() || mayEvictLowPriorityWork(queued, nowMicros)) && waited)
                        || (spec.priority() == job.priority()
                                ? spec.priority() != Priority.NORMAL
                                : isUrgent(queued, nowMicros)));
        if (spec.kind() == JobKind.GANG) {
            placeGang(job, queued.pendingTasks(), suitable(job, usable, nowMicros), preempts, nowMicros);
        } else if (spec.kind() == JobKind.SERVICE) {
            placeReplicas(queued, suitable(job, usable, nowMicros), nowMicros);
        } else {
            placeArray(job, open, nowMicros);
            if (preempts
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
     * A machine with the image that has replicas already, the one with most; work that ends yields there. Replicas live
     * for minutes, and strewn over the fleet each of them kept a machine that would have been returned.
     */
    private Machine machineWithReplicas(Job job, List<Machine> candidates, long nowMicros) {
        Resources each = job.spec.taskResources();
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
                    || !each.plus(replicas).fitsIn(machine.capacity())) {
                continue;
            }
            boolean fits = each.fitsIn(machine.freeCapacity());
            long score = replicas.cpus() + (fits ? 2 * each.cpus() : 0);
            if (score > bestScore && (fits || canEvictCheaply(job, machine, nowMicros))) {
                best = machine;
                bestScore = score;
            }
        }
        if (best != null && !each.fitsIn(best.freeCapacity())) {
            evict(job, victims(job, best), nowMicros);
        }
        return best;
    }

    private boolean canEvictCheaply(Job job, Machine machine, long nowMicros) {
        List<Placement> victims = victims(job, machine);
        return victims != null && lossMicros(victims, nowMicros) < MAX_CHEAP_LOSS_MICROS;
    }

    /** Fills one machine after another: each further one has to fetch the image and to be recorded. */
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
                    open.removeIf(each -> !minTaskResources.fitsIn(each.freeCapacity()));
                    return;
                }
                placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
            }
        }
        open.removeIf(each -> !minTaskResources.fitsIn(each.freeCapacity()));
    }

    /** Whether there can be work that a task of this job may displace. */
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
     * Takes the room of lesser work: those attempts first that have run for the shortest time, where the image is. The
     * room that comes free by itself serves most of a job, so a team that waits for its guarantee takes a part at a
     * time: taking all at once lost one start in ten, and some tasks were started fifteen times.
     */
    private void preempt(JobQueue.QueuedJob queued, List<Machine> candidates, long nowMicros) {
        Job job = queued.job();
        int left = job.pendingCount();
        if (job.priority() == Priority.NORMAL) {
            long until = job.readyMicros + guaranteeWaitMicros * 3 / 2 - nowMicros;
            left = (int)
                    Math.ceil(left * PREEMPTION_INTERVAL_MICROS / (double) Math.max(PREEMPTION_INTERVAL_MICROS, until));
        }
        record Option(Machine machine, boolean image, long loss) {}
        List<Option> options = new ArrayList<>();
        for (Machine machine : candidates) {
            List<Placement> victims = victims(job, machine, queued.isGuaranteed());
            if (victims != null) {
                options.add(new Option(machine, hasImage(machine, job), lossMicros(victims, nowMicros)));
            }
        }
        options.sort(Comparator.comparing((Option option) -> !option.image()).thenComparing(Option::loss));
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

    /** All missing tasks of a gang at once, or none: a part of it would hold its places for nothing. */
    private void placeGang(Job job, int missing, List<Machine> all, boolean preempts, long nowMicros) {
        JobSpec spec = job.spec;
        Team team = settings.teams().get(spec.team());
        boolean ended = job.gangAttemptEnded || (job.gangStarted && !job.liveAttempts.isEmpty());
        if (ended
                || (team != null
                        && !team.isWithinLimit(placements
                                .teamUsage(spec.team())
                                .plus(unreconciledUsage.getOrDefault(spec.team(), Resources.NONE))
                                .plus(spec.taskResources().times(missing))))) {
            return;
        }
        Map<String, Long> perZone = new HashMap<>();
        for (Machine machine : all) {
            Resources room = machine.freeCapacity();
            if (preempts) {
                for (Placement placement : machine.placements) {
                    if (!placement.isStopping() && isEvictable(placement, job)) {
                        room = room.plus(placement.job.spec.taskResources());
                    }
                }
            }
            perZone.merge(machine.zone, spec.taskResources().timesFittingIn(room), Long::sum);
        }
        List<Machine> candidates = all;
        if (spec.singleZone()) {
            String zone = job.liveAttempts.isEmpty()
                    ? null
                    : job.liveAttempts.values().iterator().next().get(0).machine.zone;
            for (Map.Entry<String, Long> entry : perZone.entrySet()) {
                if (zone == null && entry.getValue() >= missing) {
                    zone = entry.getKey();
                }
            }
            String chosen = zone;
            candidates =
                    all.stream().filter(machine -> machine.zone.equals(chosen)).toList();
            if (chosen == null || perZone.getOrDefault(chosen, 0L) < missing) {
                return;
            }
        } else {
            long fits = 0;
            for (long count : perZone.values()) {
                fits += Math.min(count, spec.maxTasksPerZone());
            }
            if (fits < missing) {
                return;
            }
        }
        for (int i = 0; i < missing; i++) {
            int index = job.nextPendingTask();
            Machine machine = index < 0 ? null : chooseMachine(job, candidates, preempts, nowMicros);
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

    private Machine chooseMachine(Job job, List<Machine> candidates, boolean preempts, long nowMicros) {
        JobSpec spec = job.spec;
        Machine with = null;
        Machine without = null;
        for (Machine machine : candidates) {
            if (spec.taskResources().fitsIn(machine.freeCapacity()) && isWithinZoneLimit(job, machine)) {
                if (machine.images.containsKey(spec.image())) {
                    with = with == null || LEAST_FREE_CAPACITY.compare(machine, with) < 0 ? machine : with;
                } else {
                    without = without == null || MOST_FREE_CAPACITY.compare(machine, without) < 0 ? machine : without;
                }
            }
        }
        if (with != null) {
            return with;
        }
        boolean longFetch = without != null && fetchMicros(without, spec) > LONG_FETCH_MICROS;
        if (preempts && (without == null || longFetch)) {
            List<Placement> cheapest = null;
            Machine there = null;
            long least = Long.MAX_VALUE;
            for (Machine machine : candidates) {
                if ((without == null || machine.images.containsKey(spec.image())) && isWithinZoneLimit(job, machine)) {
                    List<Placement> victims = victims(job, machine);
                    long loss = victims == null
                            ? Long.MAX_VALUE
                            : lossMicros(victims, nowMicros)
                                    + (machine.images.containsKey(spec.image()) ? 0 : fetchMicros(machine, spec));
                    if (loss < least) {
                        least = loss;
                        cheapest = victims;
                        there = machine;
                    }
                }
            }
            if (there != null) {
                evict(job, cheapest, nowMicros);
                return there;
            }
            if (without == null) {
                stopCheckpointingWork(job, candidates, nowMicros);
            }
        }
        return without;
    }

    /** Work that saves needs time to end; its room is taken once it is there. */
    private void stopCheckpointingWork(Job job, List<Machine> candidates, long nowMicros) {
        if (job.capacityAwaitedUntilMicros > nowMicros) {
            return;
        }
        for (Machine machine : candidates) {
            Resources room = machine.freeCapacity();
            List<Placement> victims = new ArrayList<>();
            for (Placement placement : machine.placements) {
                JobSpec theirs = placement.job.spec;
                if (!job.spec.taskResources().fitsIn(room)
                        && theirs.kind() != JobKind.SERVICE
                        && !placement.isStopping()
                        && job.priority().isAbove(placement.job.priority())) {
                    victims.add(placement);
                    room = room.plus(theirs.taskResources());
                }
            }
            if (!victims.isEmpty() && job.spec.taskResources().fitsIn(room)) {
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
                if (placement.machine.zone == null || !placement.machine.zone.equals(machine.zone)) {
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
        long loss = 0;
        for (Placement victim : victims) {
            if (!victim.isUnsent()) {
                loss += Micros.SECOND + nowMicros - victim.createdMicros;
            }
        }
        return loss;
    }

    /** Lesser work that ends at once when it is stopped, so that a start in the same answer finds room; or null. */
    private List<Placement> victims(Job job, Machine machine) {
        return victims(job, machine, true);
    }

    /** @param same whether work of the same priority beyond its team's guarantee may be among them */
    private List<Placement> victims(Job job, Machine machine, boolean same) {
        List<Placement> victims = new ArrayList<>();
        Resources room = machine.freeCapacity();
        List<Placement> lesser = new ArrayList<>();
        for (Placement placement : machine.placements) {
            if (placement.isStopping() && placement.stopGraceMicros == 0) {
                // Stopped for others that were placed here since: without this each further task displaced more.
                room = room.plus(placement.job.spec.taskResources());
            } else if (!placement.isStopping() && isEvictable(placement, job)) {
                lesser.add(placement);
            }
        }
        lesser.sort(Comparator.comparing((Placement p) -> !p.isUnsent()).thenComparing(p -> -p.createdMicros));
        Map<String, Resources> taken = new HashMap<>();
        for (Placement placement : lesser) {
            if (job.spec.taskResources().fitsIn(room)) {
                break;
            }
            if (!placement.job.priority().equals(job.priority()) || (same && exceedsGuarantee(placement, taken))) {
                victims.add(placement);
                room = room.plus(placement.job.spec.taskResources());
                taken.merge(placement.job.spec.team(), placement.job.spec.taskResources(), Resources::plus);
            }
        }
        return job.spec.taskResources().fitsIn(room) ? victims : null;
    }

    private boolean isEvictable(Placement placement, Job job) {
        JobSpec theirs = placement.job.spec;
        if (theirs.kind() == JobKind.GANG || theirs.checkpointIntervalMicros() > 0) {
            return false;
        }
        return job.priority().isAbove(placement.job.priority())
                || (!theirs.team().equals(job.spec.team())
                        && theirs.kind() == JobKind.ARRAY
                        && job.priority() == placement.job.priority());
    }

    private boolean exceedsGuarantee(Placement placement, Map<String, Resources> taken) {
        Team team = settings.teams().get(placement.job.spec.team());
        if (team == null) {
            return true;
        }
        Resources use = placements.teamUsage(team.name()).minus(taken.getOrDefault(team.name(), Resources.NONE));
        return !team.isWithinGuarantee(use);
    }
}
