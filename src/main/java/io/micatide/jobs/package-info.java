/**
 * What every controller knows of jobs: the cache of job records with its dependency graph, admission of submissions, and the log of
 * cancellations. Without input or output; owned by the users' actor. Depends on {@code model} and {@code store}.
 */
package io.micatide.jobs;
