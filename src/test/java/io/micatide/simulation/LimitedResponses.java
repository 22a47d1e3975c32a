package io.micatide.simulation;

import io.micatide.net.Http;
import io.micatide.net.Reply;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * A client that takes changes up to a size, as the one over sockets does; pages of a list are never larger.
 *
 * @param http the client without the limit
 * @param maxBytes largest body of a response with changes
 * @param onTooLarge run for each larger response
 */
record LimitedResponses(Http http, IntSupplier maxBytes, Runnable onTooLarge) implements Http {
    @Override
    public void get(String path, long timeoutMicros, Consumer<Reply> callback) {
        http.get(path, timeoutMicros, path.startsWith("/changes") ? limited(callback) : callback);
    }

    @Override
    public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> callback) {
        http.post(path, body, timeoutMicros, callback);
    }

    @Override
    public void delete(String path, long timeoutMicros, Consumer<Reply> callback) {
        http.delete(path, timeoutMicros, callback);
    }

    private Consumer<Reply> limited(Consumer<Reply> callback) {
        return reply -> {
            if (reply.body().length > maxBytes.getAsInt()) {
                onTooLarge.run();
                callback.accept(Reply.TOO_LARGE);
            } else {
                callback.accept(reply);
            }
        };
    }
}
