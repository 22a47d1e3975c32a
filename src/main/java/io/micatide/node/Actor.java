package io.micatide.node;

import io.micatide.net.Reply;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns its state; everything that happens to it is a message, taken one at a time from the event loop. */
abstract class Actor<M> {
    protected final Logger log = LoggerFactory.getLogger(getClass());
    private final EventLoop loop;

    Actor(EventLoop loop) {
        this.loop = loop;
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
        loop.schedule(() -> tell(message), delayMicros, TimeUnit.MICROSECONDS);
    }

    /** Turns an answer from outside into a message to this actor. */
    final Consumer<Reply> answer(Function<Reply, M> message) {
        return reply -> tell(message.apply(reply));
    }

    protected abstract void receive(M message);
}
