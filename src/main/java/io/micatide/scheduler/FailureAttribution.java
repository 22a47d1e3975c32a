package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.TaskState;
import java.util.ArrayList;
import java.util.List;

/**
 * Tells faulty machines from faulty jobs, and slow machines from long tasks. One bad machine holds up every job that
 * has a task on it, and one bad job fails on every machine: each must not be taken for the other.
 */
final class FailureAttribution {
    private static final long CHECK_INTERVAL_MICROS = Micros.SECOND;
    private static final long SLOW_FOR_MICROS = 60 * Micros.SECOND;
    /** A machine is slow if its tasks take this many times as long as others of their jobs, on (geometric) average. */
    private static final double SLOW_RATIO = 1.8;

    private static final int MIN_TASKS_FOR_PACE = 3;
    /** How much of what completed tasks showed is left after a second. */
    private static final double PACE_DECAY = 0.97;

    private static final double MIN_RATIO = 0.25;
    private static final double MAX_RATIO = 8;
    private static final int JOBS_TO_QUARANTINE_MACHINE = 2;
    private static final int FAILURES_TO_QUARANTINE_MACHINE = 3;
    /** So many jobs of unknown worth are hardly all faulty. */
    private static final int UNATTRIBUTED_JOBS_TO_QUARANTINE_MACHINE = 4;

    private static final int MACHINES_TO_QUARANTINE_JOB = 2;
    /** A probe goes to other machines than the last ones did, until so many have been tried. */
    private static final int MACHINES_TO_PROBE = 6;

    private static final long FIRST_BACKOFF_MICROS = 2 * Micros.SECOND;
    private static final long MAX_BACKOFF_MICROS = 30 * Micros.SECOND;
    private static final long REPLICA_SUCCESS_MICROS = 5 * Micros.SECOND;

    private final RuntimeEstimator runTimes;
    private long lastCheckMicros = Long.MIN_VALUE / 2;

    FailureAttribution(RuntimeEstimator runTimes) {
        this.runTimes = runTimes;
    }

    void taskSucceeded(Machine machine, Job job) {
        machine.failedJobs.clear();
        machine.unattributedJobs.clear();
        machine.failureCount = 0;
        job.failedMachines.remove(machine.name);
        job.quarantined = false;
        job.failedProbes = 0;
    }

    /** A replica never completes; one that keeps running shows as much. */
    void replicaRunning(Placement placement, long nowMicros) {
        if (placement.job.quarantined
                && placement.job.spec.kind() == JobKind.SERVICE
                && placement.runningSinceMicros >= 0
                && nowMicros - placement.runningSinceMicros > REPLICA_SUCCESS_MICROS) {
            taskSucceeded(placement.machine, placement.job);
        }
    }

    /** A completed task tells the machine's pace, if the job's other tasks have shown how long they take. */
    void recordPace(Machine machine, Placement placement, long nowMicros) {
        if (tellsPace(placement)) {
            machine.paceSamples++;
            machine.paceLogSum += Math.log(ratio(placement, nowMicros));
        }
    }

    private static boolean tellsPace(Placement placement) {
        return placement.job.spec.kind() == JobKind.ARRAY
                && placement.runningSinceMicros >= 0
                && !placement.wasAdopted
                && placement.job.completedTasks >= MIN_TASKS_FOR_PACE;
    }

    private double ratio(Placement placement, long nowMicros) {
        double ratio = (nowMicros - placement.runningSinceMicros) / (double) runTimes.expectedMicros(placement.job);
        return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    }

    /**
     * A task failed. A job of which nothing ever succeeded and that fails on several machines is suspected: it clears the
     * machines that it failed on, and is only probed from then on. A machine is given back when jobs fail on it that
     * succeed elsewhere. Healthy machines were once returned because the first tasks of two faulty jobs met there.
     */
    void taskFailed(Machine machine, Job job, Iterable<Machine> machines, long nowMicros) {
        job.failedMachines.add(machine.name);
        if (job.hasSucceeded()) {
            machine.failedJobs.add(job.id());
            machine.failureCount++;
        } else if (job.quarantined || job.failedMachines.size() >= MACHINES_TO_QUARANTINE_JOB) {
            quarantine(job, machines, nowMicros);
        } else {
            machine.unattributedJobs.add(job.id());
        }
        machine.quarantined |= machine.failedJobs.size() >= JOBS_TO_QUARANTINE_MACHINE
                || machine.failureCount >= FAILURES_TO_QUARANTINE_MACHINE
                || machine.unattributedJobs.size() >= UNATTRIBUTED_JOBS_TO_QUARANTINE_MACHINE;
    }

    private static void quarantine(Job job, Iterable<Machine> machines, long nowMicros) {
        if (!job.quarantined) {
            job.quarantined = true;
            machines.forEach(each -> each.unattributedJobs.remove(job.id()));
        }
        // Many of its tasks may be out and fail one after the other: only what fails after the pause is a probe.
        if (nowMicros >= job.backoffUntilMicros) {
            long pause = Math.min(MAX_BACKOFF_MICROS, FIRST_BACKOFF_MICROS << Math.min(10, job.failedProbes++));
            job.backoffUntilMicros = nowMicros + pause;
        }
        if (job.failedMachines.size() >= MACHINES_TO_PROBE) {
            job.failedMachines.clear();
        }
    }

    /** Machines that were found slow just now; work that can start over elsewhere is better off there. */
    List<Machine> findSlowMachines(Iterable<Machine> machines, long nowMicros) {
        List<Machine> found = new ArrayList<>();
        if (nowMicros - lastCheckMicros < CHECK_INTERVAL_MICROS) {
            return found;
        }
        lastCheckMicros = nowMicros;
        for (Machine machine : machines) {
            machine.paceSamples *= PACE_DECAY;
            machine.paceLogSum *= PACE_DECAY;
            double tasks = machine.paceSamples;
            double sum = machine.paceLogSum;
            for (Placement placement : machine.placements) {
                // Those that run on say that it is at least so slow; a machine is not judged by two tasks in 32 that
                // take long by themselves: six large ones were once emptied for nothing within 90 s.
                if (placement.state == TaskState.RUNNING && !placement.isStopping() && tellsPace(placement)) {
                    double ratio = ratio(placement, nowMicros);
                    if (ratio > 1) {
                        tasks++;
                        sum += Math.log(ratio);
                    }
                }
            }
            if (tasks >= MIN_TASKS_FOR_PACE && sum > tasks * Math.log(SLOW_RATIO)) {
                if (machine.slowUntilMicros < nowMicros) {
                    found.add(machine);
                }
                machine.slowUntilMicros = nowMicros + SLOW_FOR_MICROS;
                machine.paceSamples = 0;
                machine.paceLogSum = 0;
            }
        }
        return found;
    }
}
