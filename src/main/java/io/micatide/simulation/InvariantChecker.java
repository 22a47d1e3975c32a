package io.micatide.simulation;

import io.micatide.model.ExitCause;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Team;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Holds what workers did and what users were told against the protocol's rules. Knows nothing of the service: whatever serves can be
 * checked. A task is counted from its start to its end as its machine sees it. Times in microseconds.
 */
public final class InvariantChecker implements SimulatedWorker.Witness {
    /** What a user has been told of a job, in the order in which nothing may follow that is further left. */
    private enum Told {
        NOTHING,
        ACCEPTED,
        CANCELLED,
        DONE
    }

    private static final class Job {
        final int tasks;
        final boolean service;
        final Set<Integer> finished = new HashSet<>();
        Told told = Told.NOTHING;
        boolean cancelAsked;
        long cancelledMicros = NEVER;
        boolean late;
        /** When its user first heard that it is accepted, and that it is over. */
        long toldMicros = NEVER;

        long overMicros = NEVER;
        /** Since when its user has asked without an answer. */
        long waitsMicros = NEVER;

        boolean forgotten;
        /** It lacks a field or fits nowhere: whoever accepts it is wrong. */
        boolean invalid;

        boolean waitedTooLong;
        /** Since when it has waited beside room that fits. */
        long besideRoomMicros = NEVER;

        JobSpec spec;

        Job(int tasks, boolean service) {
            this.tasks = tasks;
            this.service = service;
        }

        boolean isOver() {
            return told == Told.DONE || told == Told.CANCELLED;
        }
    }

    private static final long NEVER = Long.MAX_VALUE / 2;
    private static final long UNANSWERED_MICROS = 75 * Micros.SECOND;
    private static final long BESIDE_ROOM_MICROS = 90 * Micros.SECOND;

    private record Run(String machine, long attempt) {}

    /** What holds a part of a machine: fetching, waiting, running, stopping; hung and cut off as well. */
    private record Held(JobSpec spec, SimulatedCloud.RentedMachine machine) {}

    private final LongSupplier clock;
    private final long cancelMicros;
    private long calmMicros = NEVER;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, Run> running = new HashMap<>();
    /** The tasks that are running, by job: a start is checked against its own job's others only. */
    private final Map<String, Set<String>> runningOf = new HashMap<>();

    private final List<String> violations = new ArrayList<>();
    private int starts;
    private int startsAfterCancellation;
    private final Map<String, Team> teams;
    /** By task, attempt and machine. */
    private final Map<String, Held> held = new LinkedHashMap<>();

    /** The tasks that hold a part of a machine, by job, with how many attempts of each do. */
    private final Map<String, Map<String, Integer>> heldOf = new HashMap<>();

    private final Map<String, Resources> taken = new HashMap<>();
    private final Map<String, Resources> used = new HashMap<>();
    private Supplier<Collection<SimulatedCloud.RentedMachine>> machines = List::of;

    /** @param cancelMicros how long tasks of a cancelled job may be on machines */
    public InvariantChecker(VirtualTime time, long cancelMicros) {
        this(time::now, cancelMicros, Map.of());
    }

    /** @param teams the limits that are held, by name */
    public InvariantChecker(VirtualTime time, long cancelMicros, Map<String, Team> teams) {
        this(time::now, cancelMicros, teams);
    }

    /**
     * @param clock steady, in microseconds; never before the first thing that is told of
     * @param teams the limits that are held, by name
     */
    public InvariantChecker(LongSupplier clock, long cancelMicros, Map<String, Team> teams) {
        this.clock = clock;
        this.cancelMicros = cancelMicros;
        this.teams = teams;
    }

    /** Which machines are up: who waits beside room on one of them once all troubles are over? */
    public void machines(Supplier<Collection<SimulatedCloud.RentedMachine>> up) {
        machines = up;
    }

    /** Starts of jobs whose users had been told before that they are cancelled; commands that were on their way are among them. */
    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    /** Rules broken so far, each with what broke it. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    public int starts() {
        return starts;
    }

    /** How many tasks of a job are on machines now. */
    public int running(String job) {
        return runningOf.getOrDefault(job, Set.of()).size();
    }

    /** Machines on which tasks of a job are now. */
    public Set<String> machinesOf(String job) {
        Set<String> names = new TreeSet<>();
        runningOf
                .getOrDefault(job, Set.of())
                .forEach(task -> names.add(running.get(task).machine()));
        return names;
    }

    public int running() {
        return running.size();
    }

    private void broke(String rule, String what) {
        violations.add(String.format("%s %s at %.3f s", rule, what, clock.getAsLong() / 1e6));
    }

