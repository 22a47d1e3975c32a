package io.micatide.controller;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** A loop that sockets share, with this machine's clocks. */
public final class NettyActorExecutor implements ActorExecutor {
    private final EventLoop loop;

    public NettyActorExecutor(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void execute(Runnable what) {
        loop.execute(what);
    }

    @Override
    public void executeLater(Runnable what, long delayMicros) {
        loop.schedule(what, delayMicros, TimeUnit.MICROSECONDS);
    }

    @Override
    public long now() {
        return Clock.now();
    }

    @Override
    public long wall() {
        return Clock.wall();
    }
}
