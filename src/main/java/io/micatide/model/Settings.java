package io.micatide.model;

import java.util.List;
import java.util.Map;

/**
 * The settings that the platform provides to a controller. Everything that depends on a deployment is derived from these values.
 *
 * @param label of this controller
 * @param zone of this controller
 * @param bind address on which this controller serves users, workers and the load balancer
 * @param peerBind address on which this controller serves peers
 * @param peers the other controllers of the deployment
 * @param cloudEndpoint host and port of the cloud API
 * @param storeEndpoint host and port of the store
 * @param zones zones of the deployment
 * @param wallClockErrorMicros maximum error of a wall clock
 * @param teams teams by name
 * @param objectives service-level objectives for jobs
 * @param heartbeatIntervalMicros interval between the heartbeats of a worker
 * @param workerLeaseMicros lease of a worker, which kills its tasks when the lease expires
 * @param gangStartTimeoutMicros time for which a task of a gang waits for the others to arrive
 * @param gangPeerTimeoutMicros time after which the tasks of a running gang exit once the gang lost a task
 * @param cancellationLimitMicros time after a confirmed cancellation within which all tasks of the job have to end
 * @param storeRequestsPerSecond rate limit of the store for requests, the smaller of the present and the announced one
 * @param storeWritesPerSecond rate limit of the store for writes, the smaller of the present and the announced one
 * @param maxValueBytes present size limit of a value in the store, which determines the size of ledger pages
 * @param maxWritableValueBytes size limit for values that are written: the smaller of the present and the announced limit, since a value
 *     above the announced limit could not be rewritten later
 * @param maxTransactionWrites limit of writes in a transaction, the smaller of the present and the announced one
 * @param cloudRequestsPerSecond rate limit of the cloud API
 * @param listLagMicros time by which the cloud's list of machines may lag behind
 * @param cores CPU limit of this process
 * @param memoryMb memory limit of this process in MB
 * @param maxConnections limit of open connections of this process
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

    /**
     * Another controller of the deployment.
     *
     * @param label of the controller
     * @param zone of the controller
     * @param endpoint host and port at which it serves peers
     */
    public record Peer(String label, String zone, String endpoint) {}

    /**
     * A service-level objective for jobs.
     *
     * @param kind of the objective
     * @param jobClass class of jobs to which it applies, empty if none is given
     * @param withinMicros time limit, or -1 if the deadline of each job applies
     * @param share share of the jobs that have to meet the limit
     */
    public record Objective(String kind, String jobClass, long withinMicros, double share) {}

    /** Latest layout of stored records that this version reads; the first one that is marked in the store is 2. */
    public static final int CURRENT_LAYOUT = 3;
    /** Layout with job dependencies and compressed machine names; marked by the layout record. */
    public static final int LAYOUT_WITH_DEPENDENCIES = 2;
    /** Layout with final states in the archive; marked by the record of the archive manifest. */
    public static final int LAYOUT_WITH_ARCHIVE = 3;

    /**
     * Returns the time after which all tasks of a reconciled machine have certainly ended, counted from the receipt of its last answered
     * heartbeat. The lease of its worker runs from the sending of that heartbeat, on a clock that may be slower than this controller's.
     */
    public long workerLeaseExpiryMicros() {
        return Micros.longestWithDrift(workerLeaseMicros) + 300 * Micros.MILLISECOND;
    }

    /**
     * Returns the number of tasks in a page of a job's ledger. The most fragmented set of finished tasks takes five eighths of a value,
     * which leaves the rest for the machine names on the first page. The number of a page determines its tasks, so the page size follows the
     * limit in force when pages were first written and never the announced one.
     */
    public int pageTasks() {
        return Math.max(256, Integer.highestOneBit(maxValueBytes / 8));
    }
}
