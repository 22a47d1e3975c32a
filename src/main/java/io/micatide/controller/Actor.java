package io.micatide.controller;

import io.micatide.net.Reply;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns its state, which only its own messages change, handled one at a time on the {@link ActorExecutor}.
 *
 * @param <M> its messages
 */
abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    private final ActorExecutor executor;

    Actor(ActorExecutor executor) {
        this.executor = executor;
    }

    /** The executor's steady clock, in microseconds; never 0. */
    final long now() {
        return executor.now();
    }

    /** The executor's time of day, in microseconds since 1970. */
    final long wallClockMicros() {
        return executor.wallClockMicros();
    }

    /** Sends a message, which is handled after those sent before. An exception in its handling is logged and ends nothing. */
    final void tell(M message) {
        executor.execute(() -> {
            try {
                receive(message);
            } catch (RuntimeException e) {
                log.error("message {} failed", message.getClass().getSimpleName(), e);
            }
        });
    }

    /** Sends a message after a delay. */
    final void tellLater(M message, long delayMicros) {
        executor.executeLater(() -> tell(message), delayMicros);
    }

    /** A callback that turns the answer to a request into a message to this actor. */
    final Consumer<Reply> onReply(Function<Reply, M> message) {
        return reply -> tell(message.apply(reply));
    }

    /** Handles one message, on the executor. */
    protected abstract void receive(M message);
}
