package io.micatide.controller;

import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;

/**
 * The objects that the classes of the leader's actor share. They live as long as the process and are used on the actor's executor only.
 *
 * @param election knows which controller leads, and with which fencing token
 * @param lease sends the election's requests about the leader record and its lease to the store
 * @param workerConnectivity knows whether workers reach this controller
 * @param cancellations exchanges cancellations with peers, and knows up to which time this controller has all of them
 * @param standbyCoordinator selects the peers that are designated standbys, and knows whether this controller is one
 * @param peers the clients of the other controllers
 * @param rollout the part of this controller in the rollout of features
 */
record LeaderCollaborators(
        LeaderElection election,
        LeaderLease lease,
        WorkerConnectivity workerConnectivity,
        CancellationExchange cancellations,
        StandbyCoordinator standbyCoordinator,
        PeerClients peers,
        RolloutParticipant rollout) {}
