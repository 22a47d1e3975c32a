package io.micatide.simulation;

import io.micatide.net.Http;
import io.micatide.net.Reply;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** The state service as a version before the switches sees it: their row is one that it cannot read. */
record FormerVersionReader(Http http) implements Http {
    private static Consumer<Reply> former(Consumer<Reply> then) {
        return reply -> {
            String body = reply.body() == null ? "" : new String(reply.body(), StandardCharsets.UTF_8);
            then.accept(
                    body.contains("\"job/features\"")
                            ? new Reply(
                                    reply.status(),
                                    body.replace("\"job/features\"", "\"job/featurez\"")
                                            .getBytes(StandardCharsets.UTF_8),
                                    reply.sent())
                            : reply);
        };
    }

    @Override
    public void get(String path, long timeoutMicros, Consumer<Reply> then) {
        http.get(path, timeoutMicros, former(then));
    }

    @Override
    public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> then) {
        http.post(path, body, timeoutMicros, former(then));
    }

    @Override
    public void delete(String path, long timeoutMicros, Consumer<Reply> then) {
        http.delete(path, timeoutMicros, former(then));
    }
}
