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

/** Takes hints from what a leader knows, and gives a new leader what an earlier one hinted at, each once its subject is there. */
final class Hints {
    /** More than the largest fleets planned for: what is beyond is learned anew. */
    private static final int MAX_HINTS = 8_000;
    /** Of a large cache the images used last. */
    private static final int MAX_IMAGES = 24;
    /** Small changes are not worth a message. */
    private static final double STEPS_PER_E_FOLD = 20;

    private static final long SLOW_FOR_MICROS = 30 * Micros.SECOND;

    private final Map<String, Hint.MachineHint> machines = new HashMap<>();
    private final Map<String, Hint.JobHint> jobs = new HashMap<>();

    static List<Hint> snapshot(Fleet fleet, Collection<Job> open, RuntimeEstimator runTimes, long nowMicros) {
        List<Hint> result = new ArrayList<>(runTimes.hints());
        for (Job job : open) {
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

    /** The same without what changes by the second or is seen with the first report: images, addresses, jobs that go well. */
    static List<Hint> durableSnapshot(Fleet fleet, Collection<Job> open, RuntimeEstimator runTimes, long nowMicros) {
        List<Hint> result = new ArrayList<>(runTimes.hints());
        for (Job job : open) {
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

    /** To the nearest twentieth of its size. */
    static double roundToStep(double value) {
        return value <= 0 ? 0 : Math.exp(Math.round(Math.log(value) * STEPS_PER_E_FOLD) / STEPS_PER_E_FOLD);
    }

    /** What the leader before knew; later hints replace earlier ones, but for {@code kept} ones. */
    void add(List<Hint> hints, boolean kept, RuntimeEstimator runTimes) {
        for (Hint hint : hints) {
            if (hint instanceof Hint.MachineHint each) {
                machines.merge(each.name(), each, (known, told) -> kept ? known : told);
            } else if (hint instanceof Hint.JobHint each) {
                jobs.merge(each.name(), each, (known, told) -> kept ? known : told);
            } else if (hint instanceof Hint.JobClassHint each) {
                runTimes.hintReceived(each);
            }
        }
    }

    /** The job was read from the rows. What this leader has seen of it itself counts more. */
    void apply(Job job) {
        Hint.JobHint hint = jobs.remove(job.id());
        if (hint == null || job.completedTasks > 0 || job.quarantined || job.attemptCount > 0) {
            return;
        }
        job.completedRuntimeMicros = hint.meanRuntimeMicros() * hint.completedTasks();
        job.completedTasks = hint.completedTasks();
        // Something of it may have succeeded since that the rows tell of.
        if (hint.quarantined() && job.finishedCount() == 0) {
            job.quarantined = true;
            job.failedProbes = hint.failedProbes();
        }
    }

    /**
     * Whether the leader before had the deletion of this machine answered. A ledger names a machine until it is written anew, and jobs
     * wait for it; its deletion, asked for again, is answered at once and settles it. Without this they waited until a list of
     * the cloud showed that it is not there: 11 to 21 s after a take-over that followed on a wave of returns.
     */
    boolean wasDeleted(String machine) {
        Hint.MachineHint hint = machines.get(machine);
        return hint != null && hint.deleted();
    }

    /** Where a machine that has not reported is to be greeted, null if that is not known. */
    TermAnnouncement announcementFor(String machine) {
        Hint.MachineHint hint = machines.get(machine);
        return hint == null || hint.deleted() || hint.address().isEmpty()
                ? null
                : new TermAnnouncement(machine, hint.address(), hint.incarnation());
    }

    /** The machine is confirmed by its own report. */
    void apply(Machine machine, double cacheGb, long nowMicros) {
        Hint.MachineHint hint = machines.remove(machine.name);
        if (hint == null) {
            return;
        }
        Map<String, Double> seen = new LinkedHashMap<>(machine.images);
        machine.images.clear();
        for (int i = 0; i < hint.images().size(); i++) {
            machine.touchImage(hint.images().get(i), hint.imageSizesGb().get(i), cacheGb);
        }
        seen.forEach((image, gb) -> machine.touchImage(image, gb, cacheGb));
        if (hint.slow()) {
            machine.slowUntilMicros = nowMicros + SLOW_FOR_MICROS;
        }
        machine.quarantined |= hint.quarantined();
    }
}
