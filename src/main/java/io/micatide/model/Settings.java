package io.micatide.model;

import java.util.List;
import java.util.Map;

/**
 * What the platform hands over. Everything that depends on a deployment is derived from these values.
 *
 * @param maxValueBytes what a value may hold today; gives the size of ledger pages
 * @param maxWritableValueBytes what may be written into a value: the smaller of today's limit and the one to come, since a value
 *     that cannot be rewritten later is stuck
 * @param maxTransactionWrites the smaller of both as well, as are the rates
 */
public record Settings(
        String label,
        String zone,
        String bind,
        String peerBind,
        List<Peer> peers,
        String cloudEndpoint,
        String storeEndpoint,
        List<String> zones,
        long wallClockErrorMicros,
        Map<String, Team> teams,
        List<Objective> objectives,
        long heartbeatIntervalMicros,
        long workerLeaseMicros,
        long gangStartTimeoutMicros,
        long gangPeerTimeoutMicros,
        long cancellationLimitMicros,
        double storeRequestsPerSecond,
        double storeWritesPerSecond,
        int maxValueBytes,
        int maxWritableValueBytes,
        int maxTransactionWrites,
        double cloudRequestsPerSecond,
        long listLagMicros,
        double cores,
        double memoryMb,
        int maxConnections) {

    public record Peer(String label, String zone, String endpoint) {}

    /** An aim on starting or finishing; {@code withinMicros} is -1 where the deadline is the job's own. */
    public record Objective(String kind, String jobClass, long withinMicros, double share) {}

    /** The layout that this version reads; the first that is marked is 2. */
    public static final int CURRENT_LAYOUT = 3;
    /** Jobs that need others, names of machines in short: marked by a row of its own. */
    public static final int LAYOUT_WITH_DEPENDENCIES = 2;
    /** Final states in the archive: marked by its manifest, a row as well. */
    public static final int LAYOUT_WITH_ARCHIVE = 3;

    /**
     * When a confirmed machine's tasks are certainly gone, counted from the receipt of the last report that was
     * answered: its lease runs from the sending of that report, on a clock that may be slower than ours.
     */
    public long workerLeaseExpiryMicros() {
        return Micros.longestWithDrift(workerLeaseMicros) + 300 * Micros.MILLISECOND;
    }

    /**
     * A job's tasks are recorded in pages of this many: the worst fragmentation takes five eighths of a value, and the
     * rest is for the machines that the first page names. A page's number tells its tasks, so its size follows the limit
     * that was in force when the pages were first written and never the one that is to come.
     */
    public int pageTasks() {
        return Math.max(256, Integer.highestOneBit(maxValueBytes / 8));
    }
}
