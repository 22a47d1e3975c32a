package io.micatide.scheduler;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.micatide.model.CloudCall;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Which machines to rent and to return, and the calls for it, paced under the cloud's rate. */
final class Autoscaler {
    private static final long PLAN_EVERY_MICROS = 500 * Micros.MILLISECOND;
    private static final long FETCH_MICROS = 5 * Micros.SECOND;
    private static final long LATE_MICROS = 60 * Micros.SECOND;
    /** The cloud's own limit: a fleet of hundreds in tens took 20 s to rent, and its boots began as late. */
    private static final int MOST_PER_CALL = 50;
    /** Boots usually take up to one and a half times the type's time. */
    private static final double LATE_BOOT = 1.6;
    /** A zone reports when at least one in so many of its machines does. */
    private static final int REPORTS_SHARE = 2;
    /** A job of which nothing runs and that no machine here suits is rented for by itself after so long. */
    private static final long STARVES_MICROS = 20 * Micros.SECOND;

    private static final long PRICES_EVERY_MICROS = 60 * Micros.SECOND;

    private final Settings settings;
    private final Tuning tuning;
    private final Fleet fleet;
    private final ProvisioningRequests rentals;
    private final PlacementPlanner planner;
    private final MachineDeletions returns;
    private long plannedMicros = Long.MIN_VALUE / 2;
    private long listAskedMicros = Long.MIN_VALUE / 2;
    private boolean listing;
    private long typesAskedMicros = Long.MIN_VALUE / 2;
    private boolean noteFirstTerm;
    private long nothingWaitsSinceMicros = Long.MAX_VALUE;

    Autoscaler(
            Settings settings,
            Tuning tuning,
            Fleet fleet,
            ProvisioningRequests rentals,
            PlacementPlanner planner,
            MachineDeletions returns) {
        this.settings = settings;
        this.tuning = tuning;
        this.fleet = fleet;
        this.rentals = rentals;
        this.planner = planner;
        this.returns = returns;
    }

    /** No leader before this one has placed anything. */
    void noteFirstTerm() {
        noteFirstTerm = true;
    }

    void plan(long nowMicros, long termStartMicros) {
        if (nowMicros - plannedMicros < PLAN_EVERY_MICROS
                || fleet.machineTypes().isEmpty()) {
            return;
        }
        plannedMicros = nowMicros;
        markDead(nowMicros, termStartMicros);
        // A new leader first hears from the workers: what waits may be running. Where no ledger was found nothing does.
        long hears = noteFirstTerm
                ? 5 * settings.heartbeatIntervalMicros() / 4
                : 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
        if (nowMicros - termStartMicros > hears) {
            boolean need = rent(nowMicros);
            returnIdle(nowMicros, need);
        }
    }

