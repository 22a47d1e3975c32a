package io.micatide.controller;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Runs actors on an event loop that they share with sockets, by this machine's clocks. */
public final class NettyActorExecutor implements ActorExecutor {
    private final EventLoop loop;

    /**
     * An executor for the actors of one controller.
     *
     * @param loop that also carries the controller's sockets
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
