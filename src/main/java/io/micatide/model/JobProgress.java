package io.micatide.model;

/**
 * Counts of a job's tasks for display.
 *
 * @param id of the job
 * @param finishedTasks how many have finished, recorded or not
 * @param runningTasks how many were reported with their image fetched
 */
public record JobProgress(String id, int finishedTasks, int runningTasks) {}
