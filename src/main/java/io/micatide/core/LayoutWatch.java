package io.micatide.core;

import java.util.Arrays;

/**
 * Which layout each sibling was heard to read in the leader's term. Who cannot be heard may be of a former version, and who was heard
 * in an earlier term may have been started anew with one.
 */
public final class LayoutWatch {
    private final int[] heard;
    private int asked;

    public LayoutWatch(int siblings) {
        this.heard = new int[siblings];
    }

    /** A new term. */
    public void begin() {
        Arrays.fill(heard, 0);
        asked = 0;
    }

    public void heard(int sibling, int layout) {
        heard[sibling] = layout;
    }

    /** Whether all controllers, this one too, read {@code layout}; an older version may be about otherwise. */
    public boolean allRead(int layout) {
        return Arrays.stream(heard).allMatch(each -> each >= layout) && layout <= Settings.LAYOUT;
    }

    /** Whether the mark of {@code layout} is to be written now; true once, and again after each {@link #failed}. */
    public boolean mark(int layout) {
        boolean now = asked < layout && allRead(layout);
        asked = now ? layout : asked;
        return now;
    }

    /** The mark was not written and is not there. */
    public void failed(int layout) {
        asked = Math.min(asked, layout - 1);
    }
}
