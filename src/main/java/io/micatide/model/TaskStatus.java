package io.micatide.model;

/**
 * Status of one attempt of a task in a heartbeat.
 *
 * @param job id of the job
 * @param taskIndex index of the task in its job, from 0
 * @param attempt number of the attempt
 * @param state of the attempt
 * @param cause cause of the exit, null unless the attempt has exited
 * @param saved whether the task saved a checkpoint before it exited
 */
public record TaskStatus(String job, int taskIndex, long attempt, TaskState state, ExitCause cause, boolean saved) {}
