package io.micatide.scheduler;

import io.micatide.model.Heartbeat;
import io.micatide.model.JobKind;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TaskStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** State of one machine as the leader knows it. Mutable; owned by {@link Fleet}. */
final class Machine {
    /** Users name the images; without a size, any number of them fits into the cache. */
    private static final int MAX_IMAGES = 256;
    /** Length of the names of all images together, in characters. */
    private static final int MAX_IMAGE_NAME_CHARS = 16_384;

    final String name;
    /** Slot of the machine in the {@link FreeCapacityIndex}; changed only by the index. */
    int indexSlot;

    private FreeCapacityIndex index;
    /** Cached estimates of the capacity that preemption could free on the machine, and of the work that would be lost. */
    final Preemption.Estimates preemptionEstimates = new Preemption.Estimates();

    String address;
    String type;
    private String zone;
    boolean isSpot;
    private Resources capacity;
    long incarnation;
    long latestSequence;
    /** Highest sequence number of all messages of the machine, including answers to announcements. */
    long highestSequence;
    /**
     * Whether the newest message follows the previous one without a gap in the sequence numbers, which shows that the worker received the response to
     * the previous one: a worker without a response tries another controller first. A machine that can send but not receive still delivers every
     * heartbeat while no start reaches it, and each start that was sent to it was lost until the worker's lease expired.
     */
    boolean receivesResponses;
    /** Whether a heartbeat of the machine carried the fencing token of this term, so that no start of a previous leader can take effect on it. */
    boolean isReconciled;
    /** Time of receipt of the newest heartbeat that was applied in this term, or -1. */
    long lastHeartbeatMicros = -1;

    final long knownSinceMicros;
    /** Time at which the cloud reclaims the spot machine, or -1 without a notice. */
    long spotNoticeEndsMicros = -1;
    /** Whether the deletion of the machine was decided. Never reset, since a requested deletion may be executed at any later time. */
    boolean deletionRequested;
    /** Time at which the deletion was last requested from the cloud, or -1. */
    long deletionRequestedMicros = -1;

    boolean wasListedByCloud;
    /** Whether the announcement of this term to the machine was handed out, or dropped for lack of an address; it is sent once at most. */
    boolean wasAnnounced;
    /** Whether a ledger names the machine and it is not reconciled: until then or until its deletion, tasks of these jobs may be on it. */
    boolean isAwaitedAfterFailover;

    long bootStartedMicros = -1;
    boolean quarantined;
    /** Time of the latest failure that began or confirmed the quarantine. */
    long quarantinedSinceMicros = -1;

    long idleSinceMicros = -1;
    /** Jobs that succeed on other machines and failed on this one since the last success on it. */
    final Set<String> failedJobs = new HashSet<>();

    /** Number of failures of these jobs since the last success on the machine. */
    int failureCount;
    /** Jobs without any success so far that failed on this machine: the job or the machine may be the cause. */
    final Set<String> unattributedJobs = new HashSet<>();
    /** Number of tasks that showed the pace of the machine, decayed every second. */
    double paceSamples;

    /** Sum of the logarithms of the ratios of actual to expected run time of these tasks, decayed every second. */
    double paceLogSum;
    /** Time until which the machine counts as slower than others, or -1. */
    long slowUntilMicros = -1;
    /** Time at which the machine was last found to be slow in this term, or -1. */
    long foundSlowMicros = -1;

    final List<Placement> placements = new ArrayList<>();
    Resources used = Resources.NONE;
    /** Resources used by service replicas; part of {@link #used}. */
    private Resources usedByReplicas = Resources.NONE;

    private int replicaCount;
    /** Bytes that the placements take in the machine's heartbeat at most. */
    private int placementHeartbeatBytes;
    /** Bytes of the entries in the newest heartbeat that have no placement and are not being reaped. */
    private int otherHeartbeatBytes;

    private Resources freeCapacity = Resources.NONE;
    /** Sizes of the cached images in GB by image name, least recently used first. */
    final Map<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

    Machine(String name, long nowMicros) {
        this(name, nowMicros, null);
    }

    /** @param index index that is notified of changes of the free capacity, or null */
    Machine(String name, long nowMicros, FreeCapacityIndex index) {
        this.name = name;
        this.knownSinceMicros = nowMicros;
        this.index = index;
    }

    /** Handles a change of the free capacity of the machine or of what preemption could free on it. */
    void capacityChanged() {
        preemptionEstimates.clear();
        if (index != null) {
            index.machineChanged(this);
        }
    }

    /** Removes the machine from the index, which is not notified of later changes. */
    void detachFromIndex() {
        if (index != null) {
            index.machineRemoved(this);
            index = null;
        }
    }

    Resources freeCapacity() {
        return freeCapacity;
    }

    /** Returns the zone of the machine, or null until it is known. */
    String zone() {
        return zone;
    }

