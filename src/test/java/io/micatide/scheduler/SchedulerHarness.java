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
    static final long STEP_MICROS = 100 * Micros.MILLISECOND;
    static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0.5, 0.5, 0.2, 10 * Micros.SECOND, List.of("a", "b"));

    final Settings settings;
    final Random random;
    long now = Micros.SECOND;
    long revision = 100;
    final TreeMap<String, StoredRecord> records = new TreeMap<>();
    final Map<String, Long> versions = new HashMap<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final List<String> violations = new ArrayList<>();
    final Set<String> startedTasks = new HashSet<>();
    final Set<String> cancelled = new HashSet<>();
    final Map<String, Long> cancelledMicros = new HashMap<>();
    int starts;
    private int machineNumber;

    /** How leaders plan. */
    SchedulerComponents.PlannerFactory plannerFactory = PlacementPlanner::new;
    /** Takes what leaders decide: commands and transactions, in their order. */
    Consumer<String> decisionListener = decision -> {};
    /** Takes the same as it goes over the wire. */
    Consumer<String> messageListener = message -> {};
    /** Spot machines with a notice, and the time at which the cloud is to take them away. */
    final Map<String, Long> spotNoticeEndsMicros = new HashMap<>();

    Scheduler leader;
    long fencingToken;
    /** Interactions until the leader is killed; negative: never. */
    int killAtInteraction = -1;

    int interactions;
    long noLeaderUntilMicros = -1;
    /** Transactions of dead leaders that the state service has still to receive. */
    final Deque<Transaction> delayedTransactions = new ArrayDeque<>();
    /** A leader that is cut off from the state service and its successor, and goes on answering zone a. */
    Scheduler isolatedLeader;

    long isolatedLeaderToken;
    long isolatedUntilMicros;
    double lostAnswerProbability;
    /** Boots take this many times as long as the type says. */
    int bootTimeFactor = 1;

    int machinesDeleted;
    /** Workers are greeted whenever they report. */
    boolean announcesAtEachHeartbeat;
    /** What each new leader is told by way of hints. */
    List<Hint> hints = List.of();
    /** Bookings are written on condition of their versions and of their fence. */
    boolean fencesProvisioning = true;
    /** Machines that are given back are named in rows first. */
    boolean recordsMachineDeletions = true;
    /** Deletions are carried out so much later, and nobody hears of it; 0 for as they should be. */
    long deletionDelayMicros;

    private final TreeMap<Long, List<String>> delayedDeletions = new TreeMap<>();
    int tasksLostToDeletions;
    /** Jobs submitted with a mistake and machines that are faulty: what runs there fails after a second. */
    final Set<String> faultyJobs = new HashSet<>();

    final Set<String> faultyMachines = new HashSet<>();
    final Map<String, Integer> startsByJob = new HashMap<>();
    boolean storeOutage;
    boolean cloudOutage;
    int leadersStarted;

    /** The state service's limits as they are now; {@code settings} may know smaller ones that are to come. */
    int maxValueBytes = 16 * 1024;

    int maxWritesPerTransaction = 16;
    int rejectedTransactions;
    /** Every controller reads the present layout, as the next leader finds. */
    boolean isLayoutMarked;

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
        final boolean isSpot;
        long bootedMicros;
        long incarnation = 1;
        long sequence;
        long seenToken;
        long lastAnsweredMicros;
        long nextHeartbeatMicros;
        long hungUntilMicros = -1;
        boolean isDeleted;
        final Map<String, Task> tasks = new LinkedHashMap<>();

        Worker(String name, String zone, boolean spot, long upAt) {
            this.name = name;
            this.zone = zone;
            this.isSpot = spot;
            this.bootedMicros = upAt;
            this.lastAnsweredMicros = upAt;
            this.nextHeartbeatMicros = upAt;
        }

        Heartbeat heartbeat() {
            sequence++;
            List<TaskStatus> list = new ArrayList<>();
            for (Task task : tasks.values()) {
                list.add(new TaskStatus(task.job, task.index, task.attempt, task.state(), task.exitCause, false));
            }
            return new Heartbeat(
                    name,
                    "x:1",
                    TYPE.name(),
                    zone,
                    isSpot,
                    incarnation,
                    sequence,
                    seenToken,
                    remainingNoticeMicros(),
                    list);
        }

        private long remainingNoticeMicros() {
            return spotNoticeEndsMicros.containsKey(name) ? Math.max(0, spotNoticeEndsMicros.get(name) - now) : -1;
        }

        void execute(long answerToken, List<Command> commands, long sentAt, long ofIncarnation) {
            if (isDeleted || ofIncarnation != incarnation || answerToken < seenToken) {
                return;
            }
            seenToken = answerToken;
            lastAnsweredMicros = Math.max(lastAnsweredMicros, sentAt);
            for (Command command : commands) {
                String key = command.job() + "/" + command.taskIndex() + "@" + command.attempt();
                Task task = tasks.get(key);
                if (command instanceof Command.Start && task == null) {
                    start(this, command, key);
                } else if (command instanceof Command.Stop && task != null && task.exitCause == null) {
                    task.exitCause = ExitCause.STOPPED;
                } else if (command instanceof Command.Reap && task != null && task.exitCause != null) {
                    tasks.remove(key);
                }
            }
        }

        void advanceTasks() {
            for (Task task : tasks.values()) {
                advanceGangTask(task);
                boolean faulty = faultyJobs.contains(task.job) || faultyMachines.contains(name);
                if (task.exitCause == null && faulty && now >= task.startedMicros + Micros.SECOND) {
                    task.exitCause = ExitCause.ERROR;
                }
                if (task.exitCause == null && now >= task.endsMicros) {
                    task.exitCause = ExitCause.DONE;
                }
            }
            if (now - lastAnsweredMicros > settings.workerLeaseMicros()) {
                tasks.clear();
                incarnation++;
                lastAnsweredMicros = now;
            }
        }
    }

    static final class Task {
        String job;
        int index;
        long attempt;
        boolean isWaiting;
        long endsMicros;
        long startedMicros;
        ExitCause exitCause;

        TaskState state() {
            return exitCause != null ? TaskState.EXITED : isWaiting ? TaskState.WAITING : TaskState.RUNNING;
        }
    }

    /** A gang starts when its last task is there, completes together, and ends when it loses one. */
    private void advanceGangTask(Task task) {
        JobSpec spec = specs.get(task.job);
        if (spec.kind() != JobKind.GANG || task.exitCause != null) {
            return;
        }
        List<Task> peers = new ArrayList<>();
        boolean done = false;
        for (Worker worker : workers.values()) {
            for (Task other : worker.tasks.values()) {
                if (other.job.equals(task.job) && other.attempt == task.attempt) {
                    done |= other.exitCause == ExitCause.DONE;
                    if (other.exitCause == null) {
                        peers.add(other);
                    }
                }
            }
        }
        if (task.isWaiting && peers.size() == spec.taskCount()) {
            for (Task other : peers) {
                other.isWaiting = false;
                other.endsMicros = now + spec.estimatedRuntimeMicros();
            }
        } else if (task.isWaiting && now - task.startedMicros > settings.gangStartTimeoutMicros()) {
            task.exitCause = ExitCause.ALONE;
        } else if (!task.isWaiting && done) {
            task.exitCause = ExitCause.DONE;
        } else if (!task.isWaiting && peers.size() < spec.taskCount()) {
            task.exitCause = ExitCause.PEERS;
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
        StoredRecord row = records.get(StoreKeys.job(command.job()));
        for (Worker other : workers.values()) {
            for (Task task : other.tasks.values()) {
                if (task.exitCause == null && task.job.equals(command.job()) && task.index == command.taskIndex()) {
                    violations.add("ran_twice " + taskName + " on " + worker.name + " and " + other.name);
                }
            }
        }
        if (cancelledMicros.getOrDefault(command.job(), Long.MAX_VALUE) < now - settings.cancellationLimitMicros()) {
            violations.add("ran_cancelled " + taskName);
        }
        Task task = new Task();
        task.job = command.job();
        task.index = command.taskIndex();
        task.attempt = command.attempt();
        JobSpec spec = specs.get(command.job());
        task.startedMicros = now;
        task.isWaiting = spec.kind() == JobKind.GANG;
        task.endsMicros =
                task.isWaiting || spec.kind() == JobKind.SERVICE ? Long.MAX_VALUE : now + spec.estimatedRuntimeMicros();
        worker.tasks.put(key, task);
        starts++;
        startsByJob.merge(command.job(), 1, Integer::sum);
        startedTasks.add(taskName);
        if (row == null) {
            violations.add("started without a row: " + taskName);
        }
        for (String need : spec.dependencies()) {
            if (state(need) != JobState.DONE) {
                violations.add("too_early " + taskName + " before " + need);
            }
        }
        long red = 0;
        for (Worker other : workers.values()) {
            for (Task each : other.tasks.values()) {
                if (each.exitCause == null && specs.get(each.job).team().equals("red")) {
                    red += specs.get(each.job).taskResources().cpus();
                }
            }
        }
        if (red > settings.teams().get("red").maxCpus()) {
            violations.add("quota at " + taskName);
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
        StoredRecord.JobRecord row = (StoredRecord.JobRecord) records.get(StoreKeys.job(id));
        if (row != null && row.state() == JobState.OPEN) {
            cancelledMicros.put(id, now);
            put(
                    StoreKeys.job(id),
                    new StoredRecord.JobRecord(JobState.CANCELLED, row.spec(), row.submittedWall(), row.taskCount()),
                    ++revision);
        }
    }

    /** What any controller's copy makes of the rows; a leader hears of each change. */
    final JobCache jobCache = new JobCache();

    private void updateJobCache(String key, StoredRecord.JobRecord row, long version) {
        for (String changed : jobCache.apply(key.substring(StoreKeys.JOBS.length()), row, version)) {
            if (leader != null) {
                leader.jobChanged(jobCache.view(changed), now, now);
            }
        }
    }

    JobState state(String id) {
        return ((StoredRecord.JobRecord) records.get(StoreKeys.job(id))).state();
    }

    /** What is stored is text: a leader reads what the one before it wrote, not its objects. */
    private static StoredRecord encodeAndDecode(String key, StoredRecord row, long at) {
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
        StoredRecord row = given == null ? null : encodeAndDecode(key, given, at);
        if (row == null) {
            records.remove(key);
            versions.remove(key);
        } else {
            if (row instanceof StoredRecord.JobRecord job && job.state() == JobState.DONE) {
                checkDone(key.substring(StoreKeys.JOBS.length()));
            }
            records.put(key, row);
            versions.put(key, at);
            if (row instanceof StoredRecord.JobRecord job) {
                updateJobCache(key, job, at);
            }
        }
    }

    private void checkDone(String id) {
        JobSpec spec = specs.get(id);
        for (int i = 0; i < spec.taskCount(); i++) {
            if (!startedTasks.contains(id + "/" + i)) {
                violations.add("not_done " + id + "/" + i);
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

    void startLeader() {
        fencingToken = ++revision;
        put(StoreKeys.LEADER, new StoredRecord.Leader("c0"), fencingToken);
        leader = new Scheduler(settings, Tuning.defaults(settings), fencingToken, now, plannerFactory);
        leader.hintsReceived(hints, false, now);
        leadersStarted++;
        leader.machineTypesChanged(List.of(TYPE), now);
        jobCache.openAndCancelled().forEach(view -> leader.jobChanged(view, now, now));
        if (isLayoutMarked) {
            put(
                    StoreKeys.LAYOUT,
                    new StoredRecord.Layout(Settings.LAYOUT, settings.pageTasks()),
                    versions.getOrDefault(StoreKeys.LAYOUT, ++revision));
            leader.layoutMarked(versions.get(StoreKeys.LAYOUT), (StoredRecord.Layout) records.get(StoreKeys.LAYOUT));
        }
        records.forEach((key, row) -> {
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
                records.get(StoreKeys.PROVISIONING_FENCE) instanceof StoredRecord.ProvisioningFence fence
                        ? fence.number()
                        : 0);
        leader.featureFlagsChanged(
                versions.getOrDefault(StoreKeys.FEATURE_STAGES, 0L), fencesProvisioning, recordsMachineDeletions);
        leader.allRecordsLoaded(now);
    }

    /** Whether the leader dies here; called between any two things that it does. */
    private boolean killLeaderIfDue() {
        if (leader != null && ++interactions == killAtInteraction) {
            leader = null;
            noLeaderUntilMicros = now + 2 * Micros.SECOND + random.nextInt(8) * Micros.SECOND;
            return true;
        }
        return leader == null;
    }

    void run(long micros) {
        for (long end = now + micros; now < end; now += STEP_MICROS) {
            step();
        }
    }

    /** The leader's process stands still while its clock and the workers go on. */
    void pauseLeader(long micros) {
        for (long end = now + micros; now < end; now += STEP_MICROS) {
            for (Worker worker : workers.values()) {
                if (!worker.isDeleted && worker.bootedMicros <= now) {
                    worker.advanceTasks();
                }
            }
        }
        leader.processResumed(now);
        // Its timers may fire before it has read what waits at its sockets.
        leader.tick(now);
        leader.cloudCalls(now).forEach(this::executeCloudCall);
    }

    private void step() {
        while (!delayedDeletions.isEmpty() && delayedDeletions.firstKey() <= now) {
            for (String name : delayedDeletions.pollFirstEntry().getValue()) {
                Worker worker = workers.get(name);
                tasksLostToDeletions += worker == null || worker.isDeleted ? 0 : worker.tasks.size();
                if (worker != null) {
                    worker.isDeleted = true;
                    worker.tasks.clear();
                }
            }
        }
        if (leader == null && now >= noLeaderUntilMicros && !storeOutage) {
            startLeader();
        }
        if (isolatedLeader != null) {
            isolatedLeader.tick(now);
            if (isolatedLeader.nextWriteBatch(now, now) != null) {
                isolatedLeader.writeNotExecuted(now);
            }
            isolatedLeader = now < isolatedUntilMicros ? isolatedLeader : null;
        }
        if (random.nextInt(10) == 0 && !delayedTransactions.isEmpty()) {
            apply(delayedTransactions.pollFirst());
        }
        for (Worker worker : List.copyOf(workers.values())) {
            if (worker.isDeleted || worker.bootedMicros > now || worker.hungUntilMicros > now) {
                continue;
            }
            worker.advanceTasks();
            if (now >= worker.nextHeartbeatMicros) {
                worker.nextHeartbeatMicros = now + settings.heartbeatIntervalMicros();
                exchangeHeartbeat(worker);
            }
        }
        if (leader != null) {
            if (!storeOutage) {
                leader.storeReadAt(now);
            }
            leader.tick(now);
            executeWriteBatch();
        }
        if (leader != null) {
            for (CloudCall call : leader.cloudCalls(now)) {
                decisionListener.accept(now + " " + call);
                messageListener.accept(now + " " + encoded(call));
                if (!killLeaderIfDue()) {
                    executeCloudCall(call);
                }
            }
        }
    }

    private static String text(byte[] json) {
        return new String(json, StandardCharsets.UTF_8);
    }

    private static String encoded(CloudCall call) {
        if (call instanceof CloudCall.Rent rent) {
            return String.join(
                    " ", "rent", rent.requestName(), rent.type(), rent.zone(), "" + rent.spot(), "" + rent.count());
        }
        return call instanceof CloudCall.Delete delete
                ? "delete " + delete.machines()
                : call instanceof CloudCall.ListMachines ? "list" : "types";
    }

    /** The leader loses the state service and all but zone a; another one takes over once its lease is out. */
    void isolateLeader(long micros) {
        isolatedLeader = leader;
        isolatedLeaderToken = fencingToken;
        isolatedUntilMicros = now + micros;
        leader = null;
        noLeaderUntilMicros = now + 3 * Micros.SECOND;
    }

    private void exchangeHeartbeat(Worker worker) {
        Heartbeat heartbeat = worker.heartbeat();
        long incarnation = worker.incarnation;
        if (isolatedLeader != null && worker.zone.equals("a")) {
            if (leader != null && random.nextInt(15) == 0) {
                // It tried the new leader, whose answer was lost, and goes back to the former one.
                leader.handleHeartbeat(heartbeat, now);
            } else if (heartbeat.fencingToken() <= isolatedLeaderToken) {
                worker.execute(isolatedLeaderToken, isolatedLeader.handleHeartbeat(heartbeat, now), now, incarnation);
            }
            return;
        }
        if (killLeaderIfDue() || heartbeat.fencingToken() > fencingToken) {
            return;
        }
        List<Command> commands = leader.handleHeartbeat(heartbeat, now);
        decisionListener.accept(now + " " + worker.name + " " + commands);
        messageListener.accept(now + " " + worker.name + " " + text(WorkerCodec.answer(fencingToken, commands)));
        if (announcesAtEachHeartbeat) {
            // The greeting's answer overtakes that of the report: it was made before the commands came.
            leader.announcementAnswered(worker.heartbeat(), now);
        }
        boolean lost = random.nextDouble() < lostAnswerProbability;
        boolean diesAfter = killLeaderIfDue();
        if (!lost && !(diesAfter && random.nextBoolean())) {
            worker.execute(fencingToken, commands, now, incarnation);
        }
    }

    private void executeWriteBatch() {
        Transaction round = leader.nextWriteBatch(now, now);
        if (round == null) {
            return;
        }
        decisionListener.accept(now + " " + round);
        messageListener.accept(now + " " + text(StoreCodec.transaction(round)));
        if (killLeaderIfDue()) {
            // Killed with the request on its way: it arrives some time later, or never.
            delayedTransactions.add(round);
            return;
        }
        if (storeOutage) {
            leader.writeNotExecuted(now);
            return;
        }
        if (exceedsLimits(round)) {
            rejectedTransactions++;
            leader.writeRejected(now);
            return;
        }
        boolean lost = random.nextDouble() < lostAnswerProbability;
        if (lost && random.nextBoolean()) {
            delayedTransactions.add(round);
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
        if (killLeaderIfDue()) {
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

    private boolean exceedsLimits(Transaction round) {
        boolean breaks = round.writes().size() > maxWritesPerTransaction
                || round.conditions().size() > 4 * maxWritesPerTransaction;
        for (Transaction.Write write : round.writes()) {
            breaks |= write.record() != null && StoreCodec.encodedBytes(write.record()) > maxValueBytes;
        }
        return breaks;
    }

    private void readBack() {
        leader.unresolvedWriteKeys().forEach(this::read);
        leader.writeResolved(now);
    }

    private void read(String key) {
        StoredRecord row = records.get(key);
        if (Scheduler.isCloudRecord(key)) {
            leader.cloudRecordReadBack(key, row, versions.getOrDefault(key, 0L));
        } else if (row instanceof StoredRecord.JobRecord job) {
            leader.jobReadBack(key.substring(StoreKeys.JOBS.length()), job, versions.get(key), now);
        } else if (key.startsWith(StoreKeys.LEDGERS)) {
            leader.ledgerReadBack(key, (StoredRecord.Ledger) row, versions.getOrDefault(key, 0L));
        }
    }

    private void executeCloudCall(CloudCall call) {
        if (call instanceof CloudCall.Rent rent) {
            if (cloudOutage) {
                leader.provisioningUnanswered(rent.requestName(), now);
                return;
            }
            List<String> names = new ArrayList<>();
            for (int i = 0; i < rent.count() && workers.size() < 40; i++) {
                names.add(boot(rent.zone(), rent.spot(), now + bootTimeFactor * TYPE.bootMicros()).name);
            }
            if (random.nextDouble() < lostAnswerProbability) {
                leader.provisioningUnanswered(rent.requestName(), now);
            } else if (names.isEmpty()) {
                leader.noCapacity(rent.requestName(), now);
            } else {
                leader.machinesRented(rent.requestName(), names, now);
            }
        } else if (call instanceof CloudCall.Delete delete) {
            if (cloudOutage) {
                return;
            }
            if (deletionDelayMicros > 0) {
                delayedDeletions
                        .computeIfAbsent(now + deletionDelayMicros, k -> new ArrayList<>())
                        .addAll(delete.machines());
                return;
            }
            machinesDeleted += delete.machines().size();
            for (String name : delete.machines()) {
                Worker worker = workers.get(name);
                if (worker != null) {
                    worker.isDeleted = true;
                    worker.tasks.clear();
                }
            }
            if (random.nextDouble() >= lostAnswerProbability) {
                leader.machinesDeleted(delete.machines(), now);
            }
        } else if (call instanceof CloudCall.ListTypes) {
            leader.machineTypesChanged(List.of(TYPE), now);
        } else if (cloudOutage) {
            leader.machinesListed(null, now, now);
        } else {
            List<ListedMachine> list = new ArrayList<>();
            for (Worker worker : workers.values()) {
                if (!worker.isDeleted) {
                    list.add(new ListedMachine(
                            worker.name,
                            TYPE.name(),
                            worker.zone,
                            worker.isSpot,
                            worker.bootedMicros > now ? ListedMachine.State.BOOTING : ListedMachine.State.RUNNING,
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
