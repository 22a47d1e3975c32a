package io.micatide.model;

/** A leader's command to a worker about one attempt of a task. */
public sealed interface Command {
    /**
     * Returns the job of the task.
     *
     * @return identifier of the job
     */
    String job();

    /**
     * Returns the index of the task in its job.
     *
     * @return index, from 0
     */
    int taskIndex();

    /**
     * Returns the attempt of the task to which the command applies; it has no effect on other attempts.
     *
     * @return number of the attempt
     */
    long attempt();

    /**
     * Starts an attempt. The command has no effect on a known attempt, but starts it again after a {@link Reap}.
     *
     * @param job identifier of the job
     * @param taskIndex index of the task in its job
     * @param attempt number of the attempt
     */
    record Start(String job, int taskIndex, long attempt) implements Command {}

    /**
     * Stops an attempt. A running task with checkpoints saves one if the grace period is long enough; any other task exits at once.
     *
     * @param job identifier of the job
     * @param taskIndex index of the task in its job
     * @param attempt number of the attempt
     * @param graceMicros grace period for saving, in microseconds; 0 also stops a task that is saving
     */
    record Stop(String job, int taskIndex, long attempt, long graceMicros) implements Command {}

    /**
     * Makes the worker discard an exited attempt, so that its heartbeats no longer list it.
     *
     * @param job identifier of the job
     * @param taskIndex index of the task in its job
     * @param attempt number of the attempt
     */
    record Reap(String job, int taskIndex, long attempt) implements Command {}
}
