package io.micatide.standby;

import io.micatide.model.Hint;
import io.micatide.model.HintBatch;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An heir's side of the hints. A part that comes late or alone does no harm: what it says was true of some moment, and the number
 * that is answered tells the leader what to send next.
 */
public final class ReceivedHints {
    private final Map<String, Hint> hints = new HashMap<>();
    private final BitSet receivedParts = new BitSet();
    private long fencingToken;
    private long completeNumber;
    private long partialNumber;

    /** @return number of the picture that is held whole, 0 for none */
    public long receive(HintBatch part) {
        if (part.fencingToken() < fencingToken) {
            return 0;
        }
        if (part.fencingToken() > fencingToken) {
            fencingToken = part.fencingToken();
            completeNumber = 0;
            partialNumber = 0;
        }
        if ((part.base() != 0 && part.base() != completeNumber) || part.number() < partialNumber) {
            return completeNumber;
        }
        if (part.number() > partialNumber) {
            partialNumber = part.number();
            receivedParts.clear();
            if (part.base() == 0) {
                hints.clear();
            }
        }
        part.gone().forEach(hints::remove);
        part.hints().forEach(hint -> hints.put(HintSender.key(hint), hint));
        receivedParts.set(part.index());
        if (receivedParts.cardinality() == part.parts()) {
            completeNumber = part.number();
        }
        return completeNumber;
    }

    public List<Hint> all() {
        return List.copyOf(hints.values());
    }

    public int size() {
        return hints.size();
    }

    /** Followed no more. */
    public void clear() {
        hints.clear();
        receivedParts.clear();
        fencingToken = 0;
        completeNumber = 0;
        partialNumber = 0;
    }
}
