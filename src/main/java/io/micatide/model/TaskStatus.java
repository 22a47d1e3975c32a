package io.micatide.model;

/** A line of a worker's report; {@code cause} is null unless the task exited. */
public record TaskStatus(String job, int taskIndex, long attempt, TaskState state, ExitCause cause, boolean saved) {}
