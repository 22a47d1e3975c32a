package io.micatide.simulation;

import io.micatide.controller.ActorExecutor;
import io.micatide.model.Micros;
import io.micatide.net.Http;
import io.micatide.net.Reply;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The way of one controller to the state service, which may refuse it alone: 503 at once, nothing is carried out. */
final class RefusingHttp implements Http {
    private static final long ANSWER_MICROS = 2 * Micros.MILLISECOND;
    private static final Reply REFUSED = new Reply(503, "{\"error\":\"away\"}".getBytes(StandardCharsets.UTF_8), true);

    private final Http http;
    private final BooleanSupplier refused;
    private final ActorExecutor process;

    RefusingHttp(Http http, BooleanSupplier refused, ActorExecutor process) {
        this.http = http;
        this.refused = refused;
        this.process = process;
    }

    private void unlessRefused(Consumer<Reply> then, Consumer<Consumer<Reply>> ask) {
        if (refused.getAsBoolean()) {
            process.executeLater(() -> then.accept(REFUSED), ANSWER_MICROS);
        } else {
            // What was asked before is not answered either: open watches tell nothing.
            ask.accept(reply -> then.accept(refused.getAsBoolean() ? Reply.UNANSWERED : reply));
        }
    }

    @Override
    public void get(String path, long timeoutMicros, Consumer<Reply> then) {
        unlessRefused(then, to -> http.get(path, timeoutMicros, to));
    }

    @Override
    public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> then) {
        unlessRefused(then, to -> http.post(path, body, timeoutMicros, to));
    }

    @Override
    public void delete(String path, long timeoutMicros, Consumer<Reply> then) {
        unlessRefused(then, to -> http.delete(path, timeoutMicros, to));
    }
}
