package io.micatide.node;

import io.micatide.core.Settings;
import io.micatide.core.Tuning;
import io.micatide.net.CloudClient;
import io.micatide.net.HttpServer;
import io.micatide.net.StateClient;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.micatide.wire.Json;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A controller: its actors, servers and clients on one event loop. */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final byte[] NO_SUCH_PATH = Json.error(null, "no such path");
    private static final byte[] WRONG_METHOD = Json.error(null, "method not allowed");

    private final Settings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final UsersActor users;
    private final LeaderActor leader;
    private final EventLoop loop;
    private volatile String failure;

    public Node(Settings settings, Tuning tuning) {
        this.settings = settings;
        this.loop = group.next();
        StateClient state = new StateClient(loop, settings, Clock::now);
        CloudClient cloud = new CloudClient(loop, settings, Clock::now);
        this.users = new UsersActor(loop, settings, state, cloud);
        this.leader = new LeaderActor(loop, settings, tuning, state, cloud, users);
    }

    /**
     * Binds both addresses; fails if one cannot be had. All of it happens on the event loop, so that the calling thread
     * has nothing to load or to read while the loop works: on the bench a controller has ended inside the C library's
     * read when both did (docs/questions.md).
     */
    public void start() throws InterruptedException {
        CountDownLatch bound = new CountDownLatch(2);
        loop.execute(() -> {
            int most = Math.max(10, settings.maxConnections() * 8 / 10);
            users.tell(new UsersActor.Load());
            leader.tell(new LeaderActor.LeaseTick());
            leader.tell(new LeaderActor.Tick());
            bind(new HttpServer(this::handle, most), settings.bind(), bound);
            bind(new HttpServer(this::handlePeer, most), settings.peerBind(), bound);
            LOG.info("{} in {} serves on {}, siblings on {}, reads layout {}", settings.label(), settings.zone(),
                    settings.bind(), settings.peerBind(), Settings.LAYOUT);
        });
        bound.await();
        if (failure != null) {
            throw new IllegalStateException(failure);
        }
    }

    private void bind(HttpServer server, String address, CountDownLatch bound) {
        server.bind(loop, address).addListener(done -> {
            if (!done.isSuccess()) {
                failure = "cannot bind " + address + ": " + done.cause().getMessage();
            }
            bound.countDown();
        });
    }

    private void handle(HttpServer.Request request) {
        if (request.path().equals("/v1/report")) {
            if (request.method().equals("POST")) {
                leader.tell(new LeaderActor.Report(request));
            } else {
                request.answer(405, WRONG_METHOD);
            }
        } else {
            users.tell(new UsersActor.Ask(request));
        }
    }

    private void handlePeer(HttpServer.Request request) {
        if (request.path().equals("/news") && request.method().equals("POST")) {
            leader.tell(new LeaderActor.PeerNews(request));
        } else {
            request.answer(404, NO_SUCH_PATH);
        }
    }

    /** Waits until the node is closed. */
    public void join() throws InterruptedException {
        group.terminationFuture().await();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }
}
