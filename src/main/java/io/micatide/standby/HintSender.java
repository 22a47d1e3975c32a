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

    private static final int NONE = -1;

    private final long fencingToken;
    /** The snapshot that each sibling holds, {@link #NONE} if that is not known. */
    private final long[] acknowledgedNumbers;

    private Map<String, Hint> snapshot = new HashMap<>();
    private List<Hint> changed = List.of();
    private List<String> removedKeys = List.of();
    private long number;

    /**
     * Makes a term's sender.
     *
     * @param fencingToken the leader's
     * @param siblings how many other controllers the deployment has
     */
    public HintSender(long fencingToken, int siblings) {
        this.fencingToken = fencingToken;
        this.acknowledgedNumbers = new long[siblings];
        Arrays.fill(acknowledgedNumbers, NONE);
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
        changed = differing;
        snapshot = next;
        number++;
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
     * @param sibling the standby's index among the siblings
     * @return empty if it holds this snapshot already
     */
    public List<HintBatch> batchesFor(int sibling) {
        long acknowledged = acknowledgedNumbers[sibling];
        if (acknowledged == number || number == 0) {
            return List.of();
        }
        boolean isDifference = acknowledged == number - 1 && acknowledged > 0;
        List<Hint> hints = isDifference ? changed : List.copyOf(snapshot.values());
        List<String> removed = isDifference ? removedKeys : List.of();
        int parts = Math.max(1, (hints.size() + MAX_HINTS_PER_BATCH - 1) / MAX_HINTS_PER_BATCH);
        List<HintBatch> batches = new ArrayList<>();
        for (int index = 0; index < parts; index++) {
            int from = index * MAX_HINTS_PER_BATCH;
            batches.add(new HintBatch(
                    fencingToken,
                    number,
                    isDifference ? number - 1 : 0,
                    index,
                    parts,
                    hints.subList(from, Math.min(hints.size(), from + MAX_HINTS_PER_BATCH)),
                    index == 0 ? removed : List.of()));
        }
        return batches;
    }

    /**
     * Records which of this term's snapshots a standby holds.
     *
     * @param sibling the standby's index among the siblings
     * @param heldNumber number of the snapshot, 0 for none, -1 without an answer
     */
    public void snapshotAcknowledged(int sibling, long heldNumber) {
        acknowledgedNumbers[sibling] = heldNumber;
    }
}
