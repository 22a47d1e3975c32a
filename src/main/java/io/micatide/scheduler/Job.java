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

/**
 * State of one open job in the current term: its tasks, its live attempts and what is known of its ledger. A cancelled
 * job stays here until none of its tasks can be on a machine.
 */
final class Job {
    final JobSpec spec;
    /** Upper bound for the bytes that one task takes in a heartbeat of its machine. */
    final int heartbeatBytesPerTask;
    /** Time of day of the submission, in microseconds. */
    final long submittedWall;
    /** Submission time on the steady clock: when this leader first read the job, minus its age by the time of day. */
    final long submittedMicros;
    /**
     * Time from which waiting times and objectives of the job count: its submission, or the end of its last dependency.
     * The deadline counts from the submission.
     */
    final long readyMicros;

    /** Version of the stored job record. */
    long version;

    boolean cancelled;
    /** Finished tasks, recorded or not; changed only by {@link #markFinished} and {@link #addRecordedTasks}. */
    final BitSet finishedTasks = new BitSet();
    /** Tasks that are finished or have a live attempt; its first clear bit is the next task to place. */
    private final BitSet finishedOrLiveTasks = new BitSet();

    /** All tasks with a lower index are finished or live, so that the search for the next task does not begin at 0. */
    private int pendingTasksFrom;

    private int finishedCount;
    /** Number of unfinished tasks with a live attempt. */
    private int liveUnfinishedCount;
    /** Machines with live attempts, each counted once per attempt. */
    final Multiset<String> liveMachines = HashMultiset.create();
    /** Zones of the live attempts, each counted once per attempt; null for a zone that is not known. */
    private final Multiset<String> liveZones = HashMultiset.create();
    /** Finished tasks that the stored ledger holds. Workers may forget only these. */
    final BitSet recordedTasks = new BitSet();
    /** Tasks that were stopped once because their machine seemed slow; they are not stopped for this reason again. */
    final BitSet tasksEvictedAsSlow = new BitSet();
    /** Attempts that may be on a machine, by task index; a task without one has no entry. */
    final Map<Integer, List<Placement>> liveAttempts = new HashMap<>();

    /** Machines that the stored ledger names under every possible outcome of the last write. */
    Set<String> ledgerMachines = new HashSet<>();
    /** Machines that the next write must name, because starts on them wait for it. */
    final Set<String> machinesToRecord = new HashSet<>();
    /** Machines named by a previous leader's ledger that have not been reconciled. */
    final Set<String> unreconciledMachines = new HashSet<>();

    /** Number of the gang's latest attempt, shared by all its tasks; 0 before the first one. */
    long gangAttempt;
    /** Version of each stored ledger page, by page number; a page that is not stored has no entry. */
    final Map<Integer, Long> pageVersions = new HashMap<>();
    /** Ledger pages with finished tasks that are not recorded yet. */
    final BitSet dirtyPages = new BitSet();
    /** Whether a write of the job was sent and its outcome is unknown. */
    boolean writeInFlight;
    /** Time since which the job has something to be written, or -1. */
    long dirtySinceMicros = -1;
    /** Time before which no task of the job is placed. */
    long backoffUntilMicros;
    /** Whether the job failed on several machines and none of its tasks ever succeeded: probably a faulty submission. */
    boolean quarantined;
    /** Number of failed probes since the job was quarantined; the pause between probes grows with it. */
    int failedProbes;
    /** Machines on which a task of the job failed and none succeeded since; the job is not placed there for a while. */
    final FailedMachines failedMachines = new FailedMachines();

