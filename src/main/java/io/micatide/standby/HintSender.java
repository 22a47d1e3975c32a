package io.micatide.standby;

import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends a leader's hints to its designated standbys as numbered snapshots. A standby that holds the previous snapshot receives the
 * difference, any other the whole snapshot. Only the latest difference is kept: a standby that misses one costs a whole snapshot to send,
 * but no memory.
 *
 * <p>An instance belongs to one term. Not thread-safe.
 */
public final class HintSender {
    /** Number of hints that fit into a request to a peer. */
    static final int MAX_HINTS_PER_BATCH = 100;

    /** Acknowledged number of a peer whose snapshot is not known. */
    private static final int UNKNOWN_SNAPSHOT = -1;

    private final long fencingToken;
    /** By peer, the number of the snapshot that it holds, or {@link #UNKNOWN_SNAPSHOT}. */
    private final long[] acknowledgedSnapshots;

    /** Current hints by {@link #key}. */
    private Map<String, Hint> snapshot = new HashMap<>();

    private List<Hint> changedHints = List.of();
    private List<String> removedKeys = List.of();
    private long snapshotNumber;

    /**
     * Creates the sender of a term.
     *
     * @param fencingToken fencing token of the leader
     * @param peerCount number of other controllers in the deployment
     */
    public HintSender(long fencingToken, int peerCount) {
        this.fencingToken = fencingToken;
        this.acknowledgedSnapshots = new long[peerCount];
        Arrays.fill(acknowledgedSnapshots, UNKNOWN_SNAPSHOT);
    }

    /**
     * Replaces the snapshot by one with the next number.
     *
     * @param hints all current hints
     */
    public void updateSnapshot(List<Hint> hints) {
        Map<String, Hint> next = new HashMap<>(2 * hints.size());
        List<Hint> differing = new ArrayList<>();
        for (Hint hint : hints) {
            next.put(key(hint), hint);
            if (!hint.equals(snapshot.remove(key(hint)))) {
                differing.add(hint);
            }
        }
        removedKeys = List.copyOf(snapshot.keySet());
        changedHints = differing;
        snapshot = next;
        snapshotNumber++;
    }

    /** Returns the key of a hint, made of kind and name, since a job and a machine may have the same name. */
    static String key(Hint hint) {
        if (hint instanceof Hint.MachineHint) {
            return "m/" + hint.name();
        }
        return (hint instanceof Hint.JobHint ? "j/" : "c/") + hint.name();
    }

    /**
     * Returns the batches that update a standby to the current snapshot.
     *
     * @param peerIndex the standby's index in {@code Settings.peers()}
     * @return the batches, empty if there is no snapshot yet or the standby holds the current one
     */
    public List<HintBatch> batchesFor(int peerIndex) {
        long acknowledged = acknowledgedSnapshots[peerIndex];
        if (acknowledged == snapshotNumber || snapshotNumber == 0) {
            return List.of();
        }
        boolean isDifference = acknowledged == snapshotNumber - 1 && acknowledged > 0;
        List<Hint> hints = isDifference ? changedHints : List.copyOf(snapshot.values());
        List<String> removed = isDifference ? removedKeys : List.of();
        int batchCount = Math.max(1, (hints.size() + MAX_HINTS_PER_BATCH - 1) / MAX_HINTS_PER_BATCH);
        List<HintBatch> batches = new ArrayList<>();
        for (int index = 0; index < batchCount; index++) {
            int from = index * MAX_HINTS_PER_BATCH;
            batches.add(new HintBatch(
                    fencingToken,
                    snapshotNumber,
                    isDifference ? snapshotNumber - 1 : 0,
                    index,
                    batchCount,
                    hints.subList(from, Math.min(hints.size(), from + MAX_HINTS_PER_BATCH)),
                    index == 0 ? removed : List.of()));
        }
        return batches;
    }

    /**
     * Records which of this term's snapshots a standby holds.
     *
     * @param peerIndex the standby's index in {@code Settings.peers()}
     * @param heldSnapshot number of the snapshot, 0 for none, -1 if the standby did not answer
     */
    public void snapshotAcknowledged(int peerIndex, long heldSnapshot) {
        acknowledgedSnapshots[peerIndex] = heldSnapshot;
    }
}
