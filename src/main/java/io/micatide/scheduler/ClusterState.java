package io.micatide.scheduler;

import io.micatide.model.Settings;

/**
 * What a leader knows of the cluster in its term. The parts are the owners of their state; this only hands them to those who work on several.
 *
 * @param settings of the deployment
 * @param fencingToken of the leader's term
 * @param fleet machines and machine types
 * @param ledgers open jobs and what is stored of their progress
 * @param placements which attempt is on which machine, and what teams use
 */
record ClusterState(Settings settings, long fencingToken, Fleet fleet, JobLedgers ledgers, PlacementTable placements) {}
