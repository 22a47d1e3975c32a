package io.micatide.controller;

import io.micatide.net.Reply;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Base class of the actors of a controller. An actor's state changes only while it handles one of its messages, which are handled one at a
 * time on the {@link ActorExecutor}.
 *
 * @param <M> the type of the actor's messages
 */
abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    private final ActorExecutor executor;

    Actor(ActorExecutor executor) {
        this.executor = executor;
    }

    /** Returns the time on the executor's steady clock, in microseconds; never 0. */
    final long now() {
        return executor.now();
    }

    /** Returns the executor's time of day, in microseconds since 1970. */
    final long wallClockMicros() {
        return executor.wallClockMicros();
    }

    /**
     * Sends a message to this actor, which handles it after the messages sent before. An exception thrown by the handler is logged, and the
     * actor continues with the next message.
     */
    final void tell(M message) {
        executor.execute(() -> {
            try {
                receive(message);
            } catch (RuntimeException e) {
                log.error("handling of message {} failed", message.getClass().getSimpleName(), e);
            }
        });
    }

    /** Sends a message to this actor after a delay. */
    final void tellLater(M message, long delayMicros) {
        executor.executeLater(() -> tell(message), delayMicros);
    }

    /** Returns a callback for the reply to a request, which sends this actor the message that the given function makes of the reply. */
    final Consumer<Reply> onReply(Function<Reply, M> message) {
        return reply -> tell(message.apply(reply));
    }

    /** Handles one message; called on the executor. */
    protected abstract void receive(M message);
}
