package io.micatide.standby;

import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends a leader's hints to its designated standbys as numbered snapshots: a standby that holds the snapshot before gets the difference,
 * any other the whole. Only the last difference is kept, so that a standby that misses one costs a whole snapshot and no memory. Belongs
 * to one term; one thread at a time.
 */
public final class HintSender {
    /** The number of hints that a request to a sibling has room for. */
    static final int MAX_HINTS_PER_BATCH = 100;

    private static final int UNKNOWN_SNAPSHOT = -1;

    private final long fencingToken;
    /** The snapshot that each sibling holds, {@link #UNKNOWN_SNAPSHOT} if that is not known. */
    private final long[] acknowledgedSnapshots;

    private Map<String, Hint> snapshot = new HashMap<>();
    private List<Hint> changedHints = List.of();
    private List<String> removedKeys = List.of();
    private long snapshotNumber;

    /**
     * Makes a term's sender.
     *
     * @param fencingToken the leader's
     * @param peerCount how many other controllers the deployment has
     */
    public HintSender(long fencingToken, int peerCount) {
        this.fencingToken = fencingToken;
        this.acknowledgedSnapshots = new long[peerCount];
        Arrays.fill(acknowledgedSnapshots, UNKNOWN_SNAPSHOT);
    }

    /**
     * Replaces the snapshot by one with the next number.
     *
     * @param hints all hints of now
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

    /** A key by kind and name: a job and a machine may have the same name. */
    static String key(Hint hint) {
        if (hint instanceof Hint.MachineHint) {
            return "m/" + hint.name();
        }
        return (hint instanceof Hint.JobHint ? "j/" : "c/") + hint.name();
    }

    /**
     * The batches that bring a standby to the present snapshot.
     *
     * @param peerIndex the standby's index among the siblings
     * @return empty if it holds this snapshot already
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
     * @param peerIndex the standby's index among the siblings
     * @param heldSnapshot number of the snapshot, 0 for none, -1 without an answer
     */
    public void snapshotAcknowledged(int peerIndex, long heldSnapshot) {
        acknowledgedSnapshots[peerIndex] = heldSnapshot;
    }
}
