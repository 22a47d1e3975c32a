package io.micatide.controller;

/** What runs a controller's actors, one message at a time, and its clocks. Times in microseconds. */
public interface ActorExecutor {
    /** Runs it after what was given before. May be called from any thread. */
    void execute(Runnable what);

    void executeLater(Runnable what, long delayMicros);

    /** A steady clock; never 0. */
    long now();

    /** The time of day. */
    long wall();
}
