package io.micatide.standby;

import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The hints that a designated standby has received from the leader. A batch that comes late or alone does no harm: what it says was true
 * of some moment, and the number that is acknowledged tells the leader what to send next. One thread at a time.
 */
public final class ReceivedHints {
    private final Map<String, Hint> hints = new HashMap<>();
    /** Indices of the batches of the snapshot {@link #partialNumber} that have come. */
    private final BitSet receivedParts = new BitSet();

    private long fencingToken;
    /** The snapshot that is held completely, 0 for none. */
    private long completeNumber;
    /** The newest snapshot of which a batch has come. */
    private long partialNumber;

    /**
     * Takes in a batch, unless it is of an earlier term or does not follow on what is held.
     *
     * @param batch as the leader sent it
     * @return number of the snapshot that is held completely, 0 for none
     */
    public long receive(HintBatch batch) {
        if (batch.fencingToken() < fencingToken) {
            return 0;
        }
        if (batch.fencingToken() > fencingToken) {
            startTerm(batch.fencingToken());
        }
        if ((batch.base() != 0 && batch.base() != completeNumber) || batch.number() < partialNumber) {
            return completeNumber;
        }
        if (batch.number() > partialNumber) {
            startSnapshot(batch);
        }
        batch.removedKeys().forEach(hints::remove);
        batch.hints().forEach(hint -> hints.put(HintSender.key(hint), hint));
        receivedParts.set(batch.index());
        if (receivedParts.cardinality() == batch.parts()) {
            completeNumber = batch.number();
        }
        return completeNumber;
    }

    /** Hints of the term before stay until the first whole snapshot replaces them. */
    private void startTerm(long newToken) {
        fencingToken = newToken;
        completeNumber = 0;
        partialNumber = 0;
    }

    private void startSnapshot(HintBatch batch) {
        partialNumber = batch.number();
        receivedParts.clear();
        if (batch.base() == 0) {
            hints.clear();
        }
    }

    /**
     * All hints that are held, also those of a snapshot that is not complete.
     *
     * @return a copy, in no particular order
     */
    public List<Hint> all() {
        return List.copyOf(hints.values());
    }

    /**
     * The number of hints that are held.
     *
     * @return 0 or more
     */
    public int size() {
        return hints.size();
    }

    /** Forgets everything: this controller is no designated standby any more. */
    public void clear() {
        hints.clear();
        receivedParts.clear();
        fencingToken = 0;
        completeNumber = 0;
        partialNumber = 0;
    }
}
