package io.micatide.model;

/**
 * What a heartbeat says of one task.
 *
 * @param job id of its job
 * @param taskIndex of the task in its job, from 0
 * @param attempt number of the start that it belongs to
 * @param state of the task
 * @param cause why it exited, null unless it did
 * @param saved whether it saved a checkpoint before it exited
 */
public record TaskStatus(String job, int taskIndex, long attempt, TaskState state, ExitCause cause, boolean saved) {}
