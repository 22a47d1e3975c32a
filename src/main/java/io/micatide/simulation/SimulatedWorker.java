package io.micatide.simulation;

import io.micatide.controller.ActorExecutor;
import io.micatide.model.Command;
import io.micatide.model.ExitCause;
import io.micatide.model.Heartbeat;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.WorkerSideCodec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** A worker: reports to a controller, runs what it is told, and kills all of it when nobody answers for its lease. */
public final class SimulatedWorker {
    /** What happens to tasks, for whoever counts. */
    public interface Witness {
        /** A task is on its machine from now on. */
        void taskStarted(String task, long attempt, String machine);

        /** It is not any more. */
        void taskEnded(String task, long attempt, String machine, ExitCause cause);

        /** A start was taken: from now on the task holds its part of the machine, also while its image is fetched. */
        default void startAccepted(JobSpec spec, String task, long attempt, SimulatedCloud.RentedMachine machine) {}

        /** It holds nothing any more, whether it ever was on its machine or not. */
        default void resourcesReleased(String task, long attempt, SimulatedCloud.RentedMachine machine) {}

        /** Nobody answered a machine's reports for its lease: all that was on it is killed. */
        default void leaseExpired(SimulatedCloud.RentedMachine machine) {}
    }

    /** How long a task runs. */
    @FunctionalInterface
    public interface RunTime {
        long micros(String job, int index, long estimateMicros);
    }

    private static final long PATIENCE_MICROS = 4 * Micros.SECOND;
    private static final long MINIMUM_GAP_MICROS = 500 * Micros.MILLISECOND;
    private static final long ELSEWHERE_MICROS = Micros.SECOND;

    private final ActorExecutor executor;
    private final Settings settings;
    private final SimulatedCloud.RentedMachine machine;
    private final Map<String, Http> controllers;
    private final List<String> controllerLabels;
    private final Function<String, JobSpec> jobDescriptions;
    private final GangRendezvous gangs;
    private final Witness observer;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long incarnation = 1;
    private long sequence;
    private long highestToken;
    private long lastAnsweredSentMicros;
    private long lastSentMicros;
    private String address;
    private int controllerIndex;
    private boolean heartbeatInFlight;
    private boolean heartbeatScheduled;
    private boolean deleted;
    private RunTime runTime = (job, index, estimateMicros) -> estimateMicros;

    /** A task that was told to start. */
    static final class Task {
        final String job;
        final int index;
        final long attempt;
        final JobSpec spec;
        TaskState state = TaskState.FETCHING;
        ExitCause cause;
        boolean saved;
        /** Its start was not refused. */
        boolean holdsResources;

        Task(String job, int index, long attempt, JobSpec spec) {
            this.job = job;
            this.index = index;
            this.attempt = attempt;
            this.spec = spec;
        }

        boolean isOver() {
            return cause != null;
        }

        String name() {
            return job + "/" + index;
        }
    }

    /**
     * @param controllers by label, in the order in which they are tried
     * @param described the job as its user described it, null if nobody submitted it
     */
    public SimulatedWorker(
            ActorExecutor loop,
            Settings settings,
            SimulatedCloud.RentedMachine machine,
            Map<String, Http> controllers,
            Function<String, JobSpec> described,
            GangRendezvous gangs,
            Witness witness) {
        this.executor = loop;
        this.settings = settings;
        this.machine = machine;
        this.controllers = controllers;
        this.controllerLabels = List.copyOf(controllers.keySet());
        this.jobDescriptions = described;
        this.gangs = gangs;
        this.observer = witness;
        this.address = machine.name() + ":9000";
        this.controllerIndex = Math.floorMod(machine.name().hashCode(), controllerLabels.size());
    }

    /** The machine is up. */
    public void start() {
        lastAnsweredSentMicros = executor.now();
        watchLease();
        sendHeartbeat();
        scheduleRegularHeartbeats();
    }

    /** The machine is gone, with all that is on it. */
    public void delete() {
        deleted = true;
        kill();
    }

    private void kill() {
        for (Task task : tasks.values()) {
            if (!task.isOver()) {
                over(task, ExitCause.STOPPED);
            }
        }
        tasks.clear();
    }

    private void watchLease() {
        executor.executeLater(
                () -> {
                    if (deleted) {
                        return;
                    }
                    expireLease(executor.now());
                    watchLease();
                },
                100 * Micros.MILLISECOND);
    }

