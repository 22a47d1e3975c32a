package io.micatide.controller;

import io.micatide.archive.Archiver;
import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.CloudClient;
import io.micatide.net.Http;
import io.micatide.net.Request;
import io.micatide.net.StoreClient;
import io.micatide.protocol.ApiDescription;
import io.micatide.protocol.Json;
import io.micatide.protocol.StoreCodec;
import io.micatide.rollout.Capabilities;
import io.micatide.scheduler.FailoverTimings;
import io.micatide.standby.KeyspaceReplica;
import java.util.List;
import java.util.function.BiConsumer;

/** The actors of one controller on one loop, whatever carries their requests. */
public final class Controller {
    private static final byte[] NO_SUCH_PATH = Json.error(null, "no such path");
    private static final byte[] WRONG_METHOD = Json.error(null, "method not allowed");

    private final UsersActor users;
    private final LeaderActor leader;

    public Controller(Settings settings, Tuning tuning, ActorExecutor loop, Http.Connector connector) {
        this(settings, tuning, loop, connector, Archiver::new);
    }

    /** With another archivist, as a rehearsal plants it. */
    public Controller(
            Settings settings, Tuning tuning, ActorExecutor loop, Http.Connector connector, Archiver.Maker maker) {
        this(settings, tuning, loop, connector, maker, KeyspaceReplica::new, Capabilities.ALL);
    }

    /** With another copy for the standby too, and with what a version can do. */
    public Controller(
            Settings settings,
            Tuning tuning,
            ActorExecutor loop,
            Http.Connector connector,
            Archiver.Maker maker,
            KeyspaceReplica.Maker copies,
            Capabilities abilities) {
        StoreClient state = new StoreClient(settings, connector, loop::now);
        CloudClient cloud = new CloudClient(settings, connector, loop::now);
        this.users = new UsersActor(
                loop, settings, state, cloud, tuning.apiDescriptionServed() ? new ApiDescription() : null);
        this.leader = new LeaderActor(loop, settings, tuning, state, cloud, users, connector, maker, copies, abilities);
    }

    /** How this controller's term began, null if it does not lead. For rehearsals; on the loop. */
    public FailoverTimings takeOver() {
        return leader.takeOver();
    }

    /** Whether it is appointed to take over. For rehearsals; on the loop. */
    public boolean follows() {
        return leader.follows();
    }

    /** Sees what a standby's copies bring to each take-over on this controller. */
    public void witness(BiConsumer<String, List<StoreCodec.Item>> each) {
        leader.witness(each);
    }

    /** Must be called on the loop. */
    public void start() {
        users.tell(new UsersActor.AttachLeaderActor(leader));
        users.tell(new UsersActor.LoadJobs());
        leader.tell(new LeaderActor.LeaseTick());
        leader.tell(new LeaderActor.Tick());
    }

    /** A request of a user, of the load balancer or of a worker. */
    public void handle(Request request) {
        if (request.path().equals("/v1/report")) {
            if (request.method().equals("POST")) {
                leader.tell(new LeaderActor.Report(request));
            } else {
                request.answer(405, WRONG_METHOD);
            }
        } else {
            users.tell(new UsersActor.RequestReceived(request));
        }
    }

    /** Ends in order: hands the lead over if it has it; {@code done} on the loop once others can go on. */
    public void end(Runnable done) {
        leader.tell(new LeaderActor.End(done));
    }

    /** A request of a sibling. */
    public void handlePeer(Request request) {
        if (request.path().equals("/news") && request.method().equals("POST")) {
            leader.tell(new LeaderActor.PeerNews(request));
        } else if (request.path().equals("/withdrawn") && request.method().equals("POST")) {
            leader.tell(new LeaderActor.TakeWithdrawn(request));
        } else if (request.path().equals("/hints") && request.method().equals("POST")) {
            leader.tell(new StandbyMessage.TakeHints(request));
        } else if (request.path().equals("/standby")) {
            leader.tell(new LeaderActor.AskReadiness(request));
        } else if (request.path().equals("/handover") && request.method().equals("POST")) {
            leader.tell(new StandbyMessage.TakeHandOver(request));
        } else {
            request.answer(404, NO_SUCH_PATH);
        }
    }
}
