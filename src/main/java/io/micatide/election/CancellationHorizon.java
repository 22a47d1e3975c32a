package io.micatide.election;

import io.micatide.model.CancellationDigest;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Up to when a leader knows of all cancellations, on which its right to answer workers rests. An answer to a heartbeat prolongs the
 * worker's lease and so whatever runs on the machine, also tasks of jobs that were cancelled without this controller's knowledge, and
 * those have to be gone {@code workers.cancel_s} after the cancellation was confirmed to a user. So the invariant of every answer is:
 * <em>each cancellation that any controller confirmed until {@code cancel_s}, less the lease, its drift and a margin, before the answer is
 * known here.</em> Then what ends with the lease ends in time, and what is known is stopped by the answer.
 *
 * <p>A cancellation can be confirmed by the process of any peer, or by an earlier process of this controller. For each peer this keeps the
 * time up to which everything that was confirmed there is known. A read of the store shows all cancellations, as of when it was sent. While
 * the store is away, a peer's {@link CancellationDigest} goes on from there, as of when it was asked for, if it leaves no gap: it has to be
 * complete and of a process that was already running at the time up to which all is known. A process that was started since cannot know
 * what the process before it confirmed to users; that time is missing until the next read.
 *
 * <p>That the store answers nobody <em>now</em> proves nothing: a peer that was answered for half a second after our last read, and
 * confirmed cancellations, says the same in the outage that follows (tasks of cancelled jobs ran on for a whole outage).
 *
 * <p>Times are microseconds on the process's steady clock. Not thread-safe: used by the leader's actor only.
 */
public final class CancellationHorizon {
    /** For the differences of clocks and what lies between the expiry of a worker's lease and the end of its tasks. */
    private static final long MARGIN_MICROS = Micros.SECOND;
    /** While the store answers, the last read is never older than this; settings that allow less cannot be kept. */
    private static final long MIN_AGE_LIMIT_MICROS = 4 * Micros.SECOND;
    /** Longer ago than any time that counts, and far enough from the range's end to be subtracted from. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final List<Settings.Peer> peers;
    private final long maxAgeMicros;
    /** For each peer, up to when all that it confirmed is known. */
    private final long[] knownUpToMicros;

    private boolean hasReadStore;

    /**
     * Nothing is known yet, so no worker may be answered.
     *
     * @param settings for the peers, the workers' lease and the limit for cancellations
     */
    public CancellationHorizon(Settings settings) {
        peers = settings.peers();
        maxAgeMicros = Math.max(MIN_AGE_LIMIT_MICROS, allowedAgeMicros(settings));
        knownUpToMicros = new long[peers.size()];
        Arrays.fill(knownUpToMicros, NEVER_MICROS);
    }

    private static long allowedAgeMicros(Settings settings) {
        return settings.cancellationLimitMicros()
                - Micros.longestWithDrift(settings.workerLeaseMicros())
                - MARGIN_MICROS;
    }

    /**
     * What these settings promise and no controller could keep.
     *
     * @param settings to check
     * @return a message to the operator, empty if the promise can be kept
     */
    public static Optional<String> violationOf(Settings settings) {
        long allowedMicros = allowedAgeMicros(settings);
        if (allowedMicros >= MIN_AGE_LIMIT_MICROS) {
            return Optional.empty();
        }
        return Optional.of(String.format(
                "workers.cancel_s: %.1f s with workers.lease_s of %.1f s leave %.1f s without news of cancellations, and at least %.1f s are needed:"
                        + " tasks of a cancelled job may stay longer than that",
                Micros.toSeconds(settings.cancellationLimitMicros()),
                Micros.toSeconds(settings.workerLeaseMicros()),
                Micros.toSeconds(allowedMicros),
                Micros.toSeconds(MIN_AGE_LIMIT_MICROS)));
    }

    /**
     * The store was read, and all cancellations that it showed are known.
     *
     * @param askedMicros when the read was sent
     */
    public void storeRead(long askedMicros) {
        // The read began in this process's life, so it shows whatever an earlier process of this controller confirmed.
        hasReadStore = true;
        for (int i = 0; i < knownUpToMicros.length; i++) {
            knownUpToMicros[i] = Math.max(knownUpToMicros[i], askedMicros);
        }
    }

    /**
     * A peer sent its digest, and all jobs that it names are known as cancelled here.
     *
     * @param peer the peer's place in {@link Settings#peers()}
     * @param digest what it sent
     * @param askedMicros when the request left: what the peer confirmed after that may be missing
     * @param receivedMicros when the answer came
     * @return false if the digest leaves a gap, so that nothing follows from it
     */
    public boolean digestReceived(int peer, CancellationDigest digest, long askedMicros, long receivedMicros) {
        // Counted back from the answer and with the shortest uptime that the peer's clock allows, its process was
        // started no later than this.
        long startedMicros = receivedMicros - Micros.shortestWithDrift(digest.uptimeMicros());
        if (!digest.complete()
                || !digest.controller().equals(peers.get(peer).label())
                || startedMicros > knownUpToMicros[peer]) {
            return false;
        }
        knownUpToMicros[peer] = Math.max(knownUpToMicros[peer], askedMicros);
        return true;
    }

    /**
     * Whether the leader may answer workers, and by that prolong what runs on them.
     *
     * @param nowMicros the time
     * @return false if cancellations of any peer may be unknown for too long
     */
    public boolean mayAnswerWorkers(long nowMicros) {
        if (!hasReadStore) {
            return false;
        }
        for (long knownMicros : knownUpToMicros) {
            if (nowMicros - knownMicros > maxAgeMicros) {
                return false;
            }
        }
        return true;
    }

    /**
     * The peers of whose cancellations not enough is known, for the log.
     *
     * @param nowMicros the time
     * @return their labels, in the order of the settings
     */
    public List<String> laggingPeers(long nowMicros) {
        return peers.stream()
                .filter(each -> nowMicros - knownUpToMicros[peers.indexOf(each)] > maxAgeMicros)
                .map(Settings.Peer::label)
                .toList();
    }
}
