package io.micatide.scheduler;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Priority;
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
    /** Finished tasks, recorded or not; changed by {@link #finish} and {@link #adopt} only. */
    final BitSet finished = new BitSet();
    /** Tasks that are finished or live, so that the next one to place is found without a search. */
    private final BitSet taken = new BitSet();

    private int finishedCount;
    private int liveUnfinished;
    /** Machines with live attempts, and how many. */
    final Multiset<String> liveMachines = HashMultiset.create();
    /** Finished tasks that a confirmed write holds: only these may be forgotten by the workers. */
    final BitSet recorded = new BitSet();
    /** Tasks that were stopped once since their machine seemed slow; they are not stopped for that again. */
    final BitSet leftSlow = new BitSet();
    /** Attempts that may be on a machine, by task. */
    final Map<Integer, List<Placement>> live = new HashMap<>();

    /** Machines in the ledger by every outcome that the last writes can have. */
    Set<String> recordedMachines = new HashSet<>();
    /** Machines that the next write must name because of held starts. */
    final Set<String> neededMachines = new HashSet<>();
    /** Machines taken over from an earlier leader's ledger that have not been settled. */
    final Set<String> unsettledMachines = new HashSet<>();

    long gangAttempt;
    final Map<Integer, Long> pageVersions = new HashMap<>();
    final BitSet dirtyPages = new BitSet();
    boolean writing;
    long dirtySinceMicros = -1;
    long blockedUntilMicros;
    /** Failed where nothing of it ever succeeded, on several machines: most likely submitted with a mistake. */
    boolean suspect;
    /** Probes of it that failed since it is suspected. */
    int failedProbes;
    /** Machines on which a task of it failed and none succeeded since; it is not placed there. */
    final Set<String> failedMachines = new HashSet<>();

    long firstStartMicros = -1;
    long lastStartMicros = -1;
    int attempts;
    /** Run time and number of its tasks that completed in this term. */
    long ranMicros;

    int ranTasks;
    /** When it may next displace other work. */
    long preemptsAgainMicros;
    /** Until when room that was asked for by stopping saving work is waited for. */
    long roomComingMicros = -1;
    /** A task of the gang's present attempt has run: what is missing cannot be replaced any more. */
    boolean gangStarted;
    /** The present attempt is over; the next one begins when nothing of it can be on a machine. */
    boolean gangBroken;

    /** Whether jobs wait for it, and what they ask of it: see {@link DagInheritance}. */
    boolean needed;

    private Priority priority;
    long neededByMicros = Long.MAX_VALUE;
    /** Its ledger cannot be written with further machines: what is held for them has to be given back. */
    boolean ledgerFull;
    /** What the names of its machines took at that time, without those that a round has still to name. */
    int nameBytes;

    long nameBytesMicros = Long.MIN_VALUE;
    /** Until when it is not placed on machines that its ledger does not name. */
    long fullUntilMicros = Long.MIN_VALUE;
    /** The state service refused to write it; tried again then. */
    long writeAgainMicros = Long.MIN_VALUE;

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

    void demand(boolean byOthers, Priority others, long byMicros) {
        Priority before = priority;
        needed = byOthers;
        priority = others.above(spec.priority()) ? others : spec.priority();
        if (priority != before) {
            // What its tasks take may be freed for others now, or not any more.
            live.values().forEach(attempts -> attempts.forEach(attempt -> attempt.machine.roomChanged()));
        }
        neededByMicros = byMicros;
    }

    /** Whether that is news. */
    boolean finish(int index) {
        if (finished.get(index)) {
            return false;
        }
        finished.set(index);
        taken.set(index);
        finishedCount++;
        if (live.containsKey(index)) {
            liveUnfinished--;
        }
        return true;
    }

    /** Finished tasks as an earlier leader recorded them. */
    void adopt(BitSet recordedThen) {
        recorded.or(recordedThen);
        for (int i = recordedThen.nextSetBit(0); i >= 0; i = recordedThen.nextSetBit(i + 1)) {
            finish(i);
        }
    }

    int finishedCount() {
        return finishedCount;
    }

    int unfinished() {
        return spec.tasks() - finishedCount;
    }

    boolean allFinished() {
        return spec.kind() != JobKind.SERVICE && finishedCount >= spec.tasks();
    }

    /** Tasks that are neither finished nor possibly on a machine that we have listed. */
    int waiting() {
        return cancelled ? 0 : Math.max(0, unfinished() - liveUnfinished);
    }

    /** Whether any of its tasks has ever succeeded, as far as this leader can know. */
    boolean works() {
        return finishedCount > 0;
    }

    /** How many tasks may be placed now: of a suspected job one at a time shows whether it still fails. */
    int placeable() {
        if (!suspect || waiting() == 0) {
            return waiting();
        }
        if (!live.isEmpty()) {
            return 0;
        }
        return spec.kind() == JobKind.GANG ? waiting() : 1;
    }

    /** The next task that may be placed, or -1. */
    int nextWaiting() {
        int index = taken.nextClearBit(0);
        return index < spec.tasks() ? index : -1;
    }

    void add(Placement placement) {
        List<Placement> list = live.computeIfAbsent(placement.index, k -> new ArrayList<>(1));
        if (list.isEmpty() && !finished.get(placement.index)) {
            liveUnfinished++;
        }
        list.add(placement);
        taken.set(placement.index);
        liveMachines.add(placement.machine.name);
    }

    void remove(Placement placement) {
        List<Placement> list = live.get(placement.index);
        if (list != null && list.remove(placement)) {
            liveMachines.remove(placement.machine.name);
            if (list.isEmpty()) {
                live.remove(placement.index);
                if (!finished.get(placement.index)) {
                    taken.clear(placement.index);
                    liveUnfinished--;
                }
            }
        }
    }

    /** The attempt that all tasks of a gang share, or 0 when none is live. */
    long liveAttempt() {
        for (List<Placement> list : live.values()) {
            return list.get(0).attempt;
        }
        return 0;
    }

    /** A task of which nothing was reported may still sit on a machine of an earlier leader. */
    boolean unsettled() {
        return !unsettledMachines.isEmpty();
    }

    /** Whether anything of it can be on a machine: attempts of this leader, or of earlier ones on machines that have not been settled. */
    boolean anywhere() {
        return !live.isEmpty() || unsettled();
    }

    long deadlineMicros() {
        return spec.deadlineMicros() < 0 ? Long.MAX_VALUE : submittedMicros + spec.deadlineMicros();
    }
}
