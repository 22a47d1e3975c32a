package io.micatide.controller;

import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.CloudClient;
import io.micatide.net.Http;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.ApiDescription;
import io.micatide.protocol.Json;
import io.micatide.protocol.StoreCodec;
import io.micatide.scheduler.FailoverTimings;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The actors of one controller on one executor, independent of the transport of their requests. All methods must be called on the
 * executor.
 */
public final class Controller {
    private static final byte[] NO_SUCH_PATH = Json.error(null, "no such path");
    private static final byte[] WRONG_METHOD = Json.error(null, "method not allowed");

    private final UsersActor users;
    private final LeaderActor leader;

    /**
     * Creates a controller with the standard components.
     *
     * @param settings of this controller
     * @param tuning of this controller
     * @param executor runs all actors of this controller, one message at a time
     * @param connector opens connections to the store, the cloud provider, peers and workers
     */
    public Controller(Settings settings, Tuning tuning, ActorExecutor executor, Http.Connector connector) {
        this(settings, tuning, executor, connector, ControllerComponents.standard());
    }

    /**
     * Creates a controller with the given components.
     *
     * @param settings of this controller
     * @param tuning of this controller
     * @param executor runs all actors of this controller, one message at a time
     * @param connector opens connections to the store, the cloud provider, peers and workers
     * @param components the replaceable parts
     */
    public Controller(
            Settings settings,
            Tuning tuning,
            ActorExecutor executor,
            Http.Connector connector,
            ControllerComponents components) {
        StoreClient store = new StoreClient(settings, connector, executor::now);
        CloudClient cloud = new CloudClient(settings, connector, executor::now);
        this.users = new UsersActor(
                executor,
                settings,
                store,
                cloud,
                tuning.apiDescriptionServed() ? new ApiDescription() : null,
                components.jobMemoryBytes());
        this.leader = new LeaderActor(
                new ControllerServices(settings, tuning, executor, store, cloud, connector), users, components);
    }

    /**
     * Returns the times at which this controller's term reached the stages of its failover; for simulations.
     *
     * @return the times, null if this controller does not lead
     */
    public FailoverTimings failoverTimings() {
        return leader.failoverTimings();
    }

    /**
     * Returns whether the leader has designated this controller as a standby; for simulations.
     *
     * @return whether the last status of a leader designated this controller
     */
    public boolean isDesignatedStandby() {
        return leader.isDesignatedStandby();
    }

    /**
     * Sets an observer of the records that the standby's replicas provide to a failover to this controller; for simulations. Standbys must be
     * switched on.
     *
     * @param observer called with the prefix and the records of each replica that is used
     */
    public void observeReplicaRecords(BiConsumer<String, List<StoreCodec.Item>> observer) {
        leader.observeReplicaRecords(observer);
    }

    /** Starts reading the store and taking part in the election. */
    public void start() {
        users.tell(new UsersActor.AttachLeaderActor(leader));
        users.tell(new UsersActor.LoadJobs());
        leader.tell(new LeaderMessage.LeaseTickDue());
        leader.tell(new LeaderMessage.TickDue());
    }

    /**
     * Handles a request of a user, of the load balancer or of a worker.
     *
     * @param request the request, answered during this call or later
     */
    public void handleRequest(Request request) {
        if (request.path().equals("/v1/report")) {
            if (request.method().equals("POST")) {
                leader.tell(new LeaderMessage.HeartbeatReceived(request));
            } else {
                request.answer(405, WRONG_METHOD);
            }
        } else {
            users.tell(new UsersActor.RequestReceived(request));
        }
    }

    /**
     * Shuts down gracefully and hands leadership over if this controller leads.
     *
     * @param onCompleted run on the executor once peers can continue without this controller
     */
    public void shutDown(Runnable onCompleted) {
        leader.tell(new LeaderMessage.ShutdownRequested(onCompleted));
    }

    /**
     * Handles a request of a peer.
     *
     * @param request the request, answered during this call or later
     */
    public void handlePeerRequest(Request request) {
        if (request.path().equals("/news") && request.method().equals("POST")) {
            leader.tell(new LeaderMessage.PeerStatusReceived(request));
        } else if (request.path().equals("/withdrawn") && request.method().equals("POST")) {
            leader.tell(new LeaderMessage.PeerCancellationsReceived(request));
        } else if (request.path().equals("/hints") && request.method().equals("POST")) {
            leader.tell(new StandbyMessage.HintsReceived(request));
        } else if (request.path().equals("/standby")) {
            leader.tell(new LeaderMessage.ReadinessRequested(request));
        } else if (request.path().equals("/handover") && request.method().equals("POST")) {
            leader.tell(new StandbyMessage.HandoverRequested(request));
        } else {
            request.answer(404, NO_SUCH_PATH);
        }
    }
}
