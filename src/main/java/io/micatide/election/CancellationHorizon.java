package io.micatide.election;

import io.micatide.model.CancellationDigest;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.Arrays;
import java.util.List;

/**
 * The proof behind every answer to a worker. An answer prolongs all that is on the machine by the worker's lease, also the tasks of jobs
 * that were cancelled without this controller's knowledge, and those have to be gone {@code cancel_s} after their users were told. So the
 * invariant of every answer is: <em>each cancellation that anybody confirmed up to {@code cancel_s}, less the lease, its drift and a
 * margin, before the answer is known here.</em> Then what ends with the lease ends in time, and what is known is stopped by the answer.
 *
 * <p>Whoever can confirm a cancellation is a process in the place of one of the siblings, or a former one in our own place. For each place
 * this keeps up to when all is known that was confirmed there. A read of the state service shows everything, as of when it was asked for.
 * While there is none, a sibling's {@link CancellationDigest} goes on from there, as of when it was asked for, if it leaves no gap: whole, and
 * of a process that was already alive at the moment up to which all is known. One that was started since cannot know what the process before
 * it told users; that time is missing until the next read.
 *
 * <p>That nobody is served <em>now</em> proves nothing: a sibling that was served for half a second after our last read, and confirmed
 * cancellations, says the same in the outage that follows (tasks of cancelled jobs ran on for a whole outage).
 */
public final class CancellationHorizon {
    /** What lies between the end of a worker's lease and the end of its tasks, and clocks. */
    private static final long MARGIN_MICROS = Micros.SECOND;
    /** A read is never longer ago than this while the state service answers; settings that leave less cannot be kept. */
    private static final long MIN_AGE_LIMIT_MICROS = 4 * Micros.SECOND;

    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final List<Settings.Sibling> peers;
    private final long maxAgeMicros;
    private final long[] knownUpToMicros;
    private boolean hasReadStore;

    public CancellationHorizon(Settings settings) {
        peers = settings.siblings();
        maxAgeMicros = Math.max(MIN_AGE_LIMIT_MICROS, allowedMicros(settings));
        knownUpToMicros = new long[peers.size()];
        Arrays.fill(knownUpToMicros, NEVER_MICROS);
    }

    private static long allowedMicros(Settings settings) {
        return settings.cancellationLimitMicros() - Micros.withDrift(settings.workerLeaseMicros()) - MARGIN_MICROS;
    }

    /** What these settings promise and nobody could keep, for the operator; null if they can be kept. */
    public static String violationOf(Settings settings) {
        long allowed = allowedMicros(settings);
        return allowed >= MIN_AGE_LIMIT_MICROS
                ? null
                : String.format(
                        "workers.cancel_s: %.1f s with workers.lease_s of %.1f s leave %.1f s without news of cancellations, and at least %.1f s are needed:"
                                + " tasks of a cancelled job may stay longer than that",
                        Micros.toSeconds(settings.cancellationLimitMicros()),
                        Micros.toSeconds(settings.workerLeaseMicros()),
                        Micros.toSeconds(allowed),
                        Micros.toSeconds(MIN_AGE_LIMIT_MICROS));
    }

    /** The state service was asked then for what has changed, and all that it answered is taken in. */
    public void hasReadStore(long askedMicros) {
        // It began in this process's life, so whatever a former one in its place told is in it.
        hasReadStore = true;
        for (int i = 0; i < knownUpToMicros.length; i++) {
            knownUpToMicros[i] = Math.max(knownUpToMicros[i], askedMicros);
        }
    }

    /**
     * A sibling's word, whose names are all taken in.
     *
     * @param askedMicros when the question left: what the sibling confirmed after that may be missing
     * @param heardMicros when the answer came
     * @return whether it proves anything
     */
    public boolean digestReceived(int sibling, CancellationDigest word, long askedMicros, long heardMicros) {
        // Counted back from when the answer came and with the shortest that its clock allows, it was born no later than
        // this.
        long bornMicros = heardMicros - Micros.withoutDrift(word.uptimeMicros());
        if (!word.complete()
                || !word.controller().equals(peers.get(sibling).label())
                || bornMicros > knownUpToMicros[sibling]) {
            return false;
        }
        knownUpToMicros[sibling] = Math.max(knownUpToMicros[sibling], askedMicros);
        return true;
    }

    /** Whether the leader may answer workers, and by that prolong what runs on them. */
    public boolean mayAnswerWorkers(long nowMicros) {
        if (!hasReadStore) {
            return false;
        }
        for (long known : knownUpToMicros) {
            if (nowMicros - known > maxAgeMicros) {
                return false;
            }
        }
        return true;
    }

    /** Whose word is missing, for the log: labels of the siblings of which not enough is known. */
    public List<String> laggingPeers(long nowMicros) {
        return peers.stream()
                .filter(each -> nowMicros - knownUpToMicros[peers.indexOf(each)] > maxAgeMicros)
                .map(Settings.Sibling::label)
                .toList();
    }
}
