/**
 * The view of the jobs that every controller holds: the cache of job records with its dependency graph, the admission of submitted
 * jobs, and the log of cancellations. Performs no I/O; used by the users' actor only. Depends on {@code model} and {@code store}.
 */
package io.micatide.jobs;
