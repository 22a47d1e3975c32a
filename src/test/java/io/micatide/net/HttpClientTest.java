package io.micatide.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The client against a server on a socket. */
class HttpClientTest {
    private static final long TIMEOUT_MICROS = 5_000_000;

    /** Guards against a controller that was away for long and never reads the changes again, since they are more than it takes at once. */
    @Test
    void aTooLargeResponseIsReportedAndTheNextRequestAnswered() throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", exchange -> {
            byte[] body = new byte[exchange.getRequestURI().getPath().equals("/large") ? 3 << 20 : 100];
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        try {
            String endpoint = "127.0.0.1:" + server.getAddress().getPort();
            HttpClient client = new HttpClient(loops.next(), endpoint, 1);
            Reply large = get(loops, client, "/large");
            assertTrue(large.isTooLarge() && !large.ok() && !large.notExecuted(), large.toString());
            assertEquals(0, large.body().length);
            Reply small = get(loops, client, "/small");
            assertTrue(small.ok(), small.toString());
            assertEquals(100, small.body().length);
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
            server.stop(0);
        }
    }

    private static Reply get(NioEventLoopGroup loops, HttpClient client, String path) throws Exception {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        loops.next().execute(() -> client.get(path, TIMEOUT_MICROS, reply::complete));
        return reply.get(10, TimeUnit.SECONDS);
    }
}
