package io.micatide.model;

/** Counts of a job's tasks for display. */
public record JobProgress(String id, int finishedTasks, int runningTasks) {}
