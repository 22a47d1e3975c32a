package io.micatide.model;

/** A leader's command to a worker about one attempt of a task. */
public sealed interface Command {
    /**
     * The job of the task.
     *
     * @return its identifier
     */
    String job();

    /**
     * The place of the task in its job.
     *
     * @return from 0
     */
    int taskIndex();

    /**
     * The attempt at the task that is meant; commands for another one have no effect.
     *
     * @return the number of the attempt
     */
    long attempt();

    /**
     * Starts an attempt. Repeated it has no effect, unless the worker was told to forget the attempt since.
     *
     * @param job the identifier of the job
     * @param taskIndex the place of the task in its job
     * @param attempt the number of the attempt
     */
    record Start(String job, int taskIndex, long attempt) implements Command {}

    /**
     * Stops an attempt. A running task with checkpoints saves if it is given enough time for that; every other task exits at once.
     *
     * @param job the identifier of the job
     * @param taskIndex the place of the task in its job
     * @param attempt the number of the attempt
     * @param graceMicros how long the task may take to save, in microseconds; 0 also ends a task that is saving
     */
    record Stop(String job, int taskIndex, long attempt, long graceMicros) implements Command {}

    /**
     * Lets the worker forget an attempt that has ended, so that its heartbeats no longer name it.
     *
     * @param job the identifier of the job
     * @param taskIndex the place of the task in its job
     * @param attempt the number of the attempt
     */
    record Reap(String job, int taskIndex, long attempt) implements Command {}
}