    /** Time of the first start of a task in this term, or -1. */
    long firstStartMicros = -1;
    /** Time of the latest start of a task in this term, or -1. */
    long lastStartMicros = -1;
    /** Number of task starts in this term. */
    int attemptCount;
    /** Total run time of {@link #completedTasks}. */
    long completedRuntimeMicros;
    /** Number of tasks whose completion was observed by this leader or reported in a hint of a previous one. */
    int completedTasks;
    /** Time before which the job does not preempt other work. */
    long nextPreemptionMicros;
    /** Time until which the job waits for capacity of preempted tasks that are saving their state, or -1. */
    long capacityAwaitedUntilMicros = -1;
    /** Whether a task of the gang's current attempt has run. Missing tasks cannot be replaced from then on. */
    boolean gangStarted;
    /** Whether the gang's current attempt has ended. The next one begins when no task of it can be on a machine. */
    boolean gangAttemptEnded;

    /** Whether other jobs wait for this one; set by {@link DagInheritance} with the priority and due time below. */
    boolean hasDependents;

    private Priority priority;
    /** Time by which the job must be finished for its dependents to meet their deadlines; {@code MAX_VALUE} for none. */
    long dependentsDueMicros = Long.MAX_VALUE;
    /** Whether the ledger cannot name further machines, so that placements waiting to be recorded must be removed. */
    boolean ledgerFull;
    /**
     * Bytes of the required machine names as of {@link #ledgerNameBytesMicros}, less the upper bound for those in
     * {@link #machinesToRecord}.
     */
    int ledgerNameBytes;

    /** Time of the planning pass for which {@link #ledgerNameBytes} was computed. */
    long ledgerNameBytesMicros = Long.MIN_VALUE;
    /** Time until which the job is not placed on machines that its ledger does not name. */
    long ledgerFullUntilMicros = Long.MIN_VALUE;
    /** Time before which the job is not written, because the store rejected a transaction with it. */
    long nextWriteMicros = Long.MIN_VALUE;

    Job(JobSpec spec, long version, long submittedWall, long submittedMicros, long readyMicros) {
        this.readyMicros = readyMicros;
        this.priority = spec.priority();
        this.spec = spec;
        this.heartbeatBytesPerTask = HeartbeatSpace.bytesPerTask(spec);
        this.version = version;
        this.submittedWall = submittedWall;
        this.submittedMicros = submittedMicros;
    }

    String id() {
        return spec.id();
    }

    /** Returns the higher of the priorities of the job and of the jobs that depend on it. */
    Priority priority() {
        return priority;
    }

    /**
     * Sets what the job inherits from the jobs that wait for it.
     *
     * @param dependentsExist whether any job waits for this one
     * @param dependentsPriority the highest priority among them
     * @param dueMicros when this job must be finished for them, {@code MAX_VALUE} for no limit
     */
    void inheritFromDependents(boolean dependentsExist, Priority dependentsPriority, long dueMicros) {
        Priority previousPriority = priority;
        hasDependents = dependentsExist;
        priority = dependentsPriority.isAbove(spec.priority()) ? dependentsPriority : spec.priority();
        if (priority != previousPriority) {
            // The change decides whether other jobs may preempt its tasks.
            liveAttempts.values().forEach(attempts -> attempts.forEach(attempt -> attempt.machine.capacityChanged()));
        }
        dependentsDueMicros = dueMicros;
    }

    /** Marks a task as finished and returns whether it was not finished before. */
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