    /** If it is over: a machine that hangs finds that before it does anything else, so others may call this while it does. */
    public void expireLease(long now) {
        if (!deleted && now - lastAnsweredSentMicros > settings.workerLeaseMicros()) {
            observer.leaseExpired(machine);
            kill();
            incarnation++;
            lastAnsweredSentMicros = now;
            scheduleHeartbeat();
        }
    }

    /** How long tasks run, by their job, their number and what the owner estimates. */
    public void setRunTime(RunTime time) {
        runTime = time;
    }

    /** Where it takes commands directly, as host and port; by default a name that only virtual time knows. */
    public void setAddress(String endpoint) {
        address = endpoint;
    }

    // ---- reports

    private void scheduleRegularHeartbeats() {
        executor.executeLater(
                () -> {
                    if (!deleted) {
                        sendHeartbeat();
                        scheduleRegularHeartbeats();
                    }
                },
                settings.heartbeatIntervalMicros());
    }

    private void scheduleHeartbeat() {
        if (heartbeatScheduled || deleted) {
            return;
        }
        heartbeatScheduled = true;
        executor.executeLater(
                () -> {
                    heartbeatScheduled = false;
                    sendHeartbeat();
                },
                Math.max(0, lastSentMicros + MINIMUM_GAP_MICROS - executor.now()));
    }

    private void sendHeartbeat() {
        if (deleted || heartbeatInFlight) {
            return;
        }
        heartbeatInFlight = true;
        long sent = executor.now();
        long ofIncarnation = incarnation;
        lastSentMicros = sent;
        controllers
                .get(controllerLabels.get(controllerIndex))
                .post(
                        "/v1/report",
                        WorkerSideCodec.heartbeat(newHeartbeat()),
                        PATIENCE_MICROS,
                        reply -> answered(reply, sent, ofIncarnation));
    }

    private Heartbeat newHeartbeat() {
        List<TaskStatus> lines = new ArrayList<>();
        for (Task task : tasks.values()) {
            lines.add(new TaskStatus(
                    task.job,
                    task.index,
                    task.attempt,
                    task.isOver() ? TaskState.EXITED : task.state,
                    task.cause,
                    task.saved));
        }
        return new Heartbeat(
                machine.name(),
                address,
                machine.type().name(),
                machine.zone(),
                machine.spot(),
                incarnation,
                ++sequence,
                highestToken,
                -1,
                lines);
    }

    private void answered(Reply reply, long sent, long ofIncarnation) {
        heartbeatInFlight = false;
        if (deleted) {
            return;
        }
        if (reply.ok()) {
            execute(reply, sent, ofIncarnation);
            return;
        }
        String other = reply.status() == 421 ? WorkerSideCodec.redirectTarget(reply.body()) : null;
        int next = other == null ? -1 : controllerLabels.indexOf(other);
        boolean named = next >= 0 && next != controllerIndex;
        Http left = controllers.get(controllerLabels.get(controllerIndex));
        controllerIndex = named ? next : (controllerIndex + 1) % controllerLabels.size();
        executor.executeLater(
                () -> {
                    left.close();
                    sendHeartbeat();
                },
                named ? 100 * Micros.MILLISECOND : ELSEWHERE_MICROS);
    }

