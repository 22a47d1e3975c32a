package io.micatide.standby;

import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The hints that a designated standby has received from the leader. A late or isolated batch does no harm: its hints were correct when they
 * were sent, and the acknowledged snapshot number determines what the leader sends next. Not thread-safe.
 */
public final class ReceivedHints {
    /** Held hints by {@link HintSender#key}. */
    private final Map<String, Hint> hints = new HashMap<>();
    /** Indices of the received batches of the snapshot {@link #newestSnapshot}. */
    private final BitSet receivedBatches = new BitSet();

    private long fencingToken;
    /** Number of the last snapshot that was received completely, 0 for none. */
    private long completeSnapshot;
    /** Number of the newest snapshot of which a batch was received, 0 for none. */
    private long newestSnapshot;

    /**
     * Applies a batch. A batch of an earlier term or of an older snapshot is ignored, and so is a difference to a snapshot that is not
     * held completely.
     *
     * @param batch the batch that the leader sent
     * @return number of the snapshot that is held completely; 0 for none, and for a batch of an earlier term
     */
    public long receive(HintBatch batch) {
        if (batch.fencingToken() < fencingToken) {
            return 0;
        }
        if (batch.fencingToken() > fencingToken) {
            startTerm(batch.fencingToken());
        }
        if ((batch.base() != 0 && batch.base() != completeSnapshot) || batch.number() < newestSnapshot) {
            return completeSnapshot;
        }
        if (batch.number() > newestSnapshot) {
            startSnapshot(batch);
        }
        batch.removedKeys().forEach(hints::remove);
        batch.hints().forEach(hint -> hints.put(HintSender.key(hint), hint));
        receivedBatches.set(batch.index());
        if (receivedBatches.cardinality() == batch.parts()) {
            completeSnapshot = batch.number();
        }
        return completeSnapshot;
    }

    /** Begins a term. Hints of the previous term stay until the first whole snapshot replaces them. */
    private void startTerm(long newToken) {
        fencingToken = newToken;
        completeSnapshot = 0;
        newestSnapshot = 0;
    }

    private void startSnapshot(HintBatch batch) {
        newestSnapshot = batch.number();
        receivedBatches.clear();
        if (batch.base() == 0) {
            hints.clear();
        }
    }

    /**
     * Returns all held hints, including those of a snapshot that is not complete.
     *
     * @return a copy of the hints, in no particular order
     */
    public List<Hint> all() {
        return List.copyOf(hints.values());
    }

    /**
     * Returns the number of held hints.
     *
     * @return the number, 0 or more
     */
    public int size() {
        return hints.size();
    }

    /** Removes all hints, for a controller that is no longer a designated standby. */
    public void clear() {
        hints.clear();
        receivedBatches.clear();
        fencingToken = 0;
        completeSnapshot = 0;
        newestSnapshot = 0;
    }
}
