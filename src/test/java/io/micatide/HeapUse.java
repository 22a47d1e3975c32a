package io.micatide;

/** Measures the heap that live objects take. */
public final class HeapUse {
    private static final int COLLECTIONS = 4;

    private HeapUse() {}

    /** Returns the bytes of the heap that are in use after several collections. */
    public static long liveBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
