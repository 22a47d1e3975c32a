package io.micatide.simulation;

import io.micatide.controller.ActorExecutor;
import io.micatide.model.ExitCause;
import io.micatide.model.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** How the tasks of gangs find one another: by attempt, wherever they are. What they saved is not kept over attempts. */
public final class GangRendezvous {
    private final ActorExecutor loop;
    private final Settings settings;
    private final Map<String, Map<SimulatedWorker.Task, SimulatedWorker>> present = new HashMap<>();
    /** Attempts that lost a task or were stopped: they make no more progress, and never complete. */
    private final Set<String> isBroken = new HashSet<>();

    public GangRendezvous(ActorExecutor loop, Settings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    private static String attempt(SimulatedWorker.Task task) {
        return task.job + "@" + task.attempt;
    }

    boolean isBroken(SimulatedWorker.Task task) {
        return isBroken.contains(attempt(task));
    }

    void taskArrived(SimulatedWorker worker, SimulatedWorker.Task task) {
        Map<SimulatedWorker.Task, SimulatedWorker> peers =
                present.computeIfAbsent(attempt(task), k -> new LinkedHashMap<>());
        peers.put(task, worker);
        if (peers.size() == task.spec.taskCount()) {
            peers.forEach((each, at) -> at.run(each, each.spec.estimatedRuntimeMicros()));
        } else {
            loop.executeLater(
                    () -> {
                        if (task.state == io.micatide.model.TaskState.WAITING) {
                            worker.exit(task, ExitCause.ALONE);
                        }
                    },
                    settings.gangStartTimeoutMicros());
        }
    }

    /** All complete together; the others of a running gang that lost a task end soon after. */
    void taskLeft(SimulatedWorker.Task task, ExitCause cause) {
        // Nobody of an attempt has arrived if its first task is stopped while it fetches.
        Map<SimulatedWorker.Task, SimulatedWorker> peers = present.get(attempt(task));
        boolean ran = task.state == io.micatide.model.TaskState.RUNNING;
        if (peers == null || peers.remove(task) == null || !ran) {
            return;
        }
        List<Map.Entry<SimulatedWorker.Task, SimulatedWorker>> others = List.copyOf(peers.entrySet());
        if (cause == ExitCause.DONE) {
            others.forEach(each -> each.getValue().exit(each.getKey(), ExitCause.DONE));
        } else {
            isBroken.add(attempt(task));
            loop.executeLater(
                    () -> others.forEach(each -> each.getValue().exit(each.getKey(), ExitCause.PEERS)),
                    settings.gangPeerTimeoutMicros());
        }
    }
}
