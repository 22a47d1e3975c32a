package io.micatide.controller;

import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;

/**
 * What the classes of the leader's actor share. All of it lives as long as the process and is used on the actor's executor only.
 *
 * @param election who leads, and by which fencing token
 * @param lease the leader record and its lease in the store
 * @param workerConnectivity whether workers reach this controller
 * @param cancellations up to when this controller knows of all cancellations
 * @param standbyCoordinator which peers are to take over, and whether this controller is
 * @param peers the clients of the other controllers
 * @param rollout this controller's part in the rollout of features
 */
record LeaderCollaborators(
        LeaderElection election,
        LeaderLease lease,
        WorkerConnectivity workerConnectivity,
        CancellationExchange cancellations,
        StandbyCoordinator standbyCoordinator,
        PeerClients peers,
        RolloutParticipant rollout) {}
