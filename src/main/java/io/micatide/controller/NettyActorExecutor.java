package io.micatide.controller;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Runs actors on a Netty event loop, which also serves the controller's sockets. Uses the clocks of this machine ({@link Clock}). */
public final class NettyActorExecutor implements ActorExecutor {
    private final EventLoop loop;

    /**
     * Creates an executor for the actors of one controller.
     *
     * @param loop the event loop that also serves the controller's sockets
     */
    public NettyActorExecutor(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void executeLater(Runnable task, long delayMicros) {
        loop.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }

    @Override
    public long now() {
        return Clock.now();
    }

    @Override
    public long wallClockMicros() {
        return Clock.wallClockMicros();
    }
}
