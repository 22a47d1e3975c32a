package io.micatide.scheduler;

import io.micatide.model.JobKind;
import io.micatide.model.JobSpec;
import io.micatide.model.Micros;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
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
    int slot;

    private FreeCapacityIndex index;
    /** What could be freed on it, and at what loss. */
    final Preemption.Estimates estimates = new Preemption.Estimates();

    String address;
    String type;
    String zone;
    boolean spot;
    private Resources size;
    long incarnation;
    long sequence;
    /** The highest number of any of its messages. */
    long heardSequence;
    /**
     * It came straight back with its newest report, so it has heard the answer to the one before: a worker that heard nothing goes to
     * another controller first. Of a deaf machine every report comes and no start arrives; each that was sent there was lost for a lease.
     */
    boolean hears;
    /** Its report shows our token: no start of an older leader can land any more. */
    boolean confirmed;
    /** Receipt of the last report that was answered with our token, or -1. */
    long lastAnsweredMicros = -1;

    final long knownSinceMicros;
    long noticeAtMicros = -1;
    /** Marked once and for all: a deletion that was asked for may be carried out at any later time. */
    boolean deleting;

    long deleteAskedMicros = -1;
    boolean listed;
    /** It was told of this term. */
    boolean greeted;
    /** A ledger names it: until it reports to this leader or is gone, those jobs' missing tasks may be on it. */
    boolean holdsUp;

    long bootStartedMicros = -1;
    boolean draining;
    long idleSinceMicros = -1;
    /** Jobs that succeed elsewhere and failed here since the last success here, and how often they did. */
    final Set<String> failedJobs = new HashSet<>();

    int failures;
    /** Jobs of which nothing has succeeded anywhere yet and that failed here: it may be they or the machine. */
    final Set<String> doubtfulJobs = new HashSet<>();
    /** Tasks that told its pace, fading by the second, and the sum of the logarithms of how much too long they took. */
    double paceTasks;

    double paceSum;
    /** Until when it is held to be slower than others, or -1. */
    long slowUntilMicros = -1;

    final List<Placement> placements = new ArrayList<>();
    Resources used = Resources.NONE;
    /** Of that, the processors of replicas, in thousandths. */
    private long replicaCpus;

    private Resources room = Resources.NONE;
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
    void roomChanged() {
        estimates.clear();
        if (index != null) {
            index.changed(this);
        }
    }

    /** It is not known any more; what still happens to it concerns nobody. */
    void forgotten() {
        if (index != null) {
            index.removed(this);
            index = null;
        }
    }

    Resources room() {
        return room;
    }

    /** Null until the types are known. */
    Resources size() {
        return size;
    }

    void resize(Resources newSize) {
        size = newSize;
        use(used);
    }

    private void use(Resources newUse) {
        used = newUse;
        room = size == null ? Resources.NONE : size.minus(used);
        roomChanged();
    }

    boolean responsive(long nowMicros, Settings settings) {
        return lastAnsweredMicros >= 0
                && nowMicros - lastAnsweredMicros < 2 * settings.heartbeatIntervalMicros() + Micros.SECOND;
    }

    boolean usable(long nowMicros, Settings settings) {
        return confirmed
                && !deleting
                && !draining
                && noticeAtMicros < 0
                && size != null
                && responsive(nowMicros, settings)
                && hears;
    }

    /** A message with this number came. */
    void heard(long number) {
        hears = number <= heardSequence + 1;
        heardSequence = Math.max(heardSequence, number);
    }

    void add(Placement placement) {
        placements.add(placement);
        use(used.plus(placement.job.spec.each()));
        replicaCpus += replicaCpus(placement);
        idleSinceMicros = -1;
    }

    void remove(Placement placement) {
        if (placements.remove(placement)) {
            use(used.minus(placement.job.spec.each()));
            replicaCpus -= replicaCpus(placement);
        }
    }

    private static long replicaCpus(Placement placement) {
        JobSpec spec = placement.job.spec;
        return spec.kind() == JobKind.SERVICE ? spec.each().cpus() : 0;
    }

    /** Processors, in thousandths, that replicas leave to work that ends; only where the size is known. */
    long cpusBesideReplicas() {
        return size.cpus() - replicaCpus;
    }

    void touchImage(String image, double gb, double cacheGb) {
        images.put(image, gb);
        double total = 0;
        for (double each : images.values()) {
            total += each;
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
