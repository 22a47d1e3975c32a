package io.micatide.simulation;

import io.micatide.controller.Loop;
import io.micatide.model.ExitCause;
import io.micatide.model.Settings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** How the tasks of gangs find one another: by attempt, wherever they are. What they saved is not kept over attempts. */
public final class Gangs {
    private final Loop loop;
    private final Settings settings;
    private final Map<String, Map<WorkerStandIn.Task, WorkerStandIn>> present = new HashMap<>();
    /** Attempts that lost a task or were stopped: they make no more progress, and never complete. */
    private final Set<String> broken = new HashSet<>();

    public Gangs(Loop loop, Settings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    private static String attempt(WorkerStandIn.Task task) {
        return task.job + "@" + task.attempt;
    }

    boolean broken(WorkerStandIn.Task task) {
        return broken.contains(attempt(task));
    }

    void arrived(WorkerStandIn worker, WorkerStandIn.Task task) {
        Map<WorkerStandIn.Task, WorkerStandIn> peers =
                present.computeIfAbsent(attempt(task), k -> new LinkedHashMap<>());
        peers.put(task, worker);
        if (peers.size() == task.spec.tasks()) {
            peers.forEach((each, at) -> at.run(each, each.spec.estimateMicros()));
        } else {
            loop.later(
                    () -> {
                        if (task.state == io.micatide.model.TaskState.WAITING) {
                            worker.exit(task, ExitCause.ALONE);
                        }
                    },
                    settings.gangWaitMicros());
        }
    }

    /** All complete together; the others of a running gang that lost a task end soon after. */
    void left(WorkerStandIn.Task task, ExitCause cause) {
        // Nobody of an attempt has arrived if its first task is stopped while it fetches.
        Map<WorkerStandIn.Task, WorkerStandIn> peers = present.get(attempt(task));
        boolean ran = task.state == io.micatide.model.TaskState.RUNNING;
        if (peers == null || peers.remove(task) == null || !ran) {
            return;
        }
        List<Map.Entry<WorkerStandIn.Task, WorkerStandIn>> others = List.copyOf(peers.entrySet());
        if (cause == ExitCause.DONE) {
            others.forEach(each -> each.getValue().exit(each.getKey(), ExitCause.DONE));
        } else {
            broken.add(attempt(task));
            loop.later(
                    () -> others.forEach(each -> each.getValue().exit(each.getKey(), ExitCause.PEERS)),
                    settings.gangPeerMicros());
        }
    }
}