    /** Adds finished tasks that a previous leader or an earlier write of this one recorded. */
    void addRecordedTasks(BitSet previouslyRecorded) {
        recordedTasks.or(previouslyRecorded);
        for (int index = previouslyRecorded.nextSetBit(0);
                index >= 0;
                index = previouslyRecorded.nextSetBit(index + 1)) {
            markFinished(index);
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

    /** Returns the number of tasks that are neither finished nor have a live attempt; 0 once the job is cancelled. */
    int pendingCount() {
        return cancelled ? 0 : Math.max(0, unfinishedCount() - liveUnfinishedCount);
    }

    /** Returns whether any task of the job is known to have succeeded. */
    boolean hasSucceeded() {
        return finishedCount > 0;
    }

    /**
     * Returns the number of tasks that may be placed now. Of a quarantined job this is one task (or one gang) at a time, as a probe
     * of whether it still fails.
     */
    int placeableCount() {
        if (!quarantined || pendingCount() == 0) {
            return pendingCount();
        }
        if (!liveAttempts.isEmpty()) {
            return 0;
        }
        return spec.kind() == JobKind.GANG ? pendingCount() : 1;
    }

    /** Returns the index of the next task that may be placed, or -1. */
    int nextPendingTask() {
        pendingTasksFrom = finishedOrLiveTasks.nextClearBit(pendingTasksFrom);
        return pendingTasksFrom < spec.taskCount() ? pendingTasksFrom : -1;
    }

    /** Returns the number of live attempts in the zone; 0 if the zone is null. */
    int liveAttemptsInZone(String zone) {
        return zone == null ? 0 : liveZones.count(zone);
    }

    /** Returns the number of live attempts in all zones. */
    int liveAttemptCount() {
        return liveZones.size();
    }

    /** Records that the machine of a live attempt reported another zone. */
    void zoneChanged(String previousZone, String newZone) {
        liveZones.remove(previousZone);
        liveZones.add(newZone);
    }

    void add(Placement placement) {
        // Most tasks have one attempt, and an immutable list of one takes half of the memory of another list.
        List<Placement> others = liveAttempts.putIfAbsent(placement.taskIndex, List.of(placement));
        if (others != null) {
            List<Placement> placements = new ArrayList<>(others);
            placements.add(placement);
            liveAttempts.put(placement.taskIndex, placements);
        } else if (!finishedTasks.get(placement.taskIndex)) {
            liveUnfinishedCount++;
        }
        finishedOrLiveTasks.set(placement.taskIndex);
        liveMachines.add(placement.machine.name);
        liveZones.add(placement.machine.zone());
    }

    void remove(Placement placement) {
        List<Placement> placements = liveAttempts.get(placement.taskIndex);
        if (placements != null && placements.contains(placement)) {
            liveMachines.remove(placement.machine.name);
            liveZones.remove(placement.machine.zone());
            if (placements.size() > 1) {
                placements.remove(placement);
            } else {
                liveAttempts.remove(placement.taskIndex);
                if (!finishedTasks.get(placement.taskIndex)) {
                    finishedOrLiveTasks.clear(placement.taskIndex);
                    pendingTasksFrom = Math.min(pendingTasksFrom, placement.taskIndex);
                    liveUnfinishedCount--;
                }
            }
        }
    }

    /** Returns a copy of all live attempts, grouped by task; attempts may be removed from the job while iterating over it. */
    List<Placement> livePlacements() {
        List<Placement> result = new ArrayList<>();
        liveAttempts.values().forEach(result::addAll);
        return result;
    }

    /** Returns the number of tasks that a heartbeat has reported with their image fetched. */
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

    /** Records that a task is to be started. */
    void recordStart(long nowMicros) {
        if (firstStartMicros < 0) {
            firstStartMicros = nowMicros;
        }
        lastStartMicros = nowMicros;
        attemptCount++;
    }

    /** Returns the attempt that all tasks of a gang share, or 0 when none is live. */
    long liveGangAttempt() {
        for (List<Placement> placements : liveAttempts.values()) {
            return placements.get(0).attempt;
        }
        return 0;
    }

    /** Returns whether an unreported task of a previous leader may still be on a machine that is not reconciled. */
    boolean hasUnreconciledMachines() {
        return !unreconciledMachines.isEmpty();
    }

    /**
     * Returns whether a task of the job can be on a machine: an attempt of this leader, or one of a previous leader on a machine
     * that is not reconciled.
     */
    boolean mayBeRunning() {
        return !liveAttempts.isEmpty() || hasUnreconciledMachines();
    }

    /** Returns the deadline on the steady clock, or {@code MAX_VALUE} if the job has none. */
    long deadlineMicros() {
        return spec.deadlineMicros() < 0 ? Long.MAX_VALUE : submittedMicros + spec.deadlineMicros();
    }
}
