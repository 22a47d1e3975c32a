package io.micatide;

/** Measures the heap that live objects take. */
public final class HeapUse {
    private static final int MAX_COLLECTIONS = 20;
    private static final int MIN_COLLECTIONS = 4;
    /** Two collections after which less than this was freed have left live objects only. */
    private static final long SETTLED_BYTES = 4_096;

    private HeapUse() {}

    /** Returns the bytes of the heap that are in use once further collections free nothing more. */
    public static long liveBytes() {
        long before = Long.MAX_VALUE;
        long used = usedAfterCollection();
        for (int i = 1; i < MAX_COLLECTIONS && (i < MIN_COLLECTIONS || before - used > SETTLED_BYTES); i++) {
            before = used;
            used = usedAfterCollection();
        }
        return used;
    }

    private static long usedAfterCollection() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
