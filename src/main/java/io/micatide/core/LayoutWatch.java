package io.micatide.core;

import java.util.BitSet;

/**
 * Which siblings a leader has heard in its term to read the present layout. Who cannot be heard may be of a former version,
 * and who was heard in an earlier term may have been started anew with one.
 */
public final class LayoutWatch {
    private final int siblings;
    private final BitSet present = new BitSet();
    private boolean asked;

    public LayoutWatch(int siblings) {
        this.siblings = siblings;
    }

    /** A new term. */
    public void begin() {
        present.clear();
        asked = false;
    }

    public void heard(int sibling, int layout) {
        if (layout >= Settings.LAYOUT) {
            present.set(sibling);
        }
    }

    /** Whether the mark is to be written now; true once, and again after each {@link #failed}. */
    public boolean mark() {
        boolean now = !asked && present.cardinality() == siblings;
        asked |= now;
        return now;
    }

    /** The mark was not written and is not there. */
    public void failed() {
        asked = false;
    }
}
