package io.micatide.simulation;

import io.micatide.controller.ActorExecutor;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** The way to a state service whose answers about changed jobs take long: they are as old as that when they arrive. */
record DelayedChanges(Http http, LongSupplier lateMicros, Supplier<ActorExecutor> process) implements Http {
    @Override
    public void get(String path, long timeoutMicros, Consumer<Reply> then) {
        http.get(
                path,
                timeoutMicros,
                !path.startsWith("/changes?starts=job/") || lateMicros.getAsLong() == 0
                        ? then
                        : reply -> process.get().executeLater(() -> then.accept(reply), lateMicros.getAsLong()));
    }

    @Override
    public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> then) {
        http.post(path, body, timeoutMicros, then);
    }

    @Override
    public void delete(String path, long timeoutMicros, Consumer<Reply> then) {
        http.delete(path, timeoutMicros, then);
    }
}
