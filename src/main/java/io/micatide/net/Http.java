package io.micatide.net;

import io.micatide.model.Micros;
import java.util.function.Consumer;

/**
 * Asynchronous HTTP client of one service. The callback of each request is called exactly once, on the caller's event loop, at the latest
 * when the timeout expires; an answer that arrives later is dropped. Times are in microseconds.
 */
public interface Http {
    /** Default timeout of a request. */
    long DEFAULT_TIMEOUT_MICROS = Micros.SECOND;

    /** Sends a GET request; the path includes the query. */
    void get(String path, long timeoutMicros, Consumer<Reply> callback);

    /** Sends a POST request with a JSON body. */
    void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> callback);

    /** Sends a DELETE request. */
    void delete(String path, long timeoutMicros, Consumer<Reply> callback);

    /** Closes the idle connections. No request may be sent afterwards. */
    default void close() {}

    /** Creates the clients with which a process reaches its services and peers. */
    @FunctionalInterface
    interface Connector {
        /**
         * Creates a client of the given endpoint.
         *
         * @param endpoint host and port, separated by a colon
         * @param maxConnections largest number of simultaneous connections to it
         * @return a client that connects on demand
         */
        Http clientFor(String endpoint, int maxConnections);
    }
}
