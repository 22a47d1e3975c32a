package io.micatide.scheduler;

import io.micatide.model.Heartbeat;
import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import io.micatide.model.TaskStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What is known of one machine. */
final class Machine {
    final String name;
    /** Its place in the index of room, which is the index's to change. */
    int indexSlot;

    private FreeCapacityIndex index;
    /** What could be freed on it, and at what loss. */
    final Preemption.Estimates preemptionEstimates = new Preemption.Estimates();

    String address;
    String type;
    String zone;
    boolean spot;
    private Resources capacity;
    long incarnation;
    long latestSequence;
    /** The highest number of any of its messages. */
    long highestSequence;
    /**
     * It came straight back with its newest report, so it has heard the answer to the one before: a worker that heard nothing goes to
     * another controller first. Of a deaf machine every report comes and no start arrives; each that was sent there was lost for a lease.
     */
    boolean receivesResponses;
    /** Its report shows our token: no start of an older leader can land any more. */
    boolean isReconciled;
    /** Receipt of the last report that was answered with our token, or -1. */
    long lastHeartbeatMicros = -1;

    final long knownSinceMicros;
    long spotNoticeEndsMicros = -1;
    /** Marked once and for all: a deletion that was asked for may be carried out at any later time. */
    boolean deletionRequested;

    long deletionRequestedMicros = -1;
    boolean wasListedByCloud;
    /** It was told of this term. */
    boolean wasAnnounced;
    /** A ledger names it: until it reports to this leader or is gone, those jobs' missing tasks may be on it. */
    boolean isAwaitedAfterFailover;

    long bootStartedMicros = -1;
    boolean quarantined;
    long idleSinceMicros = -1;
    /** Jobs that succeed elsewhere and failed here since the last success here, and how often they did. */
    final Set<String> failedJobs = new HashSet<>();

    int failureCount;
    /** Jobs of which nothing has succeeded anywhere yet and that failed here: it may be they or the machine. */
    final Set<String> unattributedJobs = new HashSet<>();
    /** Tasks that told its pace, fading by the second, and the sum of the logarithms of how much too long they took. */
    double paceSamples;

    double paceLogSum;
    /** Until when it is held to be slower than others, or -1. */
    long slowUntilMicros = -1;

    final List<Placement> placements = new ArrayList<>();
    Resources used = Resources.NONE;
    /** Of that, the processors of replicas, in thousandths. */
    private long replicaCpus;

    private Resources freeCapacity = Resources.NONE;
    /** Images by last use, oldest first, with their size. */
    final Map<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

    Machine(String name, long nowMicros) {
        this(name, nowMicros, null);
    }

    /** @param index is told of what changes its room; null for none */
    Machine(String name, long nowMicros, FreeCapacityIndex index) {
        this.name = name;
        this.knownSinceMicros = nowMicros;
        this.index = index;
    }

    /** What counts as room on it, or could be freed, has changed. */
    void capacityChanged() {
        preemptionEstimates.clear();
        if (index != null) {
            index.machineChanged(this);
        }
    }

    /** It is not known any more; what still happens to it concerns nobody. */
    void detachFromIndex() {
        if (index != null) {
            index.machineRemoved(this);
            index = null;
        }
    }

    Resources freeCapacity() {
        return freeCapacity;
    }

    /** Null until the types are known. */
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

    /** Its newest heartbeat came. */
    void heartbeatReceived(Heartbeat heartbeat, long nowMicros) {
        incarnation = heartbeat.incarnation();
        latestSequence = heartbeat.sequence();
        messageReceived(heartbeat.sequence());
        address = heartbeat.address();
        lastHeartbeatMicros = nowMicros;
    }

    /** The placement that a line of its heartbeat is about, null if it is not known. */
    Placement placementOf(TaskStatus status) {
        for (Placement placement : placements) {
            if (placement.matches(status)) {
                return placement;
            }
        }
        return null;
    }

    /** A message with this number came. */
    void messageReceived(long messageSequence) {
        receivesResponses = messageSequence <= highestSequence + 1;
        highestSequence = Math.max(highestSequence, messageSequence);
    }

    void add(Placement placement) {
        placements.add(placement);
        setUsed(used.plus(placement.job.spec.taskResources()));
        replicaCpus += replicaCpus(placement);
        idleSinceMicros = -1;
    }

    void remove(Placement placement) {
        if (placements.remove(placement)) {
            setUsed(used.minus(placement.job.spec.taskResources()));
            replicaCpus -= replicaCpus(placement);
        }
    }

    private static long replicaCpus(Placement placement) {
        JobSpec spec = placement.job.spec;
        return spec.kind() == JobKind.SERVICE ? spec.taskResources().cpus() : 0;
    }

    /** Processors, in thousandths, that replicas leave to work that ends; only where the size is known. */
    long cpusNotUsedByReplicas() {
        return capacity.cpus() - replicaCpus;
    }

    void touchImage(String image, double sizeGb, double cacheGb) {
        images.put(image, sizeGb);
        double total = 0;
        for (double imageGb : images.values()) {
            total += imageGb;
        }
        var oldest = images.entrySet().iterator();
        while (total > cacheGb && oldest.hasNext()) {
            var entry = oldest.next();
            if (entry.getKey().equals(image)) {
                break;
            }
            total -= entry.getValue();
            oldest.remove();
        }
    }
}
