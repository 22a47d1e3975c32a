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
 * Simulates the store, the cloud and the workers of one scheduler according to the published protocol, in simulated time.
 * A leader can be killed after any interaction, and a transaction that it had sent may still be applied later. Without
 * care by the next leader, a task would then run a second time.
 */
final class SchedulerHarness {
    static final long STEP_MICROS = 100 * Micros.MILLISECOND;
    static final MachineType TYPE =
            new MachineType("small", Resources.of(8, 0, 64), 25, 0.5, 0.5, 0.2, 10 * Micros.SECOND, List.of("a", "b"));

    final Settings settings;
    final Random random;
    long now = Micros.SECOND;
    long revision = 100;
    /** Contents of the store by key. */
    final TreeMap<String, StoredRecord> records = new TreeMap<>();
    /** Revision of the last write of each key of {@link #records}. */
    final Map<String, Long> versions = new HashMap<>();

    final Map<String, Worker> workers = new LinkedHashMap<>();
    /** Violations of the invariants of all scenarios; each text begins with the violated rule. */
    final List<String> violations = new ArrayList<>();
    /** Tasks that were started at least once, as {@code job/index}. */
    final Set<String> startedTasks = new HashSet<>();

    final Set<String> cancelled = new HashSet<>();
    /** Time at which each cancelled job was cancelled. */
    final Map<String, Long> cancelledMicros = new HashMap<>();
    /** Number of task starts. */
    int starts;

    private int machineNumber;

    /** Creates the planner of each new leader. */
    SchedulerComponents.PlannerFactory plannerFactory = PlacementPlanner::new;
    /** Receives the text form of each decision of a leader, in order: commands, transactions and cloud calls. */
    Consumer<String> decisionListener = decision -> {};
    /** Receives the same decisions in the form in which they are sent. */
    Consumer<String> messageListener = message -> {};
    /** Time at which the cloud will reclaim each spot machine that has a notice, by machine name. */
    final Map<String, Long> spotNoticeEndsMicros = new HashMap<>();

    /** Number of tasks of arrays that each new leader may have placed at once. */
    long maxArrayTasks = Long.MAX_VALUE;

    Scheduler leader;
    long fencingToken;
    /** Number of the interaction at which the leader is killed; -1 if it is never killed. */
    int killAtInteraction = -1;

    /** Interactions of the leaders so far. */
    int interactions;

    /** Time until which no new leader is elected. */
    long noLeaderUntilMicros = -1;
    /** Transactions in flight that the store applies later, or never: their leader was killed or received no answer. */
    final Deque<Transaction> delayedTransactions = new ArrayDeque<>();
    /** A leader that has lost the connection to the store and to its successor, but still answers the workers of zone a; or null. */
    Scheduler isolatedLeader;

    long isolatedLeaderToken;
    long isolatedUntilMicros;
    /** Probability that the answer to a request is lost. */
    double lostAnswerProbability;

    /** Factor by which a boot takes longer than the machine type states. */
    int bootTimeFactor = 1;

    /** Number of machines, deleted ones included, up to which the cloud has more. */
    int maxWorkers = 40;

    /** Number of machines that the cloud was asked to delete, except for delayed deletions. */
    int machinesDeleted;

    /** Whether an announcement is answered by the worker after each of its heartbeats. */
    boolean announcesAtEachHeartbeat;
    /** Hints that each new leader receives. */
    List<Hint> hints = List.of();
    /** Whether leaders write provisioning requests only on condition of the versions of their records and of the provisioning fence. */
    boolean fencesProvisioning = true;
    /** Whether leaders write a record that names machines before they delete them. */
    boolean recordsMachineDeletions = true;
    /** Time after which the cloud executes deletions, without an answer; 0 if it executes and answers them at once. */
    long deletionDelayMicros;

    private final TreeMap<Long, List<String>> delayedDeletions = new TreeMap<>();
    /** Number of tasks on machines at the time of their delayed deletion. */
    int tasksLostToDeletions;

    /** Jobs whose tasks fail one second after their start. */
    final Set<String> faultyJobs = new HashSet<>();

    /** Machines on which tasks fail one second after their start. */
    final Set<String> faultyMachines = new HashSet<>();
    /** Number of task starts by job. */
    final Map<String, Integer> startsByJob = new HashMap<>();

