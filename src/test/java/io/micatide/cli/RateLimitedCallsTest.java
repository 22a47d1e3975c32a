package io.micatide.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.micatide.net.Reply;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

/** The calls of snapshots and restores against a server on a socket. */
class RateLimitedCallsTest {
    private static final int CHANGES_BYTES = 7 << 20;

    /** Guards against snapshots of busy deployments that end because the changes since their first page are more than a controller takes. */
    @Test
    void changesMayBeLargerThanAControllerTakes() throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", exchange -> {
            exchange.sendResponseHeaders(200, CHANGES_BYTES);
            exchange.getResponseBody().write(new byte[CHANGES_BYTES]);
            exchange.close();
        });
        server.start();
        String endpoint = "127.0.0.1:" + server.getAddress().getPort();
        try (RateLimitedCalls calls = new RateLimitedCalls(endpoint, 100)) {
            Reply reply = calls.get("/changes?starts=job/&from=1");
            assertTrue(reply.ok(), "status " + reply.status());
            assertEquals(CHANGES_BYTES, reply.body().length);
        } finally {
            server.stop(0);
        }
    }
}
