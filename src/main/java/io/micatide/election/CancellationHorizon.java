package io.micatide.election;

import io.micatide.model.CancellationDigest;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Tracks the time up to which the leader knows all confirmed cancellations, and decides from it whether the leader may answer workers.
 *
 * <p>An answer to a heartbeat renews the worker's lease and so extends every task on the machine, including tasks of jobs whose
 * cancellation this controller does not know. Those tasks must have ended {@code workers.cancel_s} after the cancellation was confirmed to
 * the user. Invariant of every answer: <em>the leader knows each cancellation that any controller confirmed earlier than
 * {@code cancel_s}, less the worker lease with clock drift and a margin, before the answer.</em> The answer then stops the tasks of the
 * known cancellations, and the tasks of unknown ones end in time with the lease.
 *
 * <p>A cancellation can be confirmed by the process of any peer, or by an earlier process of this controller. For each peer this class
 * keeps the time up to which all cancellations that the peer confirmed are known. A read of the store shows all cancellations as of the
 * time at which the read was sent. During a store outage, a {@link CancellationDigest} of the peer extends this to the time at which the
 * digest was requested, provided that it leaves no gap: the digest has to be complete, and its process must already have been running at
 * the time up to which all cancellations are known. A process that was started later does not know what the peer's previous process
 * confirmed to users; that gap remains until the next read of the store.
 *
 * <p>An outage that all controllers observe <em>now</em> is no proof that none of them confirmed a cancellation: a peer that the store
 * answered for half a second after this controller's last read may have confirmed cancellations, and reports the same outage afterwards.
 * When this was not considered, tasks of cancelled jobs ran on for a whole outage.
 *
 * <p>Times are microseconds on the process's steady clock. Not thread-safe: used by the leader's actor only.
 */
public final class CancellationHorizon {
    /** Covers clock differences and the time between the expiry of a worker's lease and the end of its tasks. */
    private static final long MARGIN_MICROS = Micros.SECOND;
    /** Upper bound on the age of the last read while the store answers; settings that allow less cannot be satisfied. */
    private static final long MIN_AGE_LIMIT_MICROS = 4 * Micros.SECOND;
    /** Earlier than any relevant time, yet differences to it do not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final List<Settings.Peer> peers;
    private final long maxAgeMicros;
    /** For each peer, the time up to which all cancellations that it confirmed are known. */
    private final long[] knownUpToMicros;

    private boolean hasReadStore;

    /**
     * Creates a horizon without any known cancellations: no worker may be answered before the first read of the store.
     *
     * @param settings the peers, the workers' lease and the limit for cancellations are used
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
     * Checks whether a controller can satisfy the cancellation limit of the given settings.
     *
     * @param settings the settings to check
     * @return a warning for the operator, empty if the limit can be satisfied
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
     * Records that the store was read and that all cancellations in it are known.
     *
     * @param requestSentMicros time at which the read was sent
     */
    public void storeRead(long requestSentMicros) {
        // This process sent the read, so the read shows every cancellation that an earlier process of this controller
        // confirmed.
        hasReadStore = true;
        for (int i = 0; i < knownUpToMicros.length; i++) {
            knownUpToMicros[i] = Math.max(knownUpToMicros[i], requestSentMicros);
        }
    }

    /**
     * Records that a peer sent its digest and that all jobs in it are known here as cancelled.
     *
     * @param peerIndex the peer's index in {@link Settings#peers()}
     * @param digest the digest of the peer
     * @param requestSentMicros time at which the digest was requested; cancellations that the peer confirmed later may be missing
     * @param receivedMicros time at which the digest was received
     * @return false if the digest leaves a gap and was therefore ignored
     */
    public boolean digestReceived(
            int peerIndex, CancellationDigest digest, long requestSentMicros, long receivedMicros) {
        // Latest possible start of the peer's process: the shortest uptime that clock drift allows, before the answer.
        long latestStartMicros = receivedMicros - Micros.shortestWithDrift(digest.uptimeMicros());
        if (!digest.complete()
                || !digest.controller().equals(peers.get(peerIndex).label())
                || latestStartMicros > knownUpToMicros[peerIndex]) {
            return false;
        }
        knownUpToMicros[peerIndex] = Math.max(knownUpToMicros[peerIndex], requestSentMicros);
        return true;
    }

    /**
     * Returns whether the leader may answer workers and so extend the tasks that run on them.
     *
     * @param nowMicros current time
     * @return false before the first read of the store, and if cancellations of any peer may have been unknown for too long
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
     * Returns the peers whose cancellations may have been unknown for too long, for the log.
     *
     * @param nowMicros current time
     * @return labels of the peers, in the order of the settings
     */
    public List<String> laggingPeers(long nowMicros) {
        return peers.stream()
                .filter(peer -> nowMicros - knownUpToMicros[peers.indexOf(peer)] > maxAgeMicros)
                .map(Settings.Peer::label)
                .toList();
    }
}
