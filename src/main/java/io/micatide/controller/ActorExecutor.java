package io.micatide.controller;

/** Runs the actors of a controller, one message at a time, and has its clocks. Times are in microseconds. */
public interface ActorExecutor {
    /**
     * Runs a task after those that were given before. May be called from any thread.
     *
     * @param task to run once
     */
    void execute(Runnable task);

    /**
     * Runs a task after a delay.
     *
     * @param task to run once
     * @param delayMicros how long to wait at least
     */
    void executeLater(Runnable task, long delayMicros);

    /**
     * The steady clock, for delays and timeouts.
     *
     * @return microseconds since some time; never 0
     */
    long now();

    /**
     * The time of day, for what other controllers have to understand.
     *
     * @return microseconds since 1970
     */
    long wallClockMicros();
}
