package io.micatide.simulation.scale;

import io.micatide.controller.ActorExecutor;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** What workers and users ask a controller, counted and timed; a sender that is silent gets no answer. */
final class CountedHttp implements Http {
    private final Http http;
    private final ActorExecutor loop;
    private final Traffic traffic;
    private final Traffic.Kind kind;
    private final Histogram latency;
    private final BooleanSupplier silent;

    /**
     * @param latency takes the microseconds of each request that was answered with 200
     * @param silent whether the sender reaches nobody now
     */
    CountedHttp(
            Http http,
            ActorExecutor loop,
            Traffic traffic,
            Traffic.Kind kind,
            Histogram latency,
            BooleanSupplier silent) {
        this.http = http;
        this.loop = loop;
        this.traffic = traffic;
        this.kind = kind;
        this.latency = latency;
        this.silent = silent;
    }

    @Override
    public void get(String path, long timeoutMicros, Consumer<Reply> then) {
        if (lost(timeoutMicros, then)) {
            return;
        }
        http.get(path, timeoutMicros, counted(0, then));
    }

    @Override
    public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> then) {
        if (lost(timeoutMicros, then)) {
            return;
        }
        http.post(path, body, timeoutMicros, counted(body.length, then));
    }

    @Override
    public void delete(String path, long timeoutMicros, Consumer<Reply> then) {
        if (lost(timeoutMicros, then)) {
            return;
        }
        http.delete(path, timeoutMicros, counted(0, then));
    }

    @Override
    public void close() {
        http.close();
    }

    private boolean lost(long timeoutMicros, Consumer<Reply> then) {
        if (silent.getAsBoolean()) {
            loop.executeLater(() -> then.accept(Reply.UNANSWERED), timeoutMicros);
            return true;
        }
        return false;
    }

    private Consumer<Reply> counted(int bytes, Consumer<Reply> then) {
        long sent = loop.now();
        return reply -> {
            if (reply.status() != 0) {
                traffic.add(kind, bytes, reply.body().length);
            }
            if (reply.ok()) {
                latency.recordValue(Math.min(Traffic.MOST_MICROS, Math.max(1, loop.now() - sent)));
                if (kind == Traffic.Kind.HEARTBEAT) {
                    traffic.acceptedHeartbeat();
                }
            }
            then.accept(reply);
        };
    }
}
