package io.micatide.scheduler;

import io.micatide.model.Settings;

/**
 * The cluster state of one term, bundled for components that need several of its parts. Each part owns its state.
 *
 * @param settings settings of the deployment
 * @param fencingToken fencing token of the leader's term
 * @param fleet machines and machine types
 * @param ledgers open jobs and their stored progress
 * @param placements attempts on machines, and the resource usage of teams
 */
record ClusterState(Settings settings, long fencingToken, Fleet fleet, JobLedgers ledgers, PlacementTable placements) {}
