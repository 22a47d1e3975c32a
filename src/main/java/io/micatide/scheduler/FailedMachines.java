package io.micatide.scheduler;

import io.micatide.model.Micros;
import java.util.HashMap;
import java.util.Map;

/**
 * The machines on which tasks of one job failed and none succeeded since. The job is not placed on such a machine for a while, which grows with
 * each failure there. Every exclusion ends by itself: the machine may be the only one that the job can use, and whether the machine or the job was
 * at fault is not known.
 */
final class FailedMachines {
    private static final long FIRST_EXCLUSION_MICROS = 15 * Micros.SECOND;
    private static final long MAX_EXCLUSION_MICROS = 60 * Micros.SECOND;

    /** The exclusion that the latest failure on one machine caused: its end and its length. */
    private record Exclusion(long untilMicros, long lengthMicros) {
        Exclusion next(long nowMicros) {
            long length = Math.min(MAX_EXCLUSION_MICROS, 2 * lengthMicros);
            return new Exclusion(nowMicros + length, length);
        }
    }

    private final Map<String, Exclusion> exclusions = new HashMap<>();

    /** Records a failure on a machine. Failures of tasks that were placed before the exclusion do not extend it. */
    void add(String machine, long nowMicros) {
        exclusions.merge(
                machine,
                new Exclusion(nowMicros + FIRST_EXCLUSION_MICROS, FIRST_EXCLUSION_MICROS),
                (known, first) -> nowMicros < known.untilMicros() ? known : known.next(nowMicros));
    }

    /** Returns whether the job must not be placed on the machine now. */
    boolean isExcluded(String machine, long nowMicros) {
        Exclusion exclusion = exclusions.get(machine);
        return exclusion != null && nowMicros < exclusion.untilMicros();
    }

    /** Returns the number of machines on which a task failed and none succeeded since. */
    int size() {
        return exclusions.size();
    }

    boolean isEmpty() {
        return exclusions.isEmpty();
    }

    /** Returns whether the job must not be placed on some machine now. */
    boolean excludesAny(long nowMicros) {
        for (Exclusion exclusion : exclusions.values()) {
            if (nowMicros < exclusion.untilMicros()) {
                return true;
            }
        }
        return false;
    }

    /** Forgets the failures on a machine, since a task succeeded there. */
    void remove(String machine) {
        exclusions.remove(machine);
    }

    /** Forgets all failures. */
    void clear() {
        exclusions.clear();
    }

    /** Forgets failures whose exclusion ended long ago; for a job whose failures are no longer counted. */
    void removeOld(long nowMicros) {
        exclusions.values().removeIf(exclusion -> exclusion.untilMicros() + MAX_EXCLUSION_MICROS <= nowMicros);
    }
}
