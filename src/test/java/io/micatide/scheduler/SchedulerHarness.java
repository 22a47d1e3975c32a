package io.micatide.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.jobs.JobCache;
import io.micatide.model.CloudCall;
import io.micatide.model.Command;
import io.micatide.model.ExitCause;
import io.micatide.model.Heartbeat;
import io.micatide.model.Hint;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.JobState;
import io.micatide.model.ListedMachine;
import io.micatide.model.MachineType;
import io.micatide.model.Micros;
import io.micatide.model.Priority;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import io.micatide.model.Team;
import io.micatide.model.Tuning;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.StoreCodec;
import io.micatide.protocol.WorkerCodec;
import io.micatide.store.StoreKeys;
import io.micatide.store.StoredRecord;
import io.micatide.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Stand-ins of the state service, the cloud and the workers, written to the published protocol, in simulated time. A
 * leader can be killed after any interaction, and what it had sent may still arrive: that is where second runs of a
 * task come from.
 */
final class SchedulerHarness {
    static final long STEP = 100 * Micros.MILLISECOND;
    static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0.5, 0.5, 0.2, 10 * Micros.SECOND, List.of("a", "b"));

    final Settings settings;
    final Random random;
    long now = Micros.SECOND;
    long revision = 100;
    final TreeMap<String, StoredRecord> rows = new TreeMap<>();
    final Map<String, Long> versions = new HashMap<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final List<String> broken = new ArrayList<>();
    final Set<String> everStarted = new HashSet<>();
    final Set<String> cancelled = new HashSet<>();
    final Map<String, Long> cancelledAt = new HashMap<>();
    int starts;
    private int machineNumber;

    /** How leaders plan. */
    SchedulerComponents.PlannerFactory planners = PlacementPlanner::new;
    /** Takes what leaders decide: commands and transactions, in their order. */
    Consumer<String> decisions = decision -> {};
    /** Takes the same as it goes over the wire. */
    Consumer<String> messages = message -> {};
    /** Spot machines with a notice, and the time at which the cloud is to take them away. */
    final Map<String, Long> notices = new HashMap<>();

    Scheduler leader;
    long fencingToken;
    /** Interactions until the leader is killed; negative: never. */
    int killAfter = -1;

    int interactions;
    long deadUntil = -1;
    /** Transactions of dead leaders that the state service has still to receive. */
    final Deque<Transaction> late = new ArrayDeque<>();
    /** A leader that is cut off from the state service and its successor, and goes on answering zone a. */
    Scheduler zombie;

    long zombieToken;
    long zombieUntil;
    double lostAnswers;
    /** Boots take this many times as long as the type says. */
    int bootFactor = 1;

    int returned;
    /** Workers are greeted whenever they report. */
    boolean greets;
    /** What each new leader is told by way of hints. */
    List<Hint> hints = List.of();
    /** Bookings are written on condition of their versions and of their fence. */
    boolean fenced = true;
    /** Machines that are given back are named in rows first. */
    boolean recorded = true;
    /** Deletions are carried out so much later, and nobody hears of it; 0 for as they should be. */
    long deletionsLateMicros;

    private final TreeMap<Long, List<String>> lateDeletions = new TreeMap<>();
    int lostToDeletions;
    /** Jobs submitted with a mistake and machines that are faulty: what runs there fails after a second. */
    final Set<String> faultyJobs = new HashSet<>();

    final Set<String> faultyMachines = new HashSet<>();
    final Map<String, Integer> startsOf = new HashMap<>();
    boolean stateOutage;
    boolean cloudOutage;
    int takeOvers;

    /** The state service's limits as they are now; {@code settings} may know smaller ones that are to come. */
    int valueLimit = 16 * 1024;

    int opsLimit = 16;
    int refused;
    /** Every controller reads the present layout, as the next leader finds. */
    boolean marked;

    SchedulerHarness(long seed, int machines) {
        this(seed, machines, 16 * 1024, 16);
    }

    SchedulerHarness(long seed, int machines, int writableBytes, int ops) {
        random = new Random(seed);
        Map<String, Team> teams = new LinkedHashMap<>();
        teams.put("red", new Team("red", 16_000, 0, 24_000, 0));
        teams.put("blue", new Team("blue", 0, 0, 0, 0));
        settings = new Settings(
                "c0",
                "a",
                "127.0.0.1:1",
                "127.0.0.1:2",
                List.of(),
                "127.0.0.1:3",
                "127.0.0.1:4",
                List.of("a", "b"),
                0,
                teams,
                List.of(),
                800 * Micros.MILLISECOND,
                10 * Micros.SECOND,
                30 * Micros.SECOND,
                5 * Micros.SECOND,
                30 * Micros.SECOND,
                80,
                30,
                16 * 1024,
                writableBytes,
                ops,
                8,
                5 * Micros.SECOND,
                0.4,
                150,
                700);
        for (int i = 0; i < machines; i++) {
            boot(i % 2 == 0 ? "a" : "b", false, 0);
        }
    }

    /** A worker as the protocol describes it. */
    final class Worker {
        final String name;
        final String zone;
        final boolean spot;
        long upAt;
        long incarnation = 1;
        long sequence;
        long seenToken;
        long lastAnsweredSent;
        long nextReport;
        long hungUntil = -1;
        boolean deleted;
        final Map<String, Task> tasks = new LinkedHashMap<>();

        Worker(String name, String zone, boolean spot, long upAt) {
            this.name = name;
            this.zone = zone;
            this.spot = spot;
            this.upAt = upAt;
            this.lastAnsweredSent = upAt;
            this.nextReport = upAt;
        }

        Heartbeat heartbeat() {
            sequence++;
            List<TaskStatus> list = new ArrayList<>();
            for (Task task : tasks.values()) {
                list.add(new TaskStatus(task.job, task.index, task.attempt, task.state(), task.cause, false));
            }
            return new Heartbeat(
                    name, "x:1", TYPE.name(), zone, spot, incarnation, sequence, seenToken, notice(), list);
        }

        private long notice() {
            return notices.containsKey(name) ? Math.max(0, notices.get(name) - now) : -1;
        }

        void execute(long answerToken, List<Command> commands, long sentAt, long ofIncarnation) {
            if (deleted || ofIncarnation != incarnation || answerToken < seenToken) {
                return;
            }
            seenToken = answerToken;
            lastAnsweredSent = Math.max(lastAnsweredSent, sentAt);
            for (Command command : commands) {
                String key = command.job() + "/" + command.taskIndex() + "@" + command.attempt();
                Task task = tasks.get(key);
                if (command instanceof Command.Start && task == null) {
                    start(this, command, key);
                } else if (command instanceof Command.Stop && task != null && task.cause == null) {
                    task.cause = ExitCause.STOPPED;
                } else if (command instanceof Command.Reap && task != null && task.cause != null) {
                    tasks.remove(key);
                }
            }
        }

        void live() {
            for (Task task : tasks.values()) {
                liveInGang(task);
                boolean faulty = faultyJobs.contains(task.job) || faultyMachines.contains(name);
                if (task.cause == null && faulty && now >= task.placedAt + Micros.SECOND) {
                    task.cause = ExitCause.ERROR;
                }
                if (task.cause == null && now >= task.endsAt) {
                    task.cause = ExitCause.DONE;
                }
            }
            if (now - lastAnsweredSent > settings.workerLeaseMicros()) {
                tasks.clear();
                incarnation++;
                lastAnsweredSent = now;
            }
        }
    }

    static final class Task {
        String job;
        int index;
        long attempt;
        boolean waiting;
        long endsAt;
        long placedAt;
        ExitCause cause;

        TaskState state() {
            return cause != null ? TaskState.EXITED : waiting ? TaskState.WAITING : TaskState.RUNNING;
        }
    }

    /** A gang starts when its last task is there, completes together, and ends when it loses one. */
    private void liveInGang(Task task) {
        JobSpec spec = specs.get(task.job);
        if (spec.kind() != JobKind.GANG || task.cause != null) {
            return;
        }
        List<Task> peers = new ArrayList<>();
        boolean done = false;
        for (Worker worker : workers.values()) {
            for (Task other : worker.tasks.values()) {
                if (other.job.equals(task.job) && other.attempt == task.attempt) {
                    done |= other.cause == ExitCause.DONE;
                    if (other.cause == null) {
                        peers.add(other);
                    }
                }
            }
        }
        if (task.waiting && peers.size() == spec.taskCount()) {
            for (Task other : peers) {
                other.waiting = false;
                other.endsAt = now + spec.estimatedRuntimeMicros();
            }
        } else if (task.waiting && now - task.placedAt > settings.gangStartTimeoutMicros()) {
            task.cause = ExitCause.ALONE;
        } else if (!task.waiting && done) {
            task.cause = ExitCause.DONE;
        } else if (!task.waiting && peers.size() < spec.taskCount()) {
            task.cause = ExitCause.PEERS;
        }
    }

    Worker boot(String zone, boolean spot, long upAt) {
        String name = String.format("i-%06d", ++machineNumber);
        Worker worker = new Worker(name, zone, spot, Math.max(upAt, now));
        workers.put(name, worker);
        return worker;
    }

    private void start(Worker worker, Command command, String key) {
        String taskName = command.job() + "/" + command.taskIndex();
        StoredRecord row = rows.get(StoreKeys.job(command.job()));
        for (Worker other : workers.values()) {
            for (Task task : other.tasks.values()) {
                if (task.cause == null && task.job.equals(command.job()) && task.index == command.taskIndex()) {
                    broken.add("ran_twice " + taskName + " on " + worker.name + " and " + other.name);
                }
            }
        }
        if (cancelledAt.getOrDefault(command.job(), Long.MAX_VALUE) < now - settings.cancellationLimitMicros()) {
            broken.add("ran_cancelled " + taskName);
        }
        Task task = new Task();
        task.job = command.job();
        task.index = command.taskIndex();
        task.attempt = command.attempt();
        JobSpec spec = specs.get(command.job());
        task.placedAt = now;
        task.waiting = spec.kind() == JobKind.GANG;
        task.endsAt =
                task.waiting || spec.kind() == JobKind.SERVICE ? Long.MAX_VALUE : now + spec.estimatedRuntimeMicros();
        worker.tasks.put(key, task);
        starts++;
        startsOf.merge(command.job(), 1, Integer::sum);
        everStarted.add(taskName);
        if (row == null) {
            broken.add("started without a row: " + taskName);
        }
        for (String need : spec.dependencies()) {
            if (state(need) != JobState.DONE) {
                broken.add("too_early " + taskName + " before " + need);
            }
        }
        long red = 0;
        for (Worker other : workers.values()) {
            for (Task each : other.tasks.values()) {
                if (each.cause == null && specs.get(each.job).team().equals("red")) {
                    red += specs.get(each.job).taskResources().cpus();
                }
            }
        }
        if (red > settings.teams().get("red").maxCpus()) {
            broken.add("quota at " + taskName);
        }
    }

    final Map<String, JobSpec> specs = new HashMap<>();

    void submit(JobSpec spec) {
        specs.put(spec.id(), spec);
        put(
                StoreKeys.job(spec.id()),
                new StoredRecord.JobRecord(JobState.OPEN, spec, now, spec.taskCount()),
                ++revision);
    }

    void cancel(String id) {
        StoredRecord.JobRecord row = (StoredRecord.JobRecord) rows.get(StoreKeys.job(id));
        if (row != null && row.state() == JobState.OPEN) {
            cancelledAt.put(id, now);
            put(
                    StoreKeys.job(id),
                    new StoredRecord.JobRecord(JobState.CANCELLED, row.spec(), row.submittedWall(), row.taskCount()),
                    ++revision);
        }
    }

    /** What any controller's copy makes of the rows; a leader hears of each change. */
    final JobCache directory = new JobCache();

    private void copy(String key, StoredRecord.JobRecord row, long version) {
        for (String changed : directory.apply(key.substring(StoreKeys.JOBS.length()), row, version)) {
            if (leader != null) {
                leader.jobChanged(directory.view(changed), now, now);
            }
        }
    }

    JobState state(String id) {
        return ((StoredRecord.JobRecord) rows.get(StoreKeys.job(id))).state();
    }

    /** What is stored is text: a leader reads what the one before it wrote, not its objects. */
    private static StoredRecord throughText(String key, StoredRecord row, long at) {
        try {
            JsonNode data = Json.tree(StoreCodec.transaction(
                            new Transaction(List.of(), List.of(new Transaction.Write(key, row, 0)))))
                    .path("writes")
                    .get(0)
                    .path("data");
            return StoreCodec.item(("{\"k\":\"" + key + "\",\"data\":" + data + ",\"stamp\":" + at + "}")
                            .getBytes(StandardCharsets.UTF_8))
                    .record();
        } catch (MalformedException e) {
            throw new IllegalStateException(key + ": " + e.getMessage(), e);
        }
    }

    private void put(String key, StoredRecord given, long at) {
        StoredRecord row = given == null ? null : throughText(key, given, at);
        if (row == null) {
            rows.remove(key);
            versions.remove(key);
        } else {
            if (row instanceof StoredRecord.JobRecord job && job.state() == JobState.DONE) {
                checkDone(key.substring(StoreKeys.JOBS.length()));
            }
            rows.put(key, row);
            versions.put(key, at);
            if (row instanceof StoredRecord.JobRecord job) {
                copy(key, job, at);
            }
        }
    }

    private void checkDone(String id) {
        JobSpec spec = specs.get(id);
        for (int i = 0; i < spec.taskCount(); i++) {
            if (!everStarted.contains(id + "/" + i)) {
                broken.add("not_done " + id + "/" + i);
            }
        }
    }

    /** The revision, or 0 if a condition failed. */
    long apply(Transaction transaction) {
        for (Transaction.Condition compare : transaction.conditions()) {
            if (versions.getOrDefault(compare.key(), 0L) != compare.version()) {
                return 0;
            }
        }
        revision++;
        for (Transaction.Write write : transaction.writes()) {
            put(write.key(), write.record(), revision);
        }
        return revision;
    }

    void takeOver() {
        fencingToken = ++revision;
        put(StoreKeys.LEADER, new StoredRecord.Leader("c0"), fencingToken);
        leader = new Scheduler(settings, Tuning.defaults(settings), fencingToken, now, planners);
        leader.hintsReceived(hints, false, now);
        takeOvers++;
        leader.machineTypesChanged(List.of(TYPE), now);
        directory.openAndCancelledJobs().forEach(view -> leader.jobChanged(view, now, now));
        if (marked) {
            put(
                    StoreKeys.LAYOUT,
                    new StoredRecord.Layout(Settings.CURRENT_LAYOUT, settings.pageTasks()),
                    versions.getOrDefault(StoreKeys.LAYOUT, ++revision));
            leader.layoutMarked(versions.get(StoreKeys.LAYOUT), (StoredRecord.Layout) rows.get(StoreKeys.LAYOUT));
        }
        rows.forEach((key, row) -> {
            if (row instanceof StoredRecord.Ledger ledger) {
                leader.ledgerLoaded(key, ledger, versions.get(key), now);
            } else if (row instanceof StoredRecord.MachinesToDelete returned) {
                leader.machineDeletionLoaded(key, returned, versions.get(key), now);
            } else if (row instanceof StoredRecord.Provisioning booking) {
                leader.provisioningRequestLoaded(
                        key.substring(StoreKeys.PROVISIONING_REQUESTS.length()), booking, versions.get(key), now);
            }
        });
        leader.provisioningFenceRead(
                versions.getOrDefault(StoreKeys.PROVISIONING_FENCE, 0L),
                rows.get(StoreKeys.PROVISIONING_FENCE) instanceof StoredRecord.ProvisioningFence fence
                        ? fence.number()
                        : 0);
        leader.featureFlagsChanged(versions.getOrDefault(StoreKeys.FEATURE_STAGES, 0L), fenced, recorded);
        leader.allRecordsLoaded(now);
    }

    /** Whether the leader dies here; called between any two things that it does. */
    private boolean dies() {
        if (leader != null && ++interactions == killAfter) {
            leader = null;
            deadUntil = now + 2 * Micros.SECOND + random.nextInt(8) * Micros.SECOND;
            return true;
        }
        return leader == null;
    }

    void run(long micros) {
        for (long end = now + micros; now < end; now += STEP) {
            step();
        }
    }

    /** The leader's process stands still while its clock and the workers go on. */
    void stall(long micros) {
        for (long end = now + micros; now < end; now += STEP) {
            for (Worker worker : workers.values()) {
                if (!worker.deleted && worker.upAt <= now) {
                    worker.live();
                }
            }
        }
        leader.processResumed(now);
        // Its timers may fire before it has read what waits at its sockets.
        leader.tick(now);
        leader.cloudCalls(now).forEach(this::cloud);
    }

    private void step() {
        while (!lateDeletions.isEmpty() && lateDeletions.firstKey() <= now) {
            for (String name : lateDeletions.pollFirstEntry().getValue()) {
                Worker worker = workers.get(name);
                lostToDeletions += worker == null || worker.deleted ? 0 : worker.tasks.size();
                if (worker != null) {
                    worker.deleted = true;
                    worker.tasks.clear();
                }
            }
        }
        if (leader == null && now >= deadUntil && !stateOutage) {
            takeOver();
        }
        if (zombie != null) {
            zombie.tick(now);
            if (zombie.nextWriteBatch(now, now) != null) {
                zombie.writeNotExecuted(now);
            }
            zombie = now < zombieUntil ? zombie : null;
        }
        if (random.nextInt(10) == 0 && !late.isEmpty()) {
            apply(late.pollFirst());
        }
        for (Worker worker : List.copyOf(workers.values())) {
            if (worker.deleted || worker.upAt > now || worker.hungUntil > now) {
                continue;
            }
            worker.live();
            if (now >= worker.nextReport) {
                worker.nextReport = now + settings.heartbeatIntervalMicros();
                exchange(worker);
            }
        }
        if (leader != null) {
            if (!stateOutage) {
                leader.storeReadAt(now);
            }
            leader.tick(now);
            writeRound();
        }
        if (leader != null) {
            for (CloudCall call : leader.cloudCalls(now)) {
                decisions.accept(now + " " + call);
                messages.accept(now + " " + encoded(call));
                if (!dies()) {
                    cloud(call);
                }
            }
        }
    }

    private static String text(byte[] json) {
        return new String(json, StandardCharsets.UTF_8);
    }

    private static String encoded(CloudCall call) {
        if (call instanceof CloudCall.RequestMachines rent) {
            return String.join(
                    " ", "rent", rent.requestName(), rent.type(), rent.zone(), "" + rent.spot(), "" + rent.count());
        }
        return call instanceof CloudCall.DeleteMachines delete
                ? "delete " + delete.machines()
                : call instanceof CloudCall.ListMachines ? "list" : "types";
    }

    /** The leader loses the state service and all but zone a; another one takes over once its lease is out. */
    void cutOffLeader(long micros) {
        zombie = leader;
        zombieToken = fencingToken;
        zombieUntil = now + micros;
        leader = null;
        deadUntil = now + 3 * Micros.SECOND;
    }

    private void exchange(Worker worker) {
        Heartbeat heartbeat = worker.heartbeat();
        long incarnation = worker.incarnation;
        if (zombie != null && worker.zone.equals("a")) {
            if (leader != null && random.nextInt(15) == 0) {
                // It tried the new leader, whose answer was lost, and goes back to the former one.
                leader.handleHeartbeat(heartbeat, now);
            } else if (heartbeat.fencingToken() <= zombieToken) {
                worker.execute(zombieToken, zombie.handleHeartbeat(heartbeat, now), now, incarnation);
            }
            return;
        }
        if (dies() || heartbeat.fencingToken() > fencingToken) {
            return;
        }
        List<Command> commands = leader.handleHeartbeat(heartbeat, now);
        decisions.accept(now + " " + worker.name + " " + commands);
        messages.accept(now + " " + worker.name + " " + text(WorkerCodec.answer(fencingToken, commands)));
        if (greets) {
            // The greeting's answer overtakes that of the report: it was made before the commands came.
            leader.announcementAnswered(worker.heartbeat(), now);
        }
        boolean lost = random.nextDouble() < lostAnswers;
        boolean diesAfter = dies();
        if (!lost && !(diesAfter && random.nextBoolean())) {
            worker.execute(fencingToken, commands, now, incarnation);
        }
    }

    private void writeRound() {
        Transaction round = leader.nextWriteBatch(now, now);
        if (round == null) {
            return;
        }
        decisions.accept(now + " " + round);
        messages.accept(now + " " + text(StoreCodec.transaction(round)));
        if (dies()) {
            // Killed with the request on its way: it arrives some time later, or never.
            late.add(round);
            return;
        }
        if (stateOutage) {
            leader.writeNotExecuted(now);
            return;
        }
        if (breaksLimits(round)) {
            refused++;
            leader.writeRejected(now);
            return;
        }
        boolean lost = random.nextDouble() < lostAnswers;
        if (lost && random.nextBoolean()) {
            late.add(round);
            readBack();
            return;
        }
        List<String> failed = new ArrayList<>();
        for (Transaction.Condition compare : round.conditions()) {
            if (versions.getOrDefault(compare.key(), 0L) != compare.version()) {
                failed.add(compare.key());
            }
        }
        long applied = apply(round);
        if (dies()) {
            return;
        }
        if (lost) {
            readBack();
        } else if (applied == 0) {
            leader.writeConflicted(failed, now).forEach(key -> {
                read(key);
                leader.keyReadBack(key, now);
            });
        } else {
            leader.writeConfirmed(applied, now);
        }
    }

    private boolean breaksLimits(Transaction round) {
        boolean breaks = round.writes().size() > opsLimit || round.conditions().size() > 4 * opsLimit;
        for (Transaction.Write write : round.writes()) {
            breaks |= write.record() != null && StoreCodec.encodedBytes(write.record()) > valueLimit;
        }
        return breaks;
    }

    private void readBack() {
        leader.unresolvedWriteKeys().forEach(this::read);
        leader.writeResolved(now);
    }

    private void read(String key) {
        StoredRecord row = rows.get(key);
        if (Scheduler.isCloudRecord(key)) {
            leader.cloudRecordReadBack(key, row, versions.getOrDefault(key, 0L));
        } else if (row instanceof StoredRecord.JobRecord job) {
            leader.jobReadBack(key.substring(StoreKeys.JOBS.length()), job, versions.get(key), now);
        } else if (key.startsWith(StoreKeys.LEDGERS)) {
            leader.ledgerReadBack(key, (StoredRecord.Ledger) row, versions.getOrDefault(key, 0L));
        }
    }

    private void cloud(CloudCall call) {
        if (call instanceof CloudCall.RequestMachines rent) {
            if (cloudOutage) {
                leader.provisioningUnanswered(rent.requestName(), now);
                return;
            }
            List<String> names = new ArrayList<>();
            for (int i = 0; i < rent.count() && workers.size() < 40; i++) {
                names.add(boot(rent.zone(), rent.spot(), now + bootFactor * TYPE.bootMicros()).name);
            }
            if (random.nextDouble() < lostAnswers) {
                leader.provisioningUnanswered(rent.requestName(), now);
            } else if (names.isEmpty()) {
                leader.noCapacity(rent.requestName(), now);
            } else {
                leader.machinesRented(rent.requestName(), names, now);
            }
        } else if (call instanceof CloudCall.DeleteMachines delete) {
            if (cloudOutage) {
                return;
            }
            if (deletionsLateMicros > 0) {
                lateDeletions
                        .computeIfAbsent(now + deletionsLateMicros, k -> new ArrayList<>())
                        .addAll(delete.machines());
                return;
            }
            returned += delete.machines().size();
            for (String name : delete.machines()) {
                Worker worker = workers.get(name);
                if (worker != null) {
                    worker.deleted = true;
                    worker.tasks.clear();
                }
            }
            if (random.nextDouble() >= lostAnswers) {
                leader.machinesDeleted(delete.machines(), now);
            }
        } else if (call instanceof CloudCall.ListTypes) {
            leader.machineTypesChanged(List.of(TYPE), now);
        } else if (cloudOutage) {
            leader.machinesListed(null, now, now);
        } else {
            List<ListedMachine> list = new ArrayList<>();
            for (Worker worker : workers.values()) {
                if (!worker.deleted) {
                    list.add(new ListedMachine(
                            worker.name,
                            TYPE.name(),
                            worker.zone,
                            worker.spot,
                            worker.upAt > now ? ListedMachine.State.BOOTING : ListedMachine.State.RUNNING,
                            0));
                }
            }
            leader.machinesListed(list, now, now);
        }
    }

    static JobSpec job(String id, JobKind kind, String team, Priority priority, int tasks, int seconds) {
        return new JobSpec(
                id,
                "class",
                team,
                kind,
                priority,
                tasks,
                Resources.of(2, 0, 8),
                "img-1",
                1,
                List.of(),
                null,
                false,
                false,
                kind == JobKind.ARRAY,
                seconds * Micros.SECOND,
                0,
                0,
                -1);
    }
}
