package io.micatide.client;

/** Time as a client sees it. Whole microseconds. */
public interface Ticker {
    /** A steady clock. */
    long now();

    /** Runs something after so long, on any thread; returns what takes it back if it has not begun. */
    Runnable after(long delayMicros, Runnable what);
}