    // ---- machines

    private static String key(String task, long attempt, String machine) {
        return task + "@" + attempt + " " + machine;
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    @Override
    public void startAccepted(JobSpec spec, String task, long attempt, SimulatedCloud.RentedMachine machine) {
        if (held.put(key(task, attempt, machine.name()), new Held(spec, machine)) != null) {
            return;
        }
        heldOf.computeIfAbsent(spec.id(), k -> new HashMap<>()).merge(task, 1, Integer::sum);
        taken.merge(machine.name(), spec.taskResources(), Resources::plus);
        Resources all = used.merge(spec.team(), spec.taskResources(), Resources::plus);
        Team team = teams.get(spec.team());
        if (team != null && !team.isWithinLimit(all)) {
            broke("quota", spec.team() + " uses " + all + " of " + team + " with " + task + " on " + machine.name());
        }
    }

    @Override
    public void resourcesReleased(String task, long attempt, SimulatedCloud.RentedMachine machine) {
        Held gone = held.remove(key(task, attempt, machine.name()));
        if (gone != null) {
            Resources freed = Resources.NONE.minus(gone.spec().taskResources());
            used.merge(gone.spec().team(), freed, Resources::plus);
            taken.merge(machine.name(), freed, Resources::plus);
            heldOf.get(gone.spec().id()).computeIfPresent(task, (name, attempts) -> attempts > 1 ? attempts - 1 : null);
        }
    }

    /** What is on machines of the same job decides where a further task of it may start. */
    private void checkPlace(String task, long attempt, String machine) {
        Held mine = held.get(key(task, attempt, machine));
        if (mine == null) {
            return;
        }
        JobSpec spec = mine.spec();
        SimulatedCloud.RentedMachine there = mine.machine();
        if (!spec.allowsMachine(there.type().name(), there.zone(), there.spot())) {
            broke(
                    "wrong_place",
                    task + " on " + there.type().name() + " in " + there.zone() + (there.spot() ? " (spot)" : ""));
        }
        int together = 0;
        boolean apart = false;
        for (String other : runningOf.getOrDefault(spec.id(), Set.of())) {
            Run run = running.get(other);
            Held at = held.get(key(other, run.attempt(), run.machine()));
            boolean same = at != null && at.machine().zone().equals(there.zone());
            together += same ? 1 : 0;
            apart |= at != null && !same;
        }
        if (spec.singleZone() && apart) {
            broke("wrong_place", task + " in " + there.zone() + " apart from its job");
        }
        if (together > spec.maxTasksPerZone()) {
            broke("wrong_place", task + " is one of " + together + " in " + there.zone() + ", of " + spec.taskCount());
        }
    }

    @Override
    public void taskStarted(String task, long attempt, String machine) {
        starts++;
        Run other = running.put(task, new Run(machine, attempt));
        runningOf.computeIfAbsent(jobOf(task), k -> new HashSet<>()).add(task);
        if (other != null) {
            broke("ran_twice", task + " on " + other.machine() + " and " + machine);
        }
        checkPlace(task, attempt, machine);
        Job job = jobs.get(jobOf(task));
        if (job == null) {
            broke("invented", task);
            return;
        }
        startsAfterCancellation += clock.getAsLong() > job.cancelledMicros ? 1 : 0;
        if (clock.getAsLong() > job.cancelledMicros + cancelMicros) {
            broke("ran_cancelled", task + " starts");
        }
    }

    @Override
    public void taskEnded(String task, long attempt, String machine, ExitCause cause) {
        if (running.getOrDefault(task, new Run("", 0)).equals(new Run(machine, attempt))) {
            running.remove(task);
            runningOf.get(jobOf(task)).remove(task);
        }
        if (cause == ExitCause.DONE) {
            jobs.get(jobOf(task)).finished.add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
        }
    }

    /** All troubles are over: from now on every job that was accepted has to be answered about. */
    public void faultsEnded() {
        calmMicros = clock.getAsLong();
    }

    /** To be called often: what should be gone by now, and who has waited for too long for an answer? */
    public void check() {
        jobs.forEach((id, job) -> {
            if (job.told != Told.NOTHING
                    && !job.forgotten
                    && clock.getAsLong() > Math.max(calmMicros, job.waitsMicros) + UNANSWERED_MICROS) {
                broke("forgotten", id + " has been asked for in vain");
                job.forgotten = true;
            }
            lookBesideRoom(id, job);
        });
        for (String task : running.keySet()) {
            Job job = jobs.get(jobOf(task));
            if (job != null && !job.late && clock.getAsLong() > job.cancelledMicros + cancelMicros) {
                broke("ran_cancelled", task + " is still there");
                job.late = true;
            }
        }
    }

    /** Tasks that wait while one of them would fit somewhere; gangs are left to the verdict, which wants them done. */
    private void lookBesideRoom(String id, Job job) {
        if (job.spec == null
                || job.spec.kind() == JobKind.GANG
                || job.spec.singleZone()
                || job.spec.spreadOverZones()
                || job.waitedTooLong
                || job.told != Told.ACCEPTED
                || job.cancelAsked
                || clock.getAsLong() <= calmMicros) {
            return;
        }
        Set<String> there = heldOf.getOrDefault(id, Map.of()).keySet();
        boolean waits = there.size() + job.finished.size() < job.tasks && fitsSomewhere(job.spec);
        job.besideRoomMicros = waits ? Math.min(job.besideRoomMicros, clock.getAsLong()) : NEVER;
        if (clock.getAsLong() - job.besideRoomMicros > BESIDE_ROOM_MICROS) {
            broke(
                    "waits_beside_room",
                    id + " with " + there.size() + " of " + job.tasks + " on machines, " + job.finished.size()
                            + " done");
            job.waitedTooLong = true;
        }
    }

    private boolean fitsSomewhere(JobSpec spec) {
        Team team = teams.get(spec.team());
        if (team != null
                && !team.isWithinLimit(
                        used.getOrDefault(spec.team(), Resources.NONE).plus(spec.taskResources()))) {
            return false;
        }
        return machines.get().stream()
                .anyMatch(machine -> spec.allowsMachine(machine.type().name(), machine.zone(), machine.spot())
                        && spec.taskResources()
                                .fitsIn(machine.type()
                                        .resources()
                                        .minus(taken.getOrDefault(machine.name(), Resources.NONE))));
    }

    // ---- users

    /** The user's own description, for what depends on it. */
    public void jobDescribed(JobSpec spec) {
        jobs.get(spec.id()).spec = spec;
    }

    /** A user sends what lacks a field or fits no machine, zone or limit: nobody may accept it. */
    public void submitsInvalid(String id) {
        jobs.computeIfAbsent(id, k -> new Job(1, false)).invalid = true;
    }

    /** A user is about to submit it. */
    public void jobSubmitted(String id, int tasks, boolean service) {
        jobs.putIfAbsent(id, new Job(tasks, service));
    }

    /** Its user asks how it stands. */
    public void asks(String id) {
        Job job = jobs.get(id);
        job.waitsMicros = Math.min(job.waitsMicros, clock.getAsLong());
    }

    public void cancels(String id) {
        jobs.get(id).cancelAsked = true;
    }

    /**
     * What a user heard of a job. Two questions of one user may be under way at once, and their answers come in any order: only what was
     * asked after an answer may not be older than it.
     *
     * @param askedMicros when the user asked
     * @param standing the service's word, null without one
     */
    public void responseReceived(String id, long askedMicros, int status, String standing) {
        Job job = jobs.get(id);
        boolean known = job != null && job.told != Told.NOTHING && askedMicros > job.toldMicros;
        if (known && (status == 404 || status == 400 || status == 422)) {
            broke("forgotten", id + " was answered " + status);
        }
        if ((status != 200 && status != 201) || standing == null) {
            return;
        }
        if (job == null) {
            broke("invented", id);
            return;
        }
        if (job.invalid) {
            broke("accepted_invalid", id + " as " + standing);
            return;
        }
        job.waitsMicros = NEVER;
        Told now = switch (standing) {
            case "done" -> Told.DONE;
            case "withdrawn" -> Told.CANCELLED;
            default -> Told.ACCEPTED;
        };
        if (now == Told.ACCEPTED && job.isOver() && askedMicros <= job.overMicros) {
            return;
        }
        if (job.isOver() && now != job.told) {
            broke("went_back", id + " from " + job.told + " to " + now);
        }
        if (now == Told.CANCELLED && !job.cancelAsked) {
            broke("went_back", id + " was not cancelled by its user");
        }
        if (now == Told.DONE && (job.service || job.finished.size() < job.tasks)) {
            broke("not_done", id + " with " + job.finished.size() + " of " + job.tasks);
        }
        if (now == Told.CANCELLED && job.told != Told.CANCELLED) {
            job.cancelledMicros = clock.getAsLong();
        }
        if (!job.isOver() && now != Told.ACCEPTED) {
            job.overMicros = clock.getAsLong();
        }
        job.toldMicros = job.told == Told.NOTHING ? clock.getAsLong() : job.toldMicros;
        job.told = now;
    }
}
