package io.micatide.cli;

import io.micatide.controller.ControllerServer;
import io.micatide.model.Settings;
import io.micatide.net.HttpClient;
import io.micatide.net.HttpServer;
import io.micatide.net.Reply;
import io.micatide.net.Request;
import io.micatide.protocol.MalformedException;
import io.micatide.protocol.SettingsReader;
import io.micatide.protocol.TuningReader;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs a controller on loopback for a short time against canned answers: it becomes leader, accepts a job, answers a heartbeat and rents machines.
 * The only purpose is to load the classes that normal operation needs.
 */
final class WarmUp {
    /** Time limit of a request to the controller. */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** Whether the controller has sent the transaction that claims leadership. */
    private static volatile boolean hasClaimedLeadership;

    private WarmUp() {}

    /** Runs the warm-up and returns the exit code: 1 when the controller did not claim leadership, else 0. */
    static int run() throws InterruptedException, MalformedException {
        int[] ports = freePorts(4);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            new HttpServer(WarmUp::sendCannedAnswer, 100)
                    .bind(group.next(), "127.0.0.1:" + ports[0])
                    .sync();
            String settings = resource("/warm-up-settings.toml")
                    .replace("@bind@", "127.0.0.1:" + ports[1])
                    .replace("@peer@", "127.0.0.1:" + ports[2])
                    .replace("@sibling@", "127.0.0.1:" + ports[2])
                    .replace("@services@", "127.0.0.1:" + ports[0]);
            Settings parsedSettings = SettingsReader.parse(settings);
            try (ControllerServer server = new ControllerServer(
                    parsedSettings,
                    TuningReader.parse("idle_s = 20.0\nstandby = true\nrollout = true", parsedSettings))) {
                server.start();
                HttpClient client = new HttpClient(group.next(), "127.0.0.1:" + ports[1], 1);
                for (int iteration = 0; iteration < 8; iteration++) {
                    sendAndAwait(group, client, "/healthz", null);
                    sendAndAwait(group, client, "/v1/jobs", resource("/warm-up-job.json"));
                    sendAndAwait(
                            group,
                            client,
                            "/v1/jobs",
                            resource("/warm-up-job.json")
                                    .replace("wk-1", "wk-3")
                                    .replace("\"ground\"", "\"awaits\":[\"wk-1\"],\"ground\""));
                    sendAndAwait(group, client, "/v1/jobs", "{\"nameId\":\"wk-2\"}");
                    sendAndAwait(group, client, "/v1/jobs/wk-1", null);
                    sendAndAwait(group, client, "/v1/jobs/wk-7/abort", "");
                    sendAndAwait(
                            group,
                            client,
                            "/v1/report",
                            resource("/warm-up-report.json").replace("@tally@", String.valueOf(iteration + 1)));
                    TimeUnit.MILLISECONDS.sleep(150);
                }
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(2, TimeUnit.SECONDS);
        }
        if (!hasClaimedLeadership) {
            System.err.println(
                    "warm-up: the controller never claimed the lead, so the archive would lack most of what a start loads");
            return 1;
        }
        return 0;
    }

    /** Sends a GET, or a POST when a body is given, and waits for the answer for at most 3 s. */
    private static void sendAndAwait(EventLoopGroup group, HttpClient client, String path, String body)
            throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        group.next().execute(() -> {
            java.util.function.Consumer<Reply> callback = reply -> answered.countDown();
            if (body == null) {
                client.get(path, REQUEST_TIMEOUT_MICROS, callback);
            } else {
                client.post(path, body.getBytes(StandardCharsets.UTF_8), REQUEST_TIMEOUT_MICROS, callback);
            }
        });
        answered.await(3, TimeUnit.SECONDS);
    }

    /** Answers a request of the controller to the store or cloud; a watch of changes to keys other than jobs stays without an answer. */
    private static void sendCannedAnswer(Request request) {
        String path = request.path();
        String body = "{\"ledger\":9}";
        hasClaimedLeadership |= path.equals("/txn")
                && new String(request.body(), StandardCharsets.UTF_8).contains("\"put\":\"leader\"");
        if (path.equals("/store/leader")
                || path.equals("/store/types")
                || path.equals("/store/fence")
                || path.startsWith("/store/rollout/")) {
            request.answer(404, body.getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (path.equals("/store/job/features")) {
            // Without a readable answer the controller would not claim leadership, and most classes that a start needs
            // would be missing from the archive and be loaded from scratch at each start.
            body =
                    "{\"k\":\"job/features\",\"data\":{\"features\":{\"booking-fence\":\"ON\",\"learned\":\"ON\",\"returns\":\"ON\"}},\"stamp\":4}";
        } else if (path.startsWith("/store?starts=rollout")) {
            body =
                    "{\"items\":[{\"k\":\"rollout/here/x\",\"data\":{\"build\":\"1\",\"knows\":[\"learned\"],\"acts\":4,\"since\":1},\"stamp\":3}],"
                            + "\"truncated\":false,\"ledger\":5}";
        } else if (path.startsWith("/store?")) {
            body = "{\"items\":[],\"truncated\":false,\"ledger\":5}";
        } else if (path.startsWith("/changes?starts=job")) {
            body = resource("/warm-up-changes.json");
        } else if (path.startsWith("/changes")) {
            return;
        } else if (path.startsWith("/grants")) {
            body = "{\"hold\":3}";
        } else if (path.equals("/machine_types")) {
            body = resource("/warm-up-types.json");
        } else if (path.equals("/machines")) {
            body = "{\"berths\":[\"i-000002\"]}";
        } else if (path.startsWith("/machines?")) {
            body = "{\"berths\":[{\"nameId\":\"i-000002\",\"addr\":\"127.0.0.1:1\",\"build\":\"g8\",\"ground\":\"a\","
                    + "\"loaners\":false,\"standing\":\"booting\",\"heldS\":1.5}],\"truncated\":false}";
        }
        request.answer(200, body.getBytes(StandardCharsets.UTF_8));
    }

    private static String resource(String name) {
        try (InputStream in = WarmUp.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns distinct ports that were free a moment ago: all are bound before any is released. */
    private static int[] freePorts(int count) {
        int[] ports = new int[count];
        ServerSocket[] sockets = new ServerSocket[count];
        try {
            for (int i = 0; i < count; i++) {
                sockets[i] = new ServerSocket();
                sockets[i].bind(new InetSocketAddress("127.0.0.1", 0));
                ports[i] = sockets[i].getLocalPort();
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ports;
    }
}
