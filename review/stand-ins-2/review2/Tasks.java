package review2;

import io.micatide.model.ExitCause;
import io.micatide.simulation.SimulatedCloud;
import io.micatide.simulation.SimulatedWorker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What is on the machines, as their workers see it. Thread-safe. */
final class Tasks implements SimulatedWorker.Witness {
    private final Map<String, Set<String>> onMachine = new HashMap<>();
    private final Map<String, Integer> started = new HashMap<>();
    private final Map<String, Set<String>> done = new HashMap<>();
    private final Map<String, Integer> killed = new HashMap<>();
    private int leasesExpired;

    private static String job(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    @Override
    public synchronized void taskStarted(String task, long attempt, String machine) {
        onMachine.computeIfAbsent(job(task), k -> new HashSet<>()).add(task + " " + machine);
        started.merge(job(task), 1, Integer::sum);
    }

    @Override
    public synchronized void taskEnded(String task, long attempt, String machine, ExitCause cause) {
        onMachine.computeIfAbsent(job(task), k -> new HashSet<>()).remove(task + " " + machine);
        if (cause == ExitCause.DONE) {
            done.computeIfAbsent(job(task), k -> new HashSet<>()).add(task);
        } else {
            killed.merge(job(task), 1, Integer::sum);
        }
    }

    @Override
    public synchronized void leaseExpired(SimulatedCloud.RentedMachine machine) {
        leasesExpired++;
    }

    /** How many tasks there are on machines now, of all jobs, by their job. */
    synchronized Map<String, Integer> running() {
        Map<String, Integer> sizes = new TreeMap<>();
        onMachine.forEach((job, of) -> sizes.put(job, of.size()));
        return sizes;
    }

    /** How many tasks of the job are on machines now. */
    synchronized int running(String job) {
        return onMachine.getOrDefault(job, Set.of()).size();
    }

    /** How often a task of the job was started. */
    synchronized int started(String job) {
        return started.getOrDefault(job, 0);
    }

    /** How many tasks of the job have completed. */
    synchronized int done(String job) {
        return done.getOrDefault(job, Set.of()).size();
    }

    /** How many tasks of the job ended otherwise. */
    synchronized int killed(String job) {
        return killed.getOrDefault(job, 0);
    }

    /** How often the worker of a machine has killed its tasks because nobody had answered its reports for its lease. */
    synchronized int leasesExpired() {
        return leasesExpired;
    }
}