    boolean storeOutage;
    boolean cloudOutage;
    /** Number of leaders started, including the first one. */
    int leadersStarted;

    /** Largest value that the store accepts now; the settings may have a lower limit that is to come into force later. */
    int maxValueBytes = 16 * 1024;

    /** Most writes per transaction that the store accepts now; four times as many conditions are accepted. */
    int maxWritesPerTransaction = 16;
    /** Number of transactions that the store rejected because they exceeded a limit. */
    int rejectedTransactions;

    /** Whether the next leader finds the current layout marked in the store as readable by all controllers. */
    boolean isLayoutMarked;

    SchedulerHarness(long seed, int machines) {
        this(seed, machines, 16 * 1024, 16);
    }

    SchedulerHarness(long seed, int machines, int writableBytes, int maxWrites) {
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
                maxWrites,
                8,
                5 * Micros.SECOND,
                0.4,
                150,
                700);
        for (int i = 0; i < machines; i++) {
            boot(i % 2 == 0 ? "a" : "b", false, 0);
        }
    }

    /** A worker that follows the published protocol. */
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

        Worker(String name, String zone, boolean isSpot, long bootedMicros) {
            this.name = name;
            this.zone = zone;
            this.isSpot = isSpot;
            this.bootedMicros = bootedMicros;
            this.lastAnsweredMicros = bootedMicros;
            this.nextHeartbeatMicros = bootedMicros;
        }

        Heartbeat heartbeat() {
            sequence++;
            List<TaskStatus> statuses = new ArrayList<>();
            for (Task task : tasks.values()) {
                statuses.add(new TaskStatus(task.job, task.index, task.attempt, task.state(), task.exitCause, false));
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
                    statuses);
        }

        private long remainingNoticeMicros() {
            return spotNoticeEndsMicros.containsKey(name) ? Math.max(0, spotNoticeEndsMicros.get(name) - now) : -1;
        }

        void execute(long answerToken, List<Command> commands, long sentMicros, long expectedIncarnation) {
            if (isDeleted || expectedIncarnation != incarnation || answerToken < seenToken) {
                return;
            }
            seenToken = answerToken;
            lastAnsweredMicros = Math.max(lastAnsweredMicros, sentMicros);
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
                boolean isFaulty = faultyJobs.contains(task.job) || faultyMachines.contains(name);
                if (task.exitCause == null && isFaulty && now >= task.startedMicros + Micros.SECOND) {
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

    /** Advances a task of a gang: all tasks start to run when the last one was started, finish together, and end when one of them is lost. */
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

    Worker boot(String zone, boolean isSpot, long bootedMicros) {
        String name = String.format("i-%06d", ++machineNumber);
        Worker worker = new Worker(name, zone, isSpot, Math.max(bootedMicros, now));
        workers.put(name, worker);
        return worker;
    }

    private void start(Worker worker, Command command, String key) {
        String taskName = command.job() + "/" + command.taskIndex();
        StoredRecord storedRecord = records.get(StoreKeys.job(command.job()));
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
        if (storedRecord == null) {
            violations.add("started without a record: " + taskName);
        }
        for (String dependency : spec.dependencies()) {
            if (state(dependency) != JobState.DONE) {
                violations.add("too_early " + taskName + " before " + dependency);
            }
        }
        long redTeamCpus = 0;
        for (Worker other : workers.values()) {
            for (Task running : other.tasks.values()) {
                if (running.exitCause == null && specs.get(running.job).team().equals("red")) {
                    redTeamCpus += specs.get(running.job).taskResources().cpus();
                }
            }
        }
        if (redTeamCpus > settings.teams().get("red").maxCpus()) {
            violations.add("quota exceeded by " + taskName);
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
        StoredRecord.JobRecord storedRecord = (StoredRecord.JobRecord) records.get(StoreKeys.job(id));
        if (storedRecord != null && storedRecord.state() == JobState.OPEN) {
            cancelledMicros.put(id, now);
            put(
                    StoreKeys.job(id),
                    new StoredRecord.JobRecord(
                            JobState.CANCELLED,
                            storedRecord.spec(),
                            storedRecord.submittedWall(),
                            storedRecord.taskCount()),
                    ++revision);
        }
    }

    /** Job cache of a controller, built from the job records; the leader is notified of each change. */
    final JobCache jobCache = new JobCache();

    private void updateJobCache(String key, StoredRecord.JobRecord storedRecord, long version) {
        for (String changed : jobCache.apply(key.substring(StoreKeys.JOBS.length()), storedRecord, version)) {
            if (leader != null) {
                leader.jobChanged(jobCache.view(changed), now, now);
            }
        }
    }

    JobState state(String id) {
        return ((StoredRecord.JobRecord) records.get(StoreKeys.job(id))).state();
    }

    /** Encodes and decodes a record, so that a leader reads the stored text of its predecessor and not its objects. */
    private static StoredRecord encodeAndDecode(String key, StoredRecord storedRecord, long version) {
        try {
            JsonNode data = Json.tree(StoreCodec.transaction(
                            new Transaction(List.of(), List.of(new Transaction.Write(key, storedRecord, 0)))))
                    .path("writes")
                    .get(0)
                    .path("data");
            return StoreCodec.item(("{\"k\":\"" + key + "\",\"data\":" + data + ",\"stamp\":" + version + "}")
                            .getBytes(StandardCharsets.UTF_8))
                    .record();
        } catch (MalformedException e) {
            throw new IllegalStateException(key + ": " + e.getMessage(), e);
        }
    }

    private void put(String key, StoredRecord written, long version) {
        StoredRecord storedRecord = written == null ? null : encodeAndDecode(key, written, version);
        if (storedRecord == null) {
            records.remove(key);
            versions.remove(key);
        } else {
            if (storedRecord instanceof StoredRecord.JobRecord job && job.state() == JobState.DONE) {
                checkDone(key.substring(StoreKeys.JOBS.length()));
            }
            records.put(key, storedRecord);
            versions.put(key, version);
            if (storedRecord instanceof StoredRecord.JobRecord job) {
                updateJobCache(key, job, version);
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

    /** Applies a transaction and returns its revision, or 0 if a condition failed. */
    long apply(Transaction transaction) {
        for (Transaction.Condition condition : transaction.conditions()) {
            if (versions.getOrDefault(condition.key(), 0L) != condition.version()) {
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
        leader = new Scheduler(settings, Tuning.defaults(settings), maxArrayTasks, fencingToken, now, plannerFactory);
        leader.hintsReceived(hints, false, now);
        leadersStarted++;
        leader.machineTypesChanged(List.of(TYPE), now);
        jobCache.openAndCancelledJobs().forEach(view -> leader.jobChanged(view, now, now));
        if (isLayoutMarked) {
            put(
                    StoreKeys.LAYOUT,
                    new StoredRecord.Layout(Settings.CURRENT_LAYOUT, settings.pageTasks()),
                    versions.getOrDefault(StoreKeys.LAYOUT, ++revision));
            leader.layoutMarked(versions.get(StoreKeys.LAYOUT), (StoredRecord.Layout) records.get(StoreKeys.LAYOUT));
        }
        records.forEach((key, storedRecord) -> {
            if (storedRecord instanceof StoredRecord.Ledger ledger) {
                leader.ledgerLoaded(key, ledger, versions.get(key), now);
            } else if (storedRecord instanceof StoredRecord.MachinesToDelete deletion) {
                leader.machineDeletionLoaded(key, deletion, versions.get(key), now);
            } else if (storedRecord instanceof StoredRecord.Provisioning provisioning) {
                leader.provisioningRequestLoaded(
                        key.substring(StoreKeys.PROVISIONING_REQUESTS.length()), provisioning, versions.get(key), now);
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

    /** Counts an interaction, kills the leader if it is due, and returns whether there is no leader. */
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

    /** Pauses the leader's process while the clock and the workers go on. */
    void pauseLeader(long micros) {
        for (long end = now + micros; now < end; now += STEP_MICROS) {
            for (Worker worker : workers.values()) {
                if (!worker.isDeleted && worker.bootedMicros <= now) {
                    worker.advanceTasks();
                }
            }
        }
        leader.processResumed(now);
        // Timers may fire before the process has read the messages that wait at its sockets.
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
        if (call instanceof CloudCall.RequestMachines rent) {
            return String.join(
                    " ", "rent", rent.requestName(), rent.type(), rent.zone(), "" + rent.spot(), "" + rent.count());
        }
        return call instanceof CloudCall.DeleteMachines delete
                ? "delete " + delete.machines()
                : call instanceof CloudCall.ListMachines ? "list" : "types";
    }

    /** Cuts the leader off from the store and from all zones except zone a. A new leader is elected when its lease has expired. */
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
                // The worker tried the new leader, whose answer was lost, and returns to the previous leader.
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
            // The answer to the announcement arrives first: the worker created it before it received the commands.
            leader.announcementAnswered(worker.heartbeat(), now);
        }
        boolean isAnswerLost = random.nextDouble() < lostAnswerProbability;
        boolean isKilledAfter = killLeaderIfDue();
        if (!isAnswerLost && !(isKilledAfter && random.nextBoolean())) {
            worker.execute(fencingToken, commands, now, incarnation);
        }
    }

    /** Applies the next transaction of the leader, if there is one. */
    void executeWriteBatch() {
        Transaction transaction = leader.nextWriteBatch(now, now);
        if (transaction == null) {
            return;
        }
        decisionListener.accept(now + " " + transaction);
        messageListener.accept(now + " " + text(StoreCodec.transaction(transaction)));
        if (killLeaderIfDue()) {
            // The leader was killed while the request was in flight: it arrives later, or never.
            delayedTransactions.add(transaction);
            return;
        }
        if (storeOutage) {
            leader.writeNotExecuted(now);
            return;
        }
        if (exceedsLimits(transaction)) {
            rejectedTransactions++;
            leader.writeRejected(now);
            return;
        }
        boolean isAnswerLost = random.nextDouble() < lostAnswerProbability;
        if (isAnswerLost && random.nextBoolean()) {
            delayedTransactions.add(transaction);
            readBack();
            return;
        }
        List<String> failed = new ArrayList<>();
        for (Transaction.Condition condition : transaction.conditions()) {
            if (versions.getOrDefault(condition.key(), 0L) != condition.version()) {
                failed.add(condition.key());
            }
        }
        long applied = apply(transaction);
        if (killLeaderIfDue()) {
            return;
        }
        if (isAnswerLost) {
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

    private boolean exceedsLimits(Transaction transaction) {
        boolean exceeds = transaction.writes().size() > maxWritesPerTransaction
                || transaction.conditions().size() > 4 * maxWritesPerTransaction;
        for (Transaction.Write write : transaction.writes()) {
            exceeds |= write.record() != null && StoreCodec.encodedBytes(write.record()) > maxValueBytes;
        }
        return exceeds;
    }

    private void readBack() {
        leader.unresolvedWriteKeys().forEach(this::read);
        leader.writeResolved(now);
    }

    private void read(String key) {
        StoredRecord storedRecord = records.get(key);
        if (Scheduler.isCloudRecord(key)) {
            leader.cloudRecordReadBack(key, storedRecord, versions.getOrDefault(key, 0L));
        } else if (storedRecord instanceof StoredRecord.JobRecord job) {
            leader.jobReadBack(key.substring(StoreKeys.JOBS.length()), job, versions.get(key), now);
        } else if (key.startsWith(StoreKeys.LEDGERS)) {
            leader.ledgerReadBack(key, (StoredRecord.Ledger) storedRecord, versions.getOrDefault(key, 0L));
        }
    }

    private void executeCloudCall(CloudCall call) {
        if (call instanceof CloudCall.RequestMachines rent) {
            if (cloudOutage) {
                leader.provisioningUnanswered(rent.requestName(), now);
                return;
            }
            List<String> names = new ArrayList<>();
            for (int i = 0; i < rent.count() && workers.size() < maxWorkers; i++) {
                names.add(boot(rent.zone(), rent.spot(), now + bootTimeFactor * TYPE.bootMicros()).name);
            }
            if (random.nextDouble() < lostAnswerProbability) {
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
            List<ListedMachine> machines = new ArrayList<>();
            for (Worker worker : workers.values()) {
                if (!worker.isDeleted) {
                    machines.add(new ListedMachine(
                            worker.name,
                            TYPE.name(),
                            worker.zone,
                            worker.isSpot,
                            worker.bootedMicros > now ? ListedMachine.State.BOOTING : ListedMachine.State.RUNNING,
                            0));
                }
            }
            leader.machinesListed(machines, now, now);
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