    /** Sets the zone of the machine, and updates the jobs of its placements. */
    void setZone(String newZone) {
        if (!Objects.equals(zone, newZone)) {
            for (Placement placement : placements) {
                placement.job.zoneChanged(zone, newZone);
            }
            zone = newZone;
        }
    }

    /** Returns the capacity of the machine, or null until its machine type is known. */
    Resources capacity() {
        return capacity;
    }

    void resize(Resources newSize) {
        capacity = newSize;
        setUsed(used);
    }

    private void setUsed(Resources newUse) {
        used = newUse;
        freeCapacity = capacity == null ? Resources.NONE : capacity.minus(used);
        capacityChanged();
    }

    /** Excludes the machine from placement, since jobs failed on it. It is deleted once it is idle. */
    void quarantine(long nowMicros) {
        quarantined = true;
        quarantinedSinceMicros = nowMicros;
    }

    boolean isResponsive(long nowMicros, Settings settings) {
        return lastHeartbeatMicros >= 0
                && nowMicros - lastHeartbeatMicros < 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
    }

    boolean isSchedulable(long nowMicros, Settings settings) {
        return isReconciled
                && !deletionRequested
                && !quarantined
                && spotNoticeEndsMicros < 0
                && capacity != null
                && isResponsive(nowMicros, settings)
                && receivesResponses;
    }

    /** Applies the sender data of the newest heartbeat. */
    void heartbeatReceived(Heartbeat heartbeat, long nowMicros) {
        incarnation = heartbeat.incarnation();
        latestSequence = heartbeat.sequence();
        messageReceived(heartbeat.sequence());
        address = heartbeat.address();
        lastHeartbeatMicros = nowMicros;
    }

    /**
     * Returns the placement that a task status in a heartbeat of the machine refers to, or null if there is none.
     *
     * @param job the open job of the task, or null if it has finished
     */
    Placement placementOf(TaskStatus status, Job job) {
        List<Placement> attempts =
                job == null ? placements : job.liveAttempts.getOrDefault(status.taskIndex(), List.of());
        for (Placement placement : attempts) {
            if (placement.machine == this && placement.matches(status)) {
                return placement;
            }
        }
        return null;
    }

    /** Records the sequence number of a message of the worker. */
    void messageReceived(long messageSequence) {
        receivesResponses = messageSequence <= highestSequence + 1;
        highestSequence = Math.max(highestSequence, messageSequence);
    }

    void add(Placement placement) {
        placements.add(placement);
        setUsed(used.plus(placement.job.spec.taskResources()));
        placementHeartbeatBytes += placement.job.heartbeatBytesPerTask;
        if (isReplica(placement)) {
            replicaCount++;
            usedByReplicas = usedByReplicas.plus(placement.job.spec.taskResources());
        }
        idleSinceMicros = -1;
    }

    void remove(Placement placement) {
        if (placements.remove(placement)) {
            setUsed(used.minus(placement.job.spec.taskResources()));
            placementHeartbeatBytes -= placement.job.heartbeatBytesPerTask;
            if (isReplica(placement)) {
                replicaCount--;
                usedByReplicas = usedByReplicas.minus(placement.job.spec.taskResources());
            }
        }
    }

    private static boolean isReplica(Placement placement) {
        return placement.job.spec.kind() == JobKind.SERVICE;
    }

    /** Returns how many bytes of further tasks the machine's heartbeat has space for. */
    int freeHeartbeatBytes() {
        return HeartbeatSpace.TOTAL_BYTES - placementHeartbeatBytes - otherHeartbeatBytes;
    }

    /** Sets the bytes of the entries in the newest heartbeat that have no placement and stay in the next one. */
    void setOtherHeartbeatBytes(int bytes) {
        otherHeartbeatBytes = bytes;
    }

    /** Returns the number of service replicas on the machine. */
    int replicaCount() {
        return replicaCount;
    }

    /** Returns the resources that service replicas use on the machine. */
    Resources usedByReplicas() {
        return usedByReplicas;
    }

    /** Returns the CPUs, in thousandths, that service replicas leave to array and gang tasks. Requires a known capacity. */
    long cpusNotUsedByReplicas() {
        return capacity.cpus() - usedByReplicas.cpus();
    }

    /** Marks the image as used now and evicts the least recently used images, never the given one, while they exceed {@code cacheGb} or a limit. */
    void touchImage(String image, double sizeGb, double cacheGb) {
        images.put(image, sizeGb);
        double total = 0;
        for (double imageGb : images.values()) {
            total += imageGb;
        }
        int nameChars = 0;
        for (String name : images.keySet()) {
            nameChars += name.length();
        }
        var oldest = images.entrySet().iterator();
        while ((total > cacheGb || images.size() > MAX_IMAGES || nameChars > MAX_IMAGE_NAME_CHARS)
                && oldest.hasNext()) {
            var entry = oldest.next();
            if (entry.getKey().equals(image)) {
                break;
            }
            total -= entry.getValue();
            nameChars -= entry.getKey().length();
            oldest.remove();
        }
    }
}