    /** Machines that fell silent, failed or never came up are given back. */
    private void markDead(long nowMicros, long termStartMicros) {
        int silent = 0;
        int up = 0;
        int mute = 0;
        List<Machine> quiet = new ArrayList<>();
        List<Machine> dead = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            MachineType type =
                    machine.type == null ? null : fleet.machineTypes().get(machine.type);
            long heard = Math.max(termStartMicros, machine.lastHeartbeatMicros);
            if (machine.awaitedAfterFailover
                    && !machine.deletionRequested
                    && nowMicros - heard > quietMicros() + Micros.SECOND) {
                quiet.add(machine);
            }
            if (machine.lastHeartbeatMicros >= 0) {
                up++;
                if (machine.reconciled
                        && !machine.deletionRequested
                        && nowMicros - machine.lastHeartbeatMicros > quietMicros()) {
                    quiet.add(machine);
                }
                if (nowMicros - machine.lastHeartbeatMicros > settings.workerLeaseExpiryMicros()) {
                    silent++;
                    if (nowMicros - machine.lastHeartbeatMicros > 4 * settings.workerLeaseExpiryMicros()
                            || !machine.reconciled) {
                        dead.add(machine);
                    }
                }
            } else if (machine.bootStartedMicros >= 0) {
                long boot = type == null ? 60 * Micros.SECOND : type.bootMicros();
                if (nowMicros - machine.bootStartedMicros > 4 * boot + 20 * Micros.SECOND) {
                    dead.add(machine);
                }
            } else if (nowMicros - Math.max(termStartMicros, machine.knownSinceMicros)
                    > settings.workerLeaseExpiryMicros() + 2 * settings.heartbeatIntervalMicros()) {
                mute++;
                dead.add(machine);
            }
        }
        // Nearly all silent at once: it is we who are cut off, and the machines may be fine. That holds for a new
        // leader too
        // that no worker has reached yet: one once returned all 334 machines 15 s after its claim.
        if ((silent + mute) * 2 > up + mute && silent + mute > 2) {
            return;
        }
        for (Machine machine : dead) {
            machine.deletionRequested = true;
        }
        // One machine alone that says nothing has hung or lost its network, and most likely loses its tasks: once its
        // deletion is answered they may start elsewhere, some seconds before its lease is certainly over.
        // The same holds for one that a ledger names and that has not found a new leader while all others have.
        boolean few = quiet.size() <= Math.max(1, up / 20);
        Set<String> heard = quiet.isEmpty() || few ? Set.of() : zonesThatReport(nowMicros);
        for (Machine machine : quiet) {
            // Not for tasks of arrays alone: a machine that hangs is there again before another one has booted.
            machine.deletionRequested |= (few || (machine.zone != null && heard.contains(machine.zone)))
                    && (machine.awaitedAfterFailover || hasReplica(machine));
        }
    }

    /**
     * Zones of which most machines have reported just now: what is silent there is not cut off with its zone, nor are we from it. A tenth of
     * a fleet that died at once was neither one machine nor most of them, and its tasks waited until the lease of each was certainly over:
     * 17.8 s, and 24 s after a take-over, while all jobs that it held up waited with processors free around them.
     */
    private Set<String> zonesThatReport(long nowMicros) {
        Multiset<String> known = HashMultiset.create();
        Multiset<String> heard = HashMultiset.create();
        for (Machine machine : fleet.machines()) {
            if (machine.zone != null
                    && !machine.deletionRequested
                    && (machine.lastHeartbeatMicros >= 0 || machine.awaitedAfterFailover)) {
                known.add(machine.zone);
                if (machine.lastHeartbeatMicros >= 0 && nowMicros - machine.lastHeartbeatMicros < quietMicros() / 2) {
                    heard.add(machine.zone);
                }
            }
        }
        return known.elementSet().stream()
                .filter(zone -> heard.count(zone) * REPORTS_SHARE >= known.count(zone))
                .collect(Collectors.toSet());
    }

    private long quietMicros() {
        return 4 * Micros.SECOND + 2 * settings.heartbeatIntervalMicros();
    }

    private static boolean hasReplica(Machine machine) {
        for (Placement placement : machine.placements) {
            if (placement.job.spec.kind() == JobKind.SERVICE) {
                return true;
            }
        }
        return false;
    }

    private boolean coming(Machine machine, long nowMicros) {
        if (machine.deletionRequested || machine.lastHeartbeatMicros >= 0 || machine.capacity() == null) {
            return false;
        }
        MachineType type = fleet.machineTypes().get(machine.type);
        return machine.bootStartedMicros >= 0 && nowMicros - machine.bootStartedMicros < 2 * type.bootMicros();
    }

    /** Rents what is missing; returns whether anything waits that more machines would help. */
    private boolean rent(long nowMicros) {
        Resources comingOrdinary = Resources.NONE;
        Resources comingSpot = Resources.NONE;
        for (Machine machine : fleet.machines()) {
            boolean unconfirmed = !machine.reconciled
                    && machine.lastHeartbeatMicros >= 0
                    && machine.capacity() != null
                    && !machine.deletionRequested
                    && machine.isResponsive(nowMicros, settings);
            if (coming(machine, nowMicros) || unconfirmed) {
                if (machine.spot) {
                    comingSpot = comingSpot.plus(machine.freeCapacity());
                } else {
                    comingOrdinary = comingOrdinary.plus(machine.freeCapacity());
                }
            }
        }
        for (ProvisioningRequests.Request booking : rentals.requests.values()) {
            MachineType type = fleet.machineTypes().get(booking.type);
            if (booking.state != ProvisioningRequests.State.DONE && type != null) {
                Resources size = type.resources().times(booking.count);
                if (booking.spot) {
                    comingSpot = comingSpot.plus(size);
                } else {
                    comingOrdinary = comingOrdinary.plus(size);
                }
            }
        }
        boolean need = rentForServices(comingOrdinary, nowMicros);
        need |= rentForArrays(comingOrdinary.plus(comingSpot), nowMicros);
        return rentForStarving(nowMicros) || need;
    }

    /**
     * Arrays are rented for together, by their processors and for the largest of them. One that is bound to a zone, to a type or to ordinary
     * machines may find none among those that it can use, and waited for as long as there was larger work, or machines that stood idle
     * elsewhere; so did one whose last machine in its zone was lost.
     */
    private boolean rentForStarving(long nowMicros) {
        boolean need = false;
        Map<EquivalenceClass, Boolean> served = new HashMap<>();
        for (JobQueue.QueuedJob queued : planner.order()) {
            Job job = queued.job();
            if (job.spec.kind() == JobKind.ARRAY
                    && job.liveAttempts.isEmpty()
                    && !job.quarantined
                    && planner.isStartable(job, nowMicros)
                    && nowMicros - Math.max(job.readyMicros, job.lastStartMicros) > STARVES_MICROS
                    && !served.computeIfAbsent(EquivalenceClass.of(job.spec), shape -> anyMayUse(shape, nowMicros))) {
                int count = planner.tasksWithinLimit(job, queued.pendingTasks(), Resources.NONE);
                if (count > 0) {
                    need = true;
                    rentFor(job.spec, count, nowMicros);
                }
            }
        }
        return need;
    }

    private boolean anyMayUse(EquivalenceClass shape, long nowMicros) {
        for (Machine machine : fleet.machines()) {
            if (mayUse(shape, machine, nowMicros)) {
                return true;
            }
        }
        return false;
    }

    /** Whether jobs of this shape could ever run there, full as the machine may be now. */
    private boolean mayUse(EquivalenceClass shape, Machine machine, long nowMicros) {
        return machine.capacity() != null
                && !machine.deletionRequested
                && !machine.quarantined
                && (machine.isSchedulable(nowMicros, settings) || coming(machine, nowMicros) || !machine.reconciled)
                && shape.allowsMachine(machine)
                && shape.each().fitsIn(machine.capacity());
    }

    /** Replicas and gangs want their room now; it is what they take and nothing more. */
    private boolean rentForServices(Resources ordinary, long nowMicros) {
        boolean need = false;
        Map<JobSpec, Integer> missing = new LinkedHashMap<>();
        Map<String, Resources> planned = new HashMap<>();
        Resources left = ordinary;
        for (JobQueue.QueuedJob queued : planner.order()) {
            JobSpec spec = queued.job().spec;
            if (spec.kind() == JobKind.ARRAY || queued.job().hasUnreconciledMachines() || queued.job().quarantined) {
                continue;
            }
            // What its team's limit keeps from running needs no machine: one was rented, and all idle ones kept, for as
            // long as it waited.
            Resources others = planned.getOrDefault(spec.team(), Resources.NONE);
            int count = planner.tasksWithinLimit(queued.job(), queued.pendingTasks(), others);
            planned.put(spec.team(), others.plus(spec.taskResources().times(count)));
            long fits = Math.min(count, spec.taskResources().timesFittingIn(left));
            left = left.minus(spec.taskResources().times(fits));
            count -= (int) fits;
            if (count > 0) {
                need = true;
                missing.merge(shape(spec), count, Integer::sum);
            }
        }
        missing.forEach((spec, count) -> rentFor(spec, count, nowMicros));
        return need;
    }

    /** Jobs that can use the same machines are rented for together. */
    private static JobSpec shape(JobSpec spec) {
        return new JobSpec(
                "",
                "",
                "",
                JobKind.SERVICE,
                Priority.NORMAL,
                1,
                spec.taskResources(),
                "",
                0,
                spec.machineTypes(),
                spec.zone(),
                false,
                false,
                spec.spotAllowed(),
                0,
                0,
                0,
                -1);
    }

    /** Work that ends wants as many processors as make it ready in time. */
    private boolean rentForArrays(Resources coming, long nowMicros) {
        List<DeadlineFeasibility.Entry> entries = planner.queue().arrays(nowMicros);
        Map<String, Resources> perTeam = new HashMap<>();
        for (DeadlineFeasibility.Entry entry : entries) {
            perTeam.merge(
                    entry.job.spec.team(),
                    entry.job.spec.taskResources().times(entry.job.unfinishedCount()),
                    Resources::plus);
        }
        double useful = 0;
        for (Map.Entry<String, Resources> entry : perTeam.entrySet()) {
            Team team = settings.teams().get(entry.getKey());
            long most = team == null || team.maxCpus() == 0 ? Long.MAX_VALUE : team.maxCpus();
            useful += Math.min(most, entry.getValue().cpus());
        }
        double there = planner.queue().arrayCpus(nowMicros) + coming.cpus();
        double wanted = DeadlineFeasibility.requiredCpus(entries, FETCH_MICROS, LATE_MICROS, nowMicros);
        // More processors than tasks that may run at once are of no use.
        double missing = Math.min(wanted, useful) - there;
        if (missing <= 0) {
            return false;
        }
        DeadlineFeasibility.Entry largest = null;
        for (DeadlineFeasibility.Entry entry : entries) {
            if (!entry.job.hasUnreconciledMachines()
                    && (largest == null || entry.remainingWork > largest.remainingWork)) {
                largest = entry;
            }
        }
        if (largest == null) {
            return false;
        }
        JobSpec spec = largest.job.spec;
        rentFor(spec, (int) Math.ceil(missing / Math.max(1, spec.taskResources().cpus())), nowMicros);
        return true;
    }

    /** Rents the cheapest that suits. */
    private void rentFor(JobSpec spec, int count, long nowMicros) {
        ProvisioningRequests.Offer best = null;
        double bestPrice = Double.MAX_VALUE;
        long bestPer = 0;
        Map<String, Integer> perZone = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            perZone.merge(String.valueOf(machine.zone), 1, Integer::sum);
        }
        for (MachineType type : fleet.machineTypes().values()) {
            long per = spec.taskResources().timesFittingIn(type.resources());
            if (per == 0) {
                continue;
            }
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    ProvisioningRequests.Offer offer = new ProvisioningRequests.Offer(type.name(), zone, spot);
                    if (!spec.allowsMachine(type.name(), zone, spot)
                            || rentals.isBackedOff(offer, nowMicros)
                            || rentals.expectedMachines(offer) > 0) {
                        continue;
                    }
                    double price =
                            type.priceOf(spot) / Math.min(per, count) * (1 + 0.001 * perZone.getOrDefault(zone, 0));
                    if (price < bestPrice) {
                        bestPrice = price;
                        best = offer;
                        bestPer = per;
                    }
                }
            }
        }
        if (best != null) {
            long machines = spec.kind() == JobKind.ARRAY ? count / bestPer : (count + bestPer - 1) / bestPer;
            rentals.create(best, (int) Math.max(1, Math.min(MOST_PER_CALL, machines)), nowMicros);
        }
    }

    /**
     * While something waits that more machines would help, only those go that nothing of it may use: as long as a gang waited for ordinary
     * machines, spot machines stood idle, and where they had taken all that the cloud has, the gang waited for ever.
     */
    private void returnIdle(long nowMicros, boolean need) {
        Set<EquivalenceClass> waiting = new LinkedHashSet<>();
        planner.order().forEach(queued -> waiting.add(EquivalenceClass.of(queued.job().spec)));
        for (Machine machine : fleet.machines()) {
            if (machine.reconciled
                    && !machine.deletionRequested
                    && machine.placements.isEmpty()
                    && machine.idleSinceMicros >= 0
                    && (nowMicros - machine.idleSinceMicros > tuning.idleMachineMicros()
                            || (machine.quarantined && !need))
                    && (!need || waiting.stream().noneMatch(shape -> mayUse(shape, machine, nowMicros)))) {
                machine.deletionRequested = true;
            }
        }
        if (!need) {
            returnLate(nowMicros);
        }
    }

    /**
     * Nothing has waited for a while, and a machine that should be up by now is not: what it was rented for has been done elsewhere. Such
     * machines came up after the burst, stood idle and went back without ever having worked (inc-3431).
     */
    private void returnLate(long nowMicros) {
        if (!planner.order().stream().allMatch(queued -> queued.job().quarantined)) {
            nothingWaitsSinceMicros = Long.MAX_VALUE;
            return;
        }
        nothingWaitsSinceMicros = Math.min(nothingWaitsSinceMicros, nowMicros);
        if (nowMicros - nothingWaitsSinceMicros < tuning.idleMachineMicros() / 4) {
            return;
        }
        for (Machine machine : fleet.machines()) {
            MachineType type =
                    machine.type == null ? null : fleet.machineTypes().get(machine.type);
            if (type != null
                    && !machine.deletionRequested
                    && machine.lastHeartbeatMicros < 0
                    && machine.bootStartedMicros >= 0
                    && !machine.awaitedAfterFailover
                    && nowMicros - machine.bootStartedMicros > LATE_BOOT * type.bootMicros()) {
                machine.deletionRequested = true;
            }
        }
    }

    /** The calls that are due. */
    List<CloudCall> nextCalls(long nowMicros) {
        List<CloudCall> result = new ArrayList<>();
        for (ProvisioningRequests.Request booking : rentals.requestsToSubmit()) {
            booking.sinceMicros = nowMicros;
            result.add(new CloudCall.Rent(booking.name, booking.type, booking.zone, booking.spot, booking.count));
        }
        List<String> names = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            if (machine.deletionRequested
                    && names.size() < 100
                    && returns.mayRequest(machine)
                    && (machine.deletionRequestedMicros < 0
                            || nowMicros - machine.deletionRequestedMicros > 3 * Micros.SECOND)) {
                machine.deletionRequestedMicros = nowMicros;
                names.add(machine.name);
            }
        }
        if (!names.isEmpty()) {
            result.add(new CloudCall.Delete(names));
        }
        if (!listing && nowMicros - listAskedMicros > settings.listLagMicros() / 2) {
            listAskedMicros = nowMicros;
            listing = true;
            result.add(new CloudCall.ListMachines());
        }
        if (nowMicros - typesAskedMicros > (fleet.machineTypes().isEmpty() ? 2 * Micros.SECOND : PRICES_EVERY_MICROS)) {
            typesAskedMicros = nowMicros;
            result.add(new CloudCall.ListTypes());
        }
        return result;
    }

    void machinesRented(String name, List<String> machines, long nowMicros) {
        ProvisioningRequests.Request booking = rentals.requests.get(name);
        if (booking == null) {
            return;
        }
        rentals.answered(booking, machines.size(), nowMicros);
        for (String each : machines) {
            if (!fleet.isDeleted(each)) {
                Machine machine = fleet.getOrAdd(each, nowMicros);
                if (machine.type == null) {
                    fleet.describe(machine, booking.type, booking.zone, booking.spot);
                }
                machine.bootStartedMicros = nowMicros;
            }
        }
    }

    void noCapacity(String name, long nowMicros) {
        ProvisioningRequests.Request booking = rentals.requests.get(name);
        if (booking != null) {
            rentals.noCapacity(booking, nowMicros);
        }
    }

    void requestUnanswered(String name, long nowMicros) {
        ProvisioningRequests.Request booking = rentals.requests.get(name);
        if (booking != null) {
            rentals.outcomeUnknown(booking, nowMicros);
        }
    }

    void requestNotExecuted(String name) {
        ProvisioningRequests.Request booking = rentals.requests.get(name);
        if (booking != null) {
            booking.state = ProvisioningRequests.State.CLAIMED;
        }
    }

    /** A whole list, or null after a failed call. Machines that nobody expected are used, or returned when idle. */
    void machinesListed(List<ListedMachine> machines, long askedMicros, long nowMicros) {
        listing = false;
        if (machines == null) {
            return;
        }
        Set<String> names = new HashSet<>();
        for (ListedMachine listed : machines) {
            names.add(listed.name());
            if (fleet.isDeleted(listed.name())) {
                continue;
            }
            Machine machine = fleet.getOrAdd(listed.name(), nowMicros);
            machine.listedByCloud = true;
            if (machine.type == null) {
                fleet.describe(machine, listed.type(), listed.zone(), listed.spot());
            }
            if (machine.bootStartedMicros < 0
                    && machine.lastHeartbeatMicros < 0
                    && listed.state() == ListedMachine.State.BOOTING) {
                machine.bootStartedMicros = nowMicros - listed.ageMicros();
            }
            if (listed.state() == ListedMachine.State.FAILED) {
                machine.deletionRequested = true;
            }
        }
        for (Machine machine : fleet.machines()) {
            boolean silent = machine.lastHeartbeatMicros >= 0
                    && nowMicros - machine.lastHeartbeatMicros > settings.workerLeaseExpiryMicros();
            // A ledger names it, nobody has heard of it, and a list from well after the term began does not have it.
            boolean neverThere = machine.lastHeartbeatMicros < 0
                    && machine.bootStartedMicros < 0
                    && askedMicros - machine.knownSinceMicros > 2 * settings.listLagMicros() + 5 * Micros.SECOND;
            if (((machine.listedByCloud && silent) || neverThere) && !names.contains(machine.name)) {
                machine.deletionRequested = true;
            }
        }
        rentals.listed(askedMicros);
    }
}