    private void execute(Reply reply, long sent, long ofIncarnation) {
        try {
            WorkerSideCodec.Answer answer = WorkerSideCodec.answer(reply.body());
            if (ofIncarnation != incarnation || answer.fencingToken() < highestToken) {
                return;
            }
            lastAnsweredSentMicros = Math.max(lastAnsweredSentMicros, sent);
            boolean higher = answer.fencingToken() > highestToken;
            highestToken = answer.fencingToken();
            answer.commands().forEach(this::execute);
            if (higher) {
                scheduleHeartbeat();
            }
        } catch (MalformedException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    /** Commands outside an answer to a report. */
    public void handle(Request request) {
        if (deleted) {
            return;
        }
        try {
            WorkerSideCodec.Answer direct = WorkerSideCodec.answer(request.body());
            boolean executed = request.path().equals("/commands")
                    && direct.fencingToken() >= highestToken
                    && WorkerSideCodec.incarnation(request.body()) == incarnation;
            if (executed) {
                if (direct.fencingToken() > highestToken) {
                    highestToken = direct.fencingToken();
                    scheduleHeartbeat();
                }
                direct.commands().forEach(this::execute);
            }
            request.answer(executed ? 200 : 409, WorkerSideCodec.heartbeat(newHeartbeat()));
        } catch (MalformedException e) {
            request.answer(400, new byte[0]);
        }
    }

    // ---- tasks

    private void execute(Command command) {
        String key = command.job() + "/" + command.taskIndex() + "@" + command.attempt();
        Task task = tasks.get(key);
        if (command instanceof Command.Start && task == null) {
            start(command, key);
        } else if (command instanceof Command.Stop stop && task != null && !task.isOver()) {
            stop(task, stop.graceMicros());
        } else if (command instanceof Command.Reap && task != null && task.isOver()) {
            tasks.remove(key);
        }
    }

    private void start(Command command, String key) {
        JobSpec spec = jobDescriptions.apply(command.job());
        Task task = new Task(command.job(), command.taskIndex(), command.attempt(), spec);
        tasks.put(key, task);
        scheduleHeartbeat();
        if (spec == null || command.taskIndex() >= spec.taskCount()) {
            task.cause = ExitCause.UNKNOWN;
        } else if (!fitsMachine()) {
            task.cause = ExitCause.NO_ROOM;
        } else if (tasks.values().stream()
                .anyMatch(each -> each != task && !each.isOver() && each.name().equals(task.name()))) {
            task.cause = ExitCause.BUSY;
        } else {
            observer.startAccepted(spec, task.name(), task.attempt, machine);
            task.holdsResources = true;
            long fetch = machine.type().fetchGbPerSecond() > 0
                    ? Micros.ofSeconds(
                            Math.min(spec.imageGb(), 100) / machine.type().fetchGbPerSecond())
                    : 0;
            executor.executeLater(() -> imageFetched(task), fetch);
        }
    }

    private boolean fitsMachine() {
        Resources used = Resources.NONE;
        for (Task each : tasks.values()) {
            if (!each.isOver()) {
                used = used.plus(each.spec.taskResources());
            }
        }
        Resources size = machine.type().resources();
        return used.cpus() <= size.cpus() && used.gpus() <= size.gpus() && used.memory() <= size.memory();
    }

    private void imageFetched(Task task) {
        if (task.isOver() || deleted) {
            return;
        }
        observer.taskStarted(task.name(), task.attempt, machine.name());
        if (task.spec.kind() == JobKind.GANG) {
            task.state = TaskState.WAITING;
            gangs.taskArrived(this, task);
        } else {
            run(task, runTime.micros(task.job, task.index, task.spec.estimatedRuntimeMicros()));
        }
        scheduleHeartbeat();
    }

    /** Runs for so long, a service until it is stopped. */
    void run(Task task, long micros) {
        task.state = TaskState.RUNNING;
        if (task.spec.kind() != JobKind.SERVICE) {
            executor.executeLater(
                    () -> {
                        if (task.spec.kind() != JobKind.GANG || !gangs.isBroken(task)) {
                            exit(task, ExitCause.DONE);
                        }
                    },
                    micros);
        }
        scheduleHeartbeat();
    }

    private void stop(Task task, long graceMicros) {
        if (task.state == TaskState.RUNNING
                && task.spec.checkpointIntervalMicros() > 0
                && graceMicros >= task.spec.saveMicros()) {
            task.state = TaskState.SAVING;
            executor.executeLater(
                    () -> {
                        task.saved = !task.isOver();
                        exit(task, ExitCause.STOPPED);
                    },
                    task.spec.saveMicros());
            scheduleHeartbeat();
        } else {
            exit(task, ExitCause.STOPPED);
        }
    }

    void exit(Task task, ExitCause cause) {
        if (!task.isOver() && !deleted && tasks.containsValue(task)) {
            over(task, cause);
            scheduleHeartbeat();
        }
    }

    private void over(Task task, ExitCause cause) {
        boolean was = task.state != TaskState.FETCHING;
        task.cause = cause;
        if (was) {
            observer.taskEnded(task.name(), task.attempt, machine.name(), cause);
        }
        if (task.holdsResources) {
            observer.resourcesReleased(task.name(), task.attempt, machine);
        }
        if (task.spec.kind() == JobKind.GANG) {
            gangs.taskLeft(task, cause);
        }
    }
}
