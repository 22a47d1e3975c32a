package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.TaskState;
import java.util.ArrayList;
import java.util.List;

/**
 * Distinguishes faulty machines from faulty jobs, and slow machines from long tasks. A faulty machine delays every job that has a task on it, and
 * a faulty job fails on every machine: neither must be mistaken for the other.
 */
final class FailureAttribution {
    private static final long CHECK_INTERVAL_MICROS = Micros.SECOND;
    /** Time for which a machine counts as slow after it was found to be. */
    private static final long SLOW_DURATION_MICROS = 60 * Micros.SECOND;
    /** A machine is slow if its tasks take this many times as long as expected for their jobs, by the geometric mean. */
    private static final double SLOW_RATIO = 1.8;

    /** Completed tasks that a job needs for its other tasks to be judged, and samples that a machine needs to be found slow. */
    private static final int MIN_TASKS_FOR_PACE = 3;
    /** Factor on the weight of completed tasks for each check interval, so that old samples fade. */
    private static final double PACE_DECAY = 0.97;

    /** Limits of the ratio of a task's run time to the expected one, so that no single task decides. */
    private static final double MIN_RATIO = 0.25;

    private static final double MAX_RATIO = 8;
    /** Number of jobs that succeed elsewhere and failed on a machine after which the machine is quarantined. */
    private static final int JOBS_TO_QUARANTINE_MACHINE = 2;
    /** Number of failures of such jobs since the last success on the machine after which it is quarantined. */
    private static final int FAILURES_TO_QUARANTINE_MACHINE = 3;
    /** Number of failed jobs without any success after which a machine is quarantined: that all of these jobs are faulty is unlikely. */
    private static final int UNATTRIBUTED_JOBS_TO_QUARANTINE_MACHINE = 4;
    /** Time after which a quarantined machine that is still there may be used again: jobs may be able to use no other one. */
    private static final long QUARANTINE_MICROS = 60 * Micros.SECOND;

    /** Number of machines on which a job without any success has to fail before the job is quarantined. */
    private static final int MACHINES_TO_QUARANTINE_JOB = 2;
    /** Number of machines on which a quarantined job has failed after which probes may be placed on any of them at once. */
    private static final int MACHINES_TO_PROBE = 6;

    /** Pause before the first probe of a quarantined job; it doubles with each failed probe. */
    private static final long FIRST_BACKOFF_MICROS = 2 * Micros.SECOND;

    private static final long MAX_BACKOFF_MICROS = 30 * Micros.SECOND;
    /** Run time after which a service replica counts as a success. */
    private static final long REPLICA_SUCCESS_MICROS = 5 * Micros.SECOND;

    private final RuntimeEstimator runtimeEstimator;
    private long lastCheckMicros = Long.MIN_VALUE / 2;

    FailureAttribution(RuntimeEstimator runtimeEstimator) {
        this.runtimeEstimator = runtimeEstimator;
    }

    /** Records a success, which clears the suspicion of both the machine and the job. A machine that is quarantined already stays so. */
    void taskSucceeded(Machine machine, Job job) {
        machine.failedJobs.clear();
        machine.unattributedJobs.clear();
        machine.failureCount = 0;
        job.failedMachines.remove(machine.name);
        job.quarantined = false;
        job.failedProbes = 0;
    }

    /** Records a success for a quarantined service whose replica has kept running, since replicas never complete. */
    void replicaRunning(Placement placement, long nowMicros) {
        if (placement.job.quarantined
                && placement.job.spec.kind() == JobKind.SERVICE
                && placement.runningSinceMicros >= 0
                && nowMicros - placement.runningSinceMicros > REPLICA_SUCCESS_MICROS) {
            taskSucceeded(placement.machine, placement.job);
        }
    }

    /** Adds a completed task to the machine's pace samples if enough other tasks of its job have completed to know their run time. */
    void recordPace(Machine machine, Placement placement, long nowMicros) {
        if (isPaceSample(placement)) {
            machine.paceSamples++;
            machine.paceLogSum += StrictMath.log(runtimeRatio(placement, nowMicros));
        }
    }

    /**
     * Returns whether the run time of the task indicates the speed of its machine. It does not for an adopted task, whose start is unknown. A task
     * counts for one verdict only: otherwise long tasks would exclude the machine until they end, also if jobs can use no other one.
     */
    private static boolean isPaceSample(Placement placement) {
        return placement.job.spec.kind() == JobKind.ARRAY
                && placement.runningSinceMicros >= 0
                && placement.runningSinceMicros > placement.machine.foundSlowMicros
                && !placement.wasAdopted
                && placement.job.completedTasks >= MIN_TASKS_FOR_PACE;
    }

