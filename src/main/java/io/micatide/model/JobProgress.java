package io.micatide.model;

/**
 * Counts of a job's tasks for display.
 *
 * @param id of the job
 * @param finishedTasks number of finished tasks, including those not yet recorded in the store
 * @param runningTasks number of live tasks whose image is fetched, according to heartbeats
 */
public record JobProgress(String id, int finishedTasks, int runningTasks) {}
