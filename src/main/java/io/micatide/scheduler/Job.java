package io.micatide.scheduler;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Priority;
import io.micatide.model.TaskState;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An open (or just cancelled) job as its leader knows it. */
final class Job {
    final JobSpec spec;
    final long submittedWall;
    /** When this leader first saw it, on the steady clock, minus the age it had by the time of day. */
    final long submittedMicros;
    /** From when its times count, but for its deadline: its submission, or the end of the last job that it needed. */
    final long readyMicros;

    long version;
    boolean cancelled;
    /** Finished tasks, recorded or not; changed by {@link #markFinished} and {@link #addRecordedTasks} only. */
    final BitSet finishedTasks = new BitSet();
    /** Tasks that are finished or live, so that the next one to place is found without a search. */
    private final BitSet finishedOrLiveTasks = new BitSet();

    private int finishedCount;
    private int liveUnfinishedCount;
    /** Machines with live attempts, and how many. */
    final Multiset<String> liveMachines = HashMultiset.create();
    /** Finished tasks that a confirmed write holds: only these may be forgotten by the workers. */
    final BitSet recordedTasks = new BitSet();
    /** Tasks that were stopped once since their machine seemed slow; they are not stopped for that again. */
    final BitSet tasksEvictedAsSlow = new BitSet();
    /** Attempts that may be on a machine, by task. */
    final Map<Integer, List<Placement>> liveAttempts = new HashMap<>();

    /** Machines in the ledger by every outcome that the last writes can have. */
    Set<String> ledgerMachines = new HashSet<>();
    /** Machines that the next write must name because of held starts. */
    final Set<String> machinesToRecord = new HashSet<>();
    /** Machines taken over from an earlier leader's ledger that have not been settled. */
    final Set<String> unreconciledMachines = new HashSet<>();

    long gangAttempt;
    final Map<Integer, Long> pageVersions = new HashMap<>();
    final BitSet dirtyPages = new BitSet();
    boolean writeInFlight;
    long dirtySinceMicros = -1;
    long backoffUntilMicros;
    /** Failed where nothing of it ever succeeded, on several machines: most likely submitted with a mistake. */
    boolean quarantined;
    /** Probes of it that failed since it is suspected. */
    int failedProbes;
    /** Machines on which a task of it failed and none succeeded since; it is not placed there. */
    final Set<String> failedMachines = new HashSet<>();

    long firstStartMicros = -1;
    long lastStartMicros = -1;
    int attemptCount;
    /** Run time and number of its tasks that completed in this term. */
    long completedRuntimeMicros;

    int completedTasks;
    /** When it may next displace other work. */
    long nextPreemptionMicros;
    /** Until when room that was asked for by stopping saving work is waited for. */
    long capacityAwaitedUntilMicros = -1;
    /** A task of the gang's present attempt has run: what is missing cannot be replaced any more. */
    boolean gangStarted;
    /** The present attempt is over; the next one begins when nothing of it can be on a machine. */
    boolean gangAttemptEnded;

    /** Whether jobs wait for it, and what they ask of it: see {@link DagInheritance}. */
    boolean hasDependents;

    private Priority priority;
    long dependentsDueMicros = Long.MAX_VALUE;
    /** Its ledger cannot be written with further machines: what is held for them has to be given back. */
    boolean ledgerFull;
    /** What the names of its machines took at that time, without those that a round has still to name. */
    int ledgerNameBytes;

    long ledgerNameBytesMicros = Long.MIN_VALUE;
    /** Until when it is not placed on machines that its ledger does not name. */
    long ledgerFullUntilMicros = Long.MIN_VALUE;
    /** The state service refused to write it; tried again then. */
    long nextWriteMicros = Long.MIN_VALUE;

    Job(JobSpec spec, long version, long submittedWall, long submittedMicros, long readyMicros) {
        this.readyMicros = readyMicros;
        this.priority = spec.priority();
        this.spec = spec;
        this.version = version;
        this.submittedWall = submittedWall;
        this.submittedMicros = submittedMicros;
    }

    String id() {
        return spec.id();
    }

    /** Its own priority, or that of a job that needs it. */
    Priority priority() {
        return priority;
    }

    void inheritFromDependents(boolean byOthers, Priority others, long byMicros) {
        Priority before = priority;
        hasDependents = byOthers;
        priority = others.isAbove(spec.priority()) ? others : spec.priority();
        if (priority != before) {
            // What its tasks take may be freed for others now, or not any more.
            liveAttempts.values().forEach(attempts -> attempts.forEach(attempt -> attempt.machine.capacityChanged()));
        }
        dependentsDueMicros = byMicros;
    }

