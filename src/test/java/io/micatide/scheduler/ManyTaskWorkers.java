package io.micatide.scheduler;

import io.micatide.model.Command;
import io.micatide.model.ExitCause;
import io.micatide.model.Heartbeat;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.TaskState;
import io.micatide.model.TaskStatus;
import io.micatide.protocol.WorkerSideCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Workers for many thousands of tasks, which {@link SchedulerHarness.Worker} is too slow for: tasks run from their start
 * until they are stopped or {@link #finishAll} is called. Measures how long the leader takes for its steps, and how large
 * the heartbeats are.
 */
final class ManyTaskWorkers {
    private static final int NANOS_PER_MICRO = 1_000;

    private final SchedulerHarness harness;
    private final Map<String, ManyTaskWorker> workers = new LinkedHashMap<>();
    private final Map<String, Integer> liveTasksByJob = new HashMap<>();
    private final Set<String> liveTasks = new HashSet<>();
    /** Tasks that were started while another attempt of them was live. */
    final List<String> startedTwice = new ArrayList<>();
    /** The longest time that the leader took for one tick, one heartbeat or one write. */
    long longestLeaderStepMicros;
    /** Size of the largest heartbeat. */
    int largestHeartbeatBytes;
    /** Size of the longest line of an answer to a heartbeat, encoded as it is sent. */
    int longestAnswerLineBytes;

    /** Creates workers of a harness that has none of its own, with a leader. */
    ManyTaskWorkers(SchedulerHarness harness, int machines) {
        this.harness = harness;
        for (int i = 0; i < machines; i++) {
            String name = String.format("i-%06d", i);
            workers.put(name, new ManyTaskWorker(name, i % 2 == 0 ? "a" : "b"));
        }
    }

    private final class ManyTaskWorker {
        final String name;
        final String zone;
        final Map<String, TaskStatus> tasks = new LinkedHashMap<>();
        long sequence;
        long seenToken;
        long noticeMicros = -1;

        ManyTaskWorker(String name, String zone) {
            this.name = name;
            this.zone = zone;
        }

        void exchangeHeartbeat() {
            Heartbeat heartbeat = new Heartbeat(
                    name,
                    name + ":9000",
                    SchedulerHarness.TYPE.name(),
                    zone,
                    false,
                    1,
                    ++sequence,
                    seenToken,
                    noticeMicros,
                    List.copyOf(tasks.values()));
            largestHeartbeatBytes = Math.max(largestHeartbeatBytes, WorkerSideCodec.heartbeat(heartbeat).length);
            List<Command> commands = new ArrayList<>();
            timed(() -> commands.addAll(harness.leader.handleHeartbeat(heartbeat, harness.now)));
            longestAnswerLineBytes =
                    Math.max(longestAnswerLineBytes, AnswerLines.longestBytes(harness.fencingToken, commands));
            seenToken = harness.fencingToken;
            commands.forEach(this::execute);
        }

        private void execute(Command command) {
            String key = command.job() + "/" + command.taskIndex() + "@" + command.attempt();
            TaskStatus task = tasks.get(key);
            if (command instanceof Command.Start && task == null) {
                start(command, key);
            } else if (command instanceof Command.Stop && task != null) {
                exit(key, ExitCause.STOPPED);
            } else if (command instanceof Command.Reap && task != null && task.state() == TaskState.EXITED) {
                tasks.remove(key);
            }
        }

        private void start(Command command, String key) {
            if (!liveTasks.add(command.job() + "/" + command.taskIndex())) {
                startedTwice.add(key);
            }
            liveTasksByJob.merge(command.job(), 1, Integer::sum);
            tasks.put(key, status(command.job(), command.taskIndex(), command.attempt(), null));
        }

        void exit(String key, ExitCause cause) {
            TaskStatus task = tasks.get(key);
            if (task.state() != TaskState.EXITED) {
                tasks.put(key, status(task.job(), task.taskIndex(), task.attempt(), cause));
                liveTasks.remove(task.job() + "/" + task.taskIndex());
                liveTasksByJob.merge(task.job(), -1, Integer::sum);
            }
        }

        private static TaskStatus status(String job, int index, long attempt, ExitCause cause) {
            TaskState state = cause == null ? TaskState.RUNNING : TaskState.EXITED;
            return new TaskStatus(job, index, attempt, state, cause, false);
        }
    }

    /** Runs a step of the leader and measures how long it takes. */
    void timed(Runnable leaderStep) {
        long startedNanos = System.nanoTime();
        leaderStep.run();
        longestLeaderStepMicros =
                Math.max(longestLeaderStepMicros, (System.nanoTime() - startedNanos) / NANOS_PER_MICRO);
    }

    /** Runs the leader and the workers. */
    void run(long micros) {
        long heartbeatMicros = harness.settings.heartbeatIntervalMicros();
        for (long end = harness.now + micros; harness.now < end; harness.now += SchedulerHarness.STEP_MICROS) {
            if (harness.now % heartbeatMicros < SchedulerHarness.STEP_MICROS) {
                workers.values().forEach(ManyTaskWorker::exchangeHeartbeat);
            }
            harness.leader.storeReadAt(harness.now);
            timed(() -> harness.leader.tick(harness.now));
            timed(harness::executeWriteBatch);
        }
    }

    /** Submits a job and runs until as many of its tasks are live, for {@code seconds} at most. */
    void submitAndAwait(JobSpec spec, int tasks, int seconds) {
        harness.submit(spec);
        for (int i = 0; i < seconds && liveTasks(spec.id()) < tasks; i++) {
            run(Micros.SECOND);
        }
    }

    /** Completes all tasks that run. */
    void finishAll() {
        for (ManyTaskWorker worker : workers.values()) {
            for (String key : List.copyOf(worker.tasks.keySet())) {
                worker.exit(key, ExitCause.DONE);
            }
        }
    }

    /** Lets the cloud announce to each worker, one after the other, that it reclaims the machine. */
    void announceReclaims(int machines) {
        workers.values().stream().limit(machines).forEach(worker -> worker.noticeMicros = 60 * Micros.SECOND);
    }

    int liveTasks(String job) {
        return liveTasksByJob.getOrDefault(job, 0);
    }

    int liveTasks() {
        return liveTasks.size();
    }
}
