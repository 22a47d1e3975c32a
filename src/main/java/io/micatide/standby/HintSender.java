package io.micatide.standby;

import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A leader's side of the hints: each picture has a number, and an heir that holds the one before gets the difference, any other the
 * whole. Only the last difference is kept, so that who misses one costs a picture and no memory.
 */
public final class HintSender {
    /** A number of hints that a request to a sibling has room for. */
    static final int MAX_HINTS_PER_BATCH = 100;

    private final long fencingToken;
    private final long[] acknowledgedNumbers;
    private Map<String, Hint> snapshot = new HashMap<>();
    private List<Hint> changed = List.of();
    private List<String> removedKeys = List.of();
    private long number;

    public HintSender(long fencingToken, int siblings) {
        this.fencingToken = fencingToken;
        this.acknowledgedNumbers = new long[siblings];
        Arrays.fill(acknowledgedNumbers, -1);
    }

    /** A new picture, with the next number. */
    public void updateSnapshot(List<Hint> now) {
        Map<String, Hint> next = new HashMap<>(2 * now.size());
        List<Hint> differs = new ArrayList<>();
        for (Hint hint : now) {
            next.put(key(hint), hint);
            if (!hint.equals(snapshot.remove(key(hint)))) {
                differs.add(hint);
            }
        }
        removedKeys = List.copyOf(snapshot.keySet());
        changed = differs;
        snapshot = next;
        number++;
    }

    /** A job and a machine may have the same name. */
    static String key(Hint hint) {
        return (hint instanceof Hint.MachineHint ? "m/" : hint instanceof Hint.JobHint ? "j/" : "c/") + hint.name();
    }

    /** What an heir is to be told now; empty if it holds this picture already. */
    public List<HintBatch> batchesFor(int sibling) {
        if (acknowledgedNumbers[sibling] == number || number == 0) {
            return List.of();
        }
        boolean difference = acknowledgedNumbers[sibling] == number - 1 && acknowledgedNumbers[sibling] > 0;
        List<Hint> all = difference ? changed : List.copyOf(snapshot.values());
        List<String> away = difference ? removedKeys : List.of();
        List<HintBatch> result = new ArrayList<>();
        int parts = Math.max(1, (all.size() + MAX_HINTS_PER_BATCH - 1) / MAX_HINTS_PER_BATCH);
        for (int index = 0; index < parts; index++) {
            result.add(new HintBatch(
                    fencingToken,
                    number,
                    difference ? number - 1 : 0,
                    index,
                    parts,
                    all.subList(index * MAX_HINTS_PER_BATCH, Math.min(all.size(), (index + 1) * MAX_HINTS_PER_BATCH)),
                    index == 0 ? away : List.of()));
        }
        return result;
    }

    /** What a sibling says that it holds of this term's pictures; -1 without an answer. */
    public void snapshotAcknowledged(int sibling, long itsNumber) {
        acknowledgedNumbers[sibling] = itsNumber;
    }
}
