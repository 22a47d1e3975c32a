package io.micatide.net;

import io.micatide.model.Micros;
import java.util.function.Consumer;

/**
 * Requests to one service. {@code callback} is called once for each, on the caller's loop, at the latest when its time is over; an answer
 * after that is dropped. Times in microseconds.
 */
public interface Http {
    /** How long a request waits by default. */
    long DEFAULT_TIMEOUT_MICROS = Micros.SECOND;

    void get(String path, long timeoutMicros, Consumer<Reply> callback);

    void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> callback);

    void delete(String path, long timeoutMicros, Consumer<Reply> callback);

    /** Gives back what is kept open for the next request; nothing more is asked. */
    default void close() {}

    /** How a process comes to its services and siblings. */
    @FunctionalInterface
    interface Connector {
        /** @param endpoint host and port */
        Http clientFor(String endpoint, int maxConnections);
    }
}
