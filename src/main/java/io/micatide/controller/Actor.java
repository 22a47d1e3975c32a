package io.micatide.controller;

import io.micatide.net.Reply;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns its state; everything that happens to it is a message, taken one at a time from the event loop. */
abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    private final ActorExecutor executor;

    Actor(ActorExecutor loop) {
        this.executor = loop;
    }

    /** The loop's steady clock. */
    final long now() {
        return executor.now();
    }

    /** The loop's time of day. */
    final long wall() {
        return executor.wall();
    }

    final void tell(M message) {
        executor.execute(() -> {
            try {
                receive(message);
            } catch (RuntimeException e) {
                log.error("message {} failed", message.getClass().getSimpleName(), e);
            }
        });
    }

    final void tellLater(M message, long delayMicros) {
        executor.executeLater(() -> tell(message), delayMicros);
    }

    /** Turns an answer from outside into a message to this actor. */
    final Consumer<Reply> answer(Function<Reply, M> message) {
        return reply -> tell(message.apply(reply));
    }

    protected abstract void receive(M message);
}