    /** Whether that is news. */
    boolean markFinished(int index) {
        if (finishedTasks.get(index)) {
            return false;
        }
        finishedTasks.set(index);
        finishedOrLiveTasks.set(index);
        finishedCount++;
        if (liveAttempts.containsKey(index)) {
            liveUnfinishedCount--;
        }
        return true;
    }

    /** Finished tasks as an earlier leader recorded them. */
    void addRecordedTasks(BitSet recordedThen) {
        recordedTasks.or(recordedThen);
        for (int i = recordedThen.nextSetBit(0); i >= 0; i = recordedThen.nextSetBit(i + 1)) {
            markFinished(i);
        }
    }

    int finishedCount() {
        return finishedCount;
    }

    int unfinishedCount() {
        return spec.taskCount() - finishedCount;
    }

    boolean allFinished() {
        return spec.kind() != JobKind.SERVICE && finishedCount >= spec.taskCount();
    }

    /** Tasks that are neither finished nor possibly on a machine that we have listed. */
    int pendingCount() {
        return cancelled ? 0 : Math.max(0, unfinishedCount() - liveUnfinishedCount);
    }

    /** Whether any of its tasks has ever succeeded, as far as this leader can know. */
    boolean hasSucceeded() {
        return finishedCount > 0;
    }

    /** How many tasks may be placed now: of a suspected job one at a time shows whether it still fails. */
    int placeableCount() {
        if (!quarantined || pendingCount() == 0) {
            return pendingCount();
        }
        if (!liveAttempts.isEmpty()) {
            return 0;
        }
        return spec.kind() == JobKind.GANG ? pendingCount() : 1;
    }

    /** The next task that may be placed, or -1. */
    int nextPendingTask() {
        int index = finishedOrLiveTasks.nextClearBit(0);
        return index < spec.taskCount() ? index : -1;
    }

    void add(Placement placement) {
        List<Placement> list = liveAttempts.computeIfAbsent(placement.taskIndex, k -> new ArrayList<>(1));
        if (list.isEmpty() && !finishedTasks.get(placement.taskIndex)) {
            liveUnfinishedCount++;
        }
        list.add(placement);
        finishedOrLiveTasks.set(placement.taskIndex);
        liveMachines.add(placement.machine.name);
    }

    void remove(Placement placement) {
        List<Placement> list = liveAttempts.get(placement.taskIndex);
        if (list != null && list.remove(placement)) {
            liveMachines.remove(placement.machine.name);
            if (list.isEmpty()) {
                liveAttempts.remove(placement.taskIndex);
                if (!finishedTasks.get(placement.taskIndex)) {
                    finishedOrLiveTasks.clear(placement.taskIndex);
                    liveUnfinishedCount--;
                }
            }
        }
    }

    /** A copy of all its live attempts, task by task, which stays as it is while they are removed. */
    List<Placement> livePlacements() {
        List<Placement> result = new ArrayList<>();
        liveAttempts.values().forEach(result::addAll);
        return result;
    }

    /** How many of its tasks have been reported with their image fetched. */
    int runningCount() {
        int running = 0;
        for (List<Placement> attempts : liveAttempts.values()) {
            for (Placement placement : attempts) {
                if (placement.phase == Placement.Phase.REPORTED && placement.state != TaskState.FETCHING) {
                    running++;
                    break;
                }
            }
        }
        return running;
    }

    /** A task of it is to be started. */
    void recordStart(long nowMicros) {
        if (firstStartMicros < 0) {
            firstStartMicros = nowMicros;
        }
        lastStartMicros = nowMicros;
        attemptCount++;
    }

    /** The attempt that all tasks of a gang share, or 0 when none is live. */
    long liveGangAttempt() {
        for (List<Placement> list : liveAttempts.values()) {
            return list.get(0).attempt;
        }
        return 0;
    }

    /** A task of which nothing was reported may still sit on a machine of an earlier leader. */
    boolean hasUnreconciledMachines() {
        return !unreconciledMachines.isEmpty();
    }

    /** Whether anything of it can be on a machine: attempts of this leader, or of earlier ones on machines that have not been settled. */
    boolean mayBeRunning() {
        return !liveAttempts.isEmpty() || hasUnreconciledMachines();
    }

    long deadlineMicros() {
        return spec.deadlineMicros() < 0 ? Long.MAX_VALUE : submittedMicros + spec.deadlineMicros();
    }
}
