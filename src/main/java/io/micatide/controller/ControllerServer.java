package io.micatide.controller;

import io.micatide.model.Settings;
import io.micatide.model.Tuning;
import io.micatide.net.HttpClient;
import io.micatide.net.HttpServer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A controller with its sockets: servers, clients and actors on one event loop. */
public final class ControllerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    private final Settings settings;
    private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Controller controller;
    private final EventLoop eventLoop;
    private volatile String bindFailure;

    public ControllerServer(Settings settings, Tuning tuning) {
        this.settings = settings;
        this.eventLoop = eventLoopGroup.next();
        this.controller = new Controller(
                settings,
                tuning,
                new NettyActorExecutor(eventLoop),
                (endpoint, most) -> new HttpClient(eventLoop, endpoint, most));
    }

    /**
     * Binds both addresses; fails if one cannot be had. All of it happens on the event loop, so that the calling thread
     * has nothing to load or to read while the loop works: on the bench a controller has ended inside the C library's
     * read when both did (docs/questions.md).
     */
    public void start() throws InterruptedException {
        CountDownLatch bound = new CountDownLatch(2);
        eventLoop.execute(() -> {
            int most = Math.max(10, settings.maxConnections() * 8 / 10);
            controller.start();
            bind(new HttpServer(controller::handleRequest, most), settings.bind(), bound);
            bind(new HttpServer(controller::handlePeerRequest, most), settings.peerBind(), bound);
            LOG.info(
                    "{} in {} serves on {}, siblings on {}, reads layout {}",
                    settings.label(),
                    settings.zone(),
                    settings.bind(),
                    settings.peerBind(),
                    Settings.LAYOUT);
        });
        bound.await();
        if (bindFailure != null) {
            throw new IllegalStateException(bindFailure);
        }
    }

    private void bind(HttpServer server, String address, CountDownLatch bound) {
        server.bind(eventLoop, address).addListener(done -> {
            if (!done.isSuccess()) {
                bindFailure = "cannot bind " + address + ": " + done.cause().getMessage();
            }
            bound.countDown();
        });
    }

    /**
     * Ends in order, as an operator's stop asks for: the lead is handed over and nothing new is answered. Returns once others can go
     * on, or after {@code mostMicros}.
     */
    public void shutDown(long mostMicros) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        eventLoop.execute(() -> controller.shutDown(done::countDown));
        if (!done.await(mostMicros, TimeUnit.MICROSECONDS)) {
            LOG.warn("ends without an answer of the state service: the lease runs out by itself");
        }
    }

    /** Waits until the node is closed. */
    public void awaitTermination() throws InterruptedException {
        eventLoopGroup.terminationFuture().await();
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
