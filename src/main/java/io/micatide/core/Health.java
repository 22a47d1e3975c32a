package io.micatide.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells faulty machines from faulty jobs, and slow machines from long tasks. One bad machine holds up every job that
 * has a task on it, and one bad job fails on every machine: each must not be taken for the other.
 */
final class Health {
    private static final long LOOK_EVERY_MICROS = Micros.SECOND;
    private static final long AVOID_MICROS = 60 * Micros.SECOND;
    /** A task is overdue after this many times the time that the slowest of its kind usually takes. */
    private static final double OVERDUE = 1.25;
    private static final int FEWEST_OVERDUE = 2;
    /**
     * Of the tasks that run there. With 32 tasks on a machine two were overdue by chance, or by an estimate that no
     * completed task had corrected yet: six large machines were emptied for nothing within 90 s.
     */
    private static final double OVERDUE_SHARE = 0.3;
    private static final int JOBS_TO_SUSPECT_A_MACHINE = 2;
    private static final int MACHINES_TO_SUSPECT_A_JOB = 2;

    private final RunTimes runTimes;
    private long lookedMicros = Long.MIN_VALUE / 2;

    Health(RunTimes runTimes) {
        this.runTimes = runTimes;
    }

    void succeeded(Machine machine, Job job) {
        machine.failedJobs.clear();
        job.failedMachines.clear();
        job.errors = 0;
    }

    /** A completed task says whether the machine keeps the usual time. */
    void completed(Machine machine, Placement placement, long nowMicros) {
        if (placement.runningSinceMicros >= 0
                && nowMicros - placement.runningSinceMicros <= OVERDUE * runTimes.slowest(placement.job)) {
            machine.punctual++;
        }
    }

    /** A task failed: a job that fails in several places waits, a machine on which several jobs fail is given back. */
    void failed(Machine machine, Job job, long nowMicros) {
        job.failedMachines.add(machine.name);
        job.errors++;
        if (job.failedMachines.size() >= MACHINES_TO_SUSPECT_A_JOB) {
            job.blockedUntilMicros = nowMicros + (Micros.SECOND << Math.min(6, job.errors));
        } else {
            machine.failedJobs.add(job.id());
            if (machine.failedJobs.size() >= JOBS_TO_SUSPECT_A_MACHINE) {
                machine.draining = true;
            }
        }
    }

    /** Machines that were found slow just now; work that can start over elsewhere is better off there. */
    List<Machine> findSlow(Iterable<Machine> machines, long nowMicros) {
        List<Machine> found = new ArrayList<>();
        if (nowMicros - lookedMicros < LOOK_EVERY_MICROS) {
            return found;
        }
        lookedMicros = nowMicros;
        for (Machine machine : machines) {
            machine.punctual *= 0.93;
            int overdue = 0;
            int running = 0;
            for (Placement placement : machine.placements) {
                if (placement.job.spec.kind() != JobKind.ARRAY || placement.state != TaskState.RUNNING
                        || placement.runningSinceMicros < 0 || placement.stopping()) {
                    continue;
                }
                running++;
                if (placement.job.ranTasks >= FEWEST_OVERDUE && nowMicros - placement.runningSinceMicros
                                > OVERDUE * runTimes.slowest(placement.job) + Micros.SECOND) {
                    overdue++;
                }
            }
            if (overdue >= FEWEST_OVERDUE && overdue > 2 * machine.punctual && overdue >= OVERDUE_SHARE * running) {
                if (machine.slowUntilMicros < nowMicros) {
                    found.add(machine);
                }
                machine.slowUntilMicros = nowMicros + AVOID_MICROS;
            }
        }
        return found;
    }
}
