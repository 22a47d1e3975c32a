package io.micatide.scheduler;

import io.micatide.model.Hint;
import io.micatide.model.Micros;
import io.micatide.model.TermAnnouncement;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Creates hints from what a leader knows, and holds the hints of previous leaders until the job or machine that they are about is known. Hints are
 * advisory: a leader without them learns the same again.
 */
final class Hints {
    /** Limit of the hints in a snapshot, above the size of the largest planned fleets; a new leader has to learn the rest itself. */
    private static final int MAX_HINTS = 8_000;
    /** Images in the hint of a machine: the most recently used ones of a large cache. */
    private static final int MAX_IMAGES = 24;
    /** Steps to which values are rounded while they grow by the factor e, so that small changes cause no message. */
    private static final double STEPS_PER_E_FOLD = 20;

    /** Time for which a machine counts as slow after a hint that reports it as slow. */
    private static final long SLOW_DURATION_MICROS = 30 * Micros.SECOND;

    private final Map<String, Hint.MachineHint> machineHints = new HashMap<>();
    private final Map<String, Hint.JobHint> jobHints = new HashMap<>();

    /** Returns hints for the next leader about job classes, jobs, machines and deleted machines. */
    static List<Hint> snapshot(
            Fleet fleet, Collection<Job> openJobs, RuntimeEstimator runtimeEstimator, long nowMicros) {
        List<Hint> result = new ArrayList<>(runtimeEstimator.hints());
        for (Job job : openJobs) {
            if (result.size() < MAX_HINTS && (job.quarantined || job.completedTasks > 0)) {
                long mean = job.completedTasks == 0 ? 0 : job.completedRuntimeMicros / job.completedTasks;
                result.add(new Hint.JobHint(
                        job.id(),
                        Math.round(roundToStep((double) mean)),
                        Integer.highestOneBit(job.completedTasks),
                        job.quarantined,
                        job.failedProbes));
            }
        }
        for (Machine machine : fleet.machines()) {
            boolean slow = machine.slowUntilMicros >= nowMicros;
            if (result.size() < MAX_HINTS && !machine.deletionRequested && machine.address != null) {
                int older = Math.max(0, machine.images.size() - MAX_IMAGES);
                result.add(new Hint.MachineHint(
                        machine.name,
                        machine.address,
                        machine.incarnation,
                        machine.images.keySet().stream().skip(older).toList(),
                        machine.images.values().stream().skip(older).toList(),
                        slow,
                        machine.quarantined,
                        false));
            }
        }
        for (String name : fleet.deletedMachines()) {
            if (result.size() < MAX_HINTS) {
                result.add(Hint.MachineHint.deleted(name));
            }
        }
        return result;
    }

    /**
     * Returns the hints worth storing. Leaves out what changes every second or is known from a machine's first heartbeat: images, addresses, and
     * jobs that are not quarantined.
     */
    static List<Hint> durableSnapshot(
            Fleet fleet, Collection<Job> openJobs, RuntimeEstimator runtimeEstimator, long nowMicros) {
        List<Hint> result = new ArrayList<>(runtimeEstimator.hints());
        for (Job job : openJobs) {
            if (job.quarantined) {
                result.add(new Hint.JobHint(job.id(), 0, 0, true, job.failedProbes));
            }
        }
        for (Machine machine : fleet.machines()) {
            boolean slow = machine.slowUntilMicros >= nowMicros;
            if (!machine.deletionRequested && (slow || machine.quarantined)) {
                result.add(new Hint.MachineHint(
                        machine.name, "", 0, List.of(), List.of(), slow, machine.quarantined, false));
            }
        }
        for (String name : fleet.deletedMachines()) {
            result.add(Hint.MachineHint.deleted(name));
        }
        return result;
    }

    /** Rounds a value to the nearest step, which is about a twentieth of the value; returns 0 for values that are not positive. */
    static double roundToStep(double value) {
        return value <= 0 ? 0 : StrictMath.exp(Math.round(StrictMath.log(value) * STEPS_PER_E_FOLD) / STEPS_PER_E_FOLD);
    }

    /**
     * Adds hints of a previous leader.
     *
     * @param keepsKnown whether hints about the same machine or job that were added before are kept, not replaced
     * @param runtimeEstimator receives the hints about job classes
     */
    void add(List<Hint> hints, boolean keepsKnown, RuntimeEstimator runtimeEstimator) {
        for (Hint hint : hints) {
            if (hint instanceof Hint.MachineHint machineHint) {
                machineHints.merge(machineHint.name(), machineHint, (known, received) -> keepsKnown ? known : received);
            } else if (hint instanceof Hint.JobHint jobHint) {
                jobHints.merge(jobHint.name(), jobHint, (known, received) -> keepsKnown ? known : received);
            } else if (hint instanceof Hint.JobClassHint classHint) {
                runtimeEstimator.hintReceived(classHint);
            }
        }
    }

    /** Applies the hint about a job that was read from its ledger, unless this leader knows something of the job by itself. */
    void apply(Job job) {
        Hint.JobHint hint = jobHints.remove(job.id());
        if (hint == null || job.completedTasks > 0 || job.quarantined || job.attemptCount > 0) {
            return;
        }
        job.completedRuntimeMicros = hint.meanRuntimeMicros() * hint.completedTasks();
        job.completedTasks = hint.completedTasks();
        // A task may have succeeded since the hint was made, which the ledger shows.
        if (hint.quarantined() && job.finishedCount() == 0) {
            job.quarantined = true;
            job.failedProbes = hint.failedProbes();
        }
    }

    /**
     * Returns whether the deletion of the given machine was answered to a previous leader.
     *
     * <p>A ledger names a machine until the ledger is written again, and after a failover its job waits for the machine. Requesting the deletion
     * again is answered at once, which ends the wait. Without this hint, jobs waited until a list of the cloud showed that the machine does not
     * exist: 11 to 21 s after a failover that followed the deletion of many machines.
     */
    boolean wasDeleted(String machine) {
        Hint.MachineHint hint = machineHints.get(machine);
        return hint != null && hint.deleted();
    }

    /** Returns the announcement of the term for a machine that has sent no heartbeat yet, or null if its address is not known. */
    TermAnnouncement announcementFor(String machine) {
        Hint.MachineHint hint = machineHints.get(machine);
        return hint == null || hint.deleted() || hint.address().isEmpty()
                ? null
                : new TermAnnouncement(machine, hint.address(), hint.incarnation());
    }

    /**
     * Applies the hint about a machine that was reconciled by its own heartbeat. Images that the hint names count as used before those that
     * the machine already has.
     *
     * @param cacheGb size of the machine's image cache
     */
    void apply(Machine machine, double cacheGb, long nowMicros) {
        Hint.MachineHint hint = machineHints.remove(machine.name);
        if (hint == null) {
            return;
        }
        Map<String, Double> seenImages = new LinkedHashMap<>(machine.images);
        machine.images.clear();
        for (int i = 0; i < hint.images().size(); i++) {
            machine.touchImage(hint.images().get(i), hint.imageSizesGb().get(i), cacheGb);
        }
        seenImages.forEach((image, gb) -> machine.touchImage(image, gb, cacheGb));
        if (hint.slow()) {
            machine.slowUntilMicros = nowMicros + SLOW_DURATION_MICROS;
        }
        if (hint.quarantined()) {
            machine.quarantine(nowMicros);
        }
    }
}
