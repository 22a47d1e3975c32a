package io.micatide.core;

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
    long version;
    boolean cancelled;
    /** Finished tasks, recorded or not. */
    final BitSet finished = new BitSet();
    /** Finished tasks that a confirmed write holds: only these may be forgotten by the workers. */
    final BitSet recorded = new BitSet();
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
    int errors;
    /** Machines on which a task of it failed; it is not placed there again until it has waited. */
    final Set<String> failedMachines = new HashSet<>();
    /** Scan position for the next task to place. */
    int cursor;
    long firstStartMicros = -1;
    long lastStartMicros = -1;
    int attempts;
    /** Run time and number of its tasks that completed in this term. */
    long ranMicros;
    int ranTasks;
    /** Until when room that was asked for by stopping saving work is waited for. */
    long roomComingMicros = -1;
    /** A task of the gang's present attempt has run: what is missing cannot be replaced any more. */
    boolean gangStarted;
    /** The present attempt is over; the next one begins when nothing of it can be on a machine. */
    boolean gangBroken;

    Job(JobSpec spec, long version, long submittedWall, long submittedMicros) {
        this.spec = spec;
        this.version = version;
        this.submittedWall = submittedWall;
        this.submittedMicros = submittedMicros;
    }

    String id() {
        return spec.id();
    }

    int unfinished() {
        return spec.tasks() - finished.cardinality();
    }

    boolean allFinished() {
        return spec.kind() != JobKind.SERVICE && finished.cardinality() >= spec.tasks();
    }

    /** Tasks that are neither finished nor possibly on a machine that we have listed. */
    int waiting() {
        return cancelled ? 0 : Math.max(0, unfinished() - liveUnfinished());
    }

    private int liveUnfinished() {
        int count = 0;
        for (int index : live.keySet()) {
            if (!finished.get(index)) {
                count++;
            }
        }
        return count;
    }

    /** The next task that may be placed at or after the cursor, or -1. */
    int nextWaiting() {
        for (int step = 0, i = cursor; step < spec.tasks(); step++, i++) {
            if (i >= spec.tasks()) {
                i = 0;
            }
            if (!finished.get(i) && !live.containsKey(i)) {
                cursor = i;
                return i;
            }
        }
        return -1;
    }

    void add(Placement placement) {
        live.computeIfAbsent(placement.index, k -> new ArrayList<>(1)).add(placement);
    }

    void remove(Placement placement) {
        List<Placement> list = live.get(placement.index);
        if (list != null) {
            list.remove(placement);
            if (list.isEmpty()) {
                live.remove(placement.index);
                cursor = Math.min(cursor, placement.index);
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

    long deadlineMicros() {
        return spec.deadlineMicros() < 0 ? Long.MAX_VALUE : submittedMicros + spec.deadlineMicros();
    }
}
