package io.micatide.controller;

/** Runs the actors of a controller, one message at a time, and provides the controller's clocks. Times are in microseconds. */
public interface ActorExecutor {
    /**
     * Runs a task after the tasks that were given before. May be called from any thread.
     *
     * @param task the task to run, once
     */
    void execute(Runnable task);

    /**
     * Runs a task after a delay.
     *
     * @param task the task to run, once
     * @param delayMicros the minimum delay
     */
    void executeLater(Runnable task, long delayMicros);

    /**
     * Returns the time on the steady clock, which serves for delays and timeouts.
     *
     * @return microseconds since an arbitrary origin; never 0
     */
    long now();

    /**
     * Returns the time of day, which serves for times that are stored or sent to other processes.
     *
     * @return microseconds since 1970
     */
    long wallClockMicros();
}
