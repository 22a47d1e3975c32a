package io.micatide.controller;

import io.micatide.net.Reply;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns its state; everything that happens to it is a message, taken one at a time from the event loop. */
abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    private final ActorExecutor loop;

    Actor(ActorExecutor loop) {
        this.loop = loop;
    }

    /** The loop's steady clock. */
    final long now() {
        return loop.now();
    }

    /** The loop's time of day. */
    final long wall() {
        return loop.wall();
    }

    final void tell(M message) {
        loop.execute(() -> {
            try {
                receive(message);
            } catch (RuntimeException e) {
                log.error("message {} failed", message.getClass().getSimpleName(), e);
            }
        });
    }

    final void tellLater(M message, long delayMicros) {
        loop.later(() -> tell(message), delayMicros);
    }

    /** Turns an answer from outside into a message to this actor. */
    final Consumer<Reply> answer(Function<Reply, M> message) {
        return reply -> tell(message.apply(reply));
    }

    protected abstract void receive(M message);
}
