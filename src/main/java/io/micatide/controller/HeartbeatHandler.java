package io.micatide.controller;

import io.micatide.election.LeaderElection;
import io.micatide.election.WorkerConnectivity;
import io.micatide.model.Heartbeat;
import io.micatide.net.Request;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.WorkerCodec;

/**
 * Answers the heartbeats of workers: a leader with commands, any other controller with a redirection to the leader. An answer with commands
 * renews the worker's lease, so it is given only while the {@link CancellationExchange} allows it and before the leader's lease is
 * released. Part of the leader's actor.
 */
final class HeartbeatHandler {
    private static final byte[] CANCELLATIONS_UNKNOWN = Json.error(null, "cut off");

    private final LeaderActor owner;
    private final String label;
    private final LeaderElection election;
    private final WorkerConnectivity workerConnectivity;
    private final CancellationExchange cancellations;

    /** @param label the label of this controller */
    HeartbeatHandler(LeaderActor owner, String label, LeaderCollaborators collaborators) {
        this.owner = owner;
        this.label = label;
        this.election = collaborators.election();
        this.workerConnectivity = collaborators.workerConnectivity();
        this.cancellations = collaborators.cancellations();
    }

    /** Answers one heartbeat. */
    void answer(Request request) {
        Heartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.heartbeat(request.body());
        } catch (MalformedException e) {
            request.answer(400, Json.error(e.field(), e.getMessage()));
            return;
        }
        owner.observeFencingToken(heartbeat.fencingToken());
        LeadershipTransfer transfer = owner.transfer();
        if (transfer.isCompleted()) {
            request.answer(421, WorkerCodec.redirection(transfer.successor()));
        } else if (owner.term() == null) {
            redirect(heartbeat, request);
        } else {
            answerAsLeader(owner.term(), heartbeat, request);
        }
    }

    /** Redirects the worker to the leader, or names no leader if none is known that workers reach, so that the worker searches for one itself. */
    private void redirect(Heartbeat heartbeat, Request request) {
        String leader = election.leader();
        long now = owner.now();
        workerConnectivity.heartbeatRedirected(heartbeat, election.highestFencingToken(), now);
        boolean isLeaderUnknown = label.equals(leader) || workerConnectivity.isLeaderUnreachable(now);
        request.answer(421, WorkerCodec.redirection(isLeaderUnknown ? null : leader));
    }

    private void answerAsLeader(LeaderTerm term, Heartbeat heartbeat, Request request) {
        workerConnectivity.heartbeatReceived(owner.now());
        if (cancellations.mayAnswerWorkers(owner.now())) {
            request.answer(200, WorkerCodec.answer(term.fencingToken(), term.handleHeartbeat(heartbeat)));
        } else {
            request.answer(503, CANCELLATIONS_UNKNOWN);
        }
    }
}
