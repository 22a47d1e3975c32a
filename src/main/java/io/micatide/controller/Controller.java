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

/** The actors of one controller on one loop, whatever carries their requests. */
public final class Controller {
    private static final byte[] NO_SUCH_PATH = Json.error(null, "no such path");
    private static final byte[] WRONG_METHOD = Json.error(null, "method not allowed");

    private final UsersActor users;
    private final LeaderActor leader;

    /** A controller with the standard components. */
    public Controller(Settings settings, Tuning tuning, ActorExecutor executor, Http.Connector connector) {
        this(settings, tuning, executor, connector, ControllerComponents.standard());
    }

    /**
     * A controller with components of the caller's choice.
     *
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
                executor, settings, store, cloud, tuning.apiDescriptionServed() ? new ApiDescription() : null);
        this.leader = new LeaderActor(
                new ControllerServices(settings, tuning, executor, store, cloud, connector), users, components);
    }

    /** How this controller's term began, null if it does not lead. For rehearsals; on the loop. */
    public FailoverTimings failoverTimings() {
        return leader.failoverTimings();
    }

    /** Whether it is appointed to take over. For rehearsals; on the loop. */
    public boolean isDesignatedStandby() {
        return leader.isDesignatedStandby();
    }

    /** Sees what a standby's copies bring to each take-over on this controller. */
    public void observeReplicaRecords(BiConsumer<String, List<StoreCodec.Item>> each) {
        leader.observeReplicaRecords(each);
    }

    /** Must be called on the loop. */
    public void start() {
        users.tell(new UsersActor.AttachLeaderActor(leader));
        users.tell(new UsersActor.LoadJobs());
        leader.tell(new LeaderMessage.LeaseTickDue());
        leader.tell(new LeaderMessage.TickDue());
    }

    /** A request of a user, of the load balancer or of a worker. */
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

    /** Ends in order: hands the lead over if it has it; {@code done} on the loop once others can go on. */
    public void shutDown(Runnable done) {
        leader.tell(new LeaderMessage.ShutdownRequested(done));
    }

    /** A request of a sibling. */
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