    /** Returns the ratio of the task's run time so far to the expected one, within the limits. */
    private double runtimeRatio(Placement placement, long nowMicros) {
        double ratio =
                (nowMicros - placement.runningSinceMicros) / (double) runtimeEstimator.expectedMicros(placement.job);
        return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    }

    /**
     * Records a failed task and attributes the failure to the job or to the machine.
     *
     * <p>A job without any success that fails on several machines is quarantined: its failures no longer count against the machines, and it is
     * only probed from then on. A machine is quarantined when jobs fail on it that succeed elsewhere. A job without any success does not count
     * like those: healthy machines were deleted because the first tasks of two faulty jobs happened to run on them.
     */
    void taskFailed(Machine machine, Job job, Iterable<Machine> machines, long nowMicros) {
        if (job.hasSucceeded()) {
            job.failedMachines.removeOld(nowMicros);
        }
        job.failedMachines.add(machine.name, nowMicros);
        if (job.hasSucceeded()) {
            machine.failedJobs.add(job.id());
            machine.failureCount++;
        } else if (job.quarantined || job.failedMachines.size() >= MACHINES_TO_QUARANTINE_JOB) {
            quarantine(job, machines, nowMicros);
        } else {
            machine.unattributedJobs.add(job.id());
        }
        if (machine.failedJobs.size() >= JOBS_TO_QUARANTINE_MACHINE
                || machine.failureCount >= FAILURES_TO_QUARANTINE_MACHINE
                || machine.unattributedJobs.size() >= UNATTRIBUTED_JOBS_TO_QUARANTINE_MACHINE) {
            machine.quarantine(nowMicros);
        }
    }

    /**
     * Ends the quarantine of machines that could not be deleted meanwhile, since replicas or long tasks are on them, and returns these machines. The
     * next failure of a job that succeeds elsewhere begins another quarantine.
     */
    static List<Machine> endQuarantines(Iterable<Machine> machines, long nowMicros) {
        List<Machine> ended = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine.quarantined
                    && !machine.deletionRequested
                    && nowMicros - machine.quarantinedSinceMicros >= QUARANTINE_MICROS) {
                machine.quarantined = false;
                machine.failedJobs.clear();
                machine.unattributedJobs.clear();
                machine.failureCount = FAILURES_TO_QUARANTINE_MACHINE - 1;
                ended.add(machine);
            }
        }
        return ended;
    }

    private static void quarantine(Job job, Iterable<Machine> machines, long nowMicros) {
        if (!job.quarantined) {
            job.quarantined = true;
            machines.forEach(machine -> machine.unattributedJobs.remove(job.id()));
        }
        // Many tasks of the job may be running and fail one after the other: only a failure after the pause is that
        // of a probe.
        if (nowMicros >= job.backoffUntilMicros) {
            long pause = Math.min(MAX_BACKOFF_MICROS, FIRST_BACKOFF_MICROS << Math.min(10, job.failedProbes++));
            job.backoffUntilMicros = nowMicros + pause;
        }
        if (job.failedMachines.size() >= MACHINES_TO_PROBE) {
            job.failedMachines.clear();
        }
    }

    /** Returns the machines newly found to be slow; the caller moves tasks away that can be restarted elsewhere. */
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
                // A task that still runs only gives a lower bound of its run time, so it counts once that is longer
                // than expected. The mean over all tasks decides: judged by two tasks in 32 that take long by
                // themselves, six large machines were emptied within 90 s for no reason.
                if (placement.state == TaskState.RUNNING && !placement.isStopping() && isPaceSample(placement)) {
                    double ratio = runtimeRatio(placement, nowMicros);
                    if (ratio > 1) {
                        tasks++;
                        sum += StrictMath.log(ratio);
                    }
                }
            }
            if (tasks >= MIN_TASKS_FOR_PACE && sum > tasks * StrictMath.log(SLOW_RATIO)) {
                if (machine.slowUntilMicros < nowMicros) {
                    found.add(machine);
                }
                machine.slowUntilMicros = nowMicros + SLOW_DURATION_MICROS;
                machine.foundSlowMicros = nowMicros;
                machine.paceSamples = 0;
                machine.paceLogSum = 0;
            }
        }
        return found;
    }
}
