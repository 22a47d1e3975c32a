package io.micatide.core;

import java.util.Arrays;

/**
 * How long a leader that does not read the state service may keep tasks alive. Cut off together with a zone it goes on answering the
 * zone's workers, as it should in an outage; but outside another controller is served, users cancel there, and what was cancelled
 * has to be gone within the workers' {@code cancel_s}. So it stops answering early enough for the workers' leases to end in time, unless
 * every sibling tells it that nobody is served: then nobody can have cancelled anything.
 */
public final class CancelReach {
    /** News goes out every second and is answered within one. */
    private static final long HEARD_MICROS = 3 * Micros.SECOND;
    /** What lies between the end of a worker's lease and the end of its tasks, and clocks. */
    private static final long MARGIN_MICROS = Micros.SECOND;
    /** A read is never longer ago than this while the state service answers. */
    private static final long LEAST_MICROS = 4 * Micros.SECOND;

    private final long limitMicros;
    private final long[] unservedMicros;
    private long freshMicros;

    public CancelReach(Settings settings) {
        limitMicros = Math.max(LEAST_MICROS,
                settings.cancelMicros() - Micros.withDrift(settings.leaseMicros()) - MARGIN_MICROS);
        unservedMicros = new long[settings.siblings().size()];
    }

    /** A new term: half of the time was used up by the leader before, which may have known as little. */
    public void begin(long nowMicros) {
        freshMicros = nowMicros - limitMicros / 2;
        Arrays.fill(unservedMicros, Long.MIN_VALUE / 2);
    }

    /** All cancellations up to then are known. */
    public void fresh(long askedMicros) {
        freshMicros = Math.max(freshMicros, askedMicros);
    }

    /** A sibling that knows no later leader answered. One that was served would have claimed the row of a leader that is not. */
    public void heard(int sibling, boolean served, long nowMicros) {
        unservedMicros[sibling] = served ? Long.MIN_VALUE / 2 : nowMicros;
    }

    /** Whether the leader may answer workers, and by that prolong what runs on them. */
    public boolean mayAnswer(long nowMicros) {
        return nowMicros - freshMicros <= limitMicros
                || Arrays.stream(unservedMicros).allMatch(at -> nowMicros - at <= HEARD_MICROS);
    }
}
