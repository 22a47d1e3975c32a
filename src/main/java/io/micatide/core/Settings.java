package io.micatide.core;

import java.util.List;
import java.util.Map;

/** What the platform hands over. Everything that depends on a deployment is derived from these values. */
public record Settings(
        String label, String zone, String bind, String peerBind, List<Sibling> siblings, String cloud, String state,
        List<String> zones, long clockOffMicros, Map<String, Team> teams, List<Objective> objectives,
        long reportMicros, long leaseMicros, long gangWaitMicros, long gangPeerMicros, long cancelMicros,
        double stateRate, double writeRate, int valueBytes, int transactionOps,
        double cloudRate, long listLagMicros, double cores, double memoryMb, int maxConnections) {

    public record Sibling(String label, String zone, String endpoint) {
    }

    /** An aim on starting or finishing; {@code withinMicros} is -1 where the deadline is the job's own. */
    public record Objective(String kind, String jobClass, long withinMicros, double share) {
    }

    /**
     * When a confirmed machine's tasks are certainly gone, counted from the receipt of the last report that was
     * answered: its lease runs from the sending of that report, on a clock that may be slower than ours.
     */
    public long goneAfterMicros() {
        return Micros.withDrift(leaseMicros) + 300 * Micros.MILLISECOND;
    }

    /**
     * A job's tasks are recorded in pages of this many: the worst fragmentation takes five eighths of a value, and the
     * rest is for the machines that the first page names.
     */
    public int pageTasks() {
        return Math.max(256, Integer.highestOneBit(valueBytes / 8));
    }
}
