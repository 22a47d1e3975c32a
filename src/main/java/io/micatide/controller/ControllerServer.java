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

    private static final int MIN_CONNECTIONS = 10;

    private final Settings settings;
    private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Controller controller;
    private final EventLoop eventLoop;
    private volatile String bindFailure;

    /**
     * Creates a controller that has yet to be started.
     *
     * @param settings with the addresses to bind
     * @param tuning of the controller
     */
    public ControllerServer(Settings settings, Tuning tuning) {
        this.settings = settings;
        this.eventLoop = eventLoopGroup.next();
        this.controller = new Controller(
                settings,
                tuning,
                new NettyActorExecutor(eventLoop),
                (endpoint, maxConnections) -> new HttpClient(eventLoop, endpoint, maxConnections));
    }

    /**
     * Binds both addresses and starts the controller. All of this runs on the event loop, so that the calling thread loads no classes and
     * reads nothing meanwhile: when both threads did, a controller's process crashed inside the C library's {@code read}
     * (docs/questions.md).
     *
     * @throws InterruptedException if the calling thread is interrupted while it waits
     * @throws IllegalStateException if an address cannot be bound, which the message names
     */
    public void start() throws InterruptedException {
        CountDownLatch bound = new CountDownLatch(2);
        eventLoop.execute(() -> {
            int maxConnections = Math.max(MIN_CONNECTIONS, settings.maxConnections() * 8 / 10);
            controller.start();
            bind(new HttpServer(controller::handleRequest, maxConnections), settings.bind(), bound);
            bind(new HttpServer(controller::handlePeerRequest, maxConnections), settings.peerBind(), bound);
            LOG.info(
                    "{} in zone {} serves users and workers on {} and peers on {}, reads layout {}",
                    settings.label(),
                    settings.zone(),
                    settings.bind(),
                    settings.peerBind(),
                    Settings.CURRENT_LAYOUT);
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
     * Shuts down gracefully, as when an operator stops the process: hands leadership over and serves no new requests. Returns once peers can
     * continue without this controller, or after the timeout.
     *
     * @param timeoutMicros maximum time to wait
     * @throws InterruptedException if the calling thread is interrupted while it waits
     */
    public void shutDown(long timeoutMicros) throws InterruptedException {
        CountDownLatch completed = new CountDownLatch(1);
        eventLoop.execute(() -> controller.shutDown(completed::countDown));
        if (!completed.await(timeoutMicros, TimeUnit.MICROSECONDS)) {
            LOG.warn(
                    "shutdown timed out before the store confirmed the release of the lease: the lease will expire by itself");
        }
    }

    /**
     * Waits until the server is closed.
     *
     * @throws InterruptedException if the calling thread is interrupted while it waits
     */
    public void awaitTermination() throws InterruptedException {
        eventLoopGroup.terminationFuture().await();
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
