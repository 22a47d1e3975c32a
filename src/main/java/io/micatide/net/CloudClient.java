package io.micatide.net;

import io.micatide.model.CloudCall;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.protocol.CloudCodec;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The cloud's calls, paced under its rate. */
public final class CloudClient extends RateLimitedClient {
    public static final int PAGE = 500;
    private static final long PATIENCE_MICROS = 5 * Micros.SECOND;

    private final Http http;

    public CloudClient(Settings settings, Http.Connector connector, LongSupplier clock) {
        super(settings.cloudRequestsPerSecond() * 0.8, Math.max(1, settings.cloudRequestsPerSecond()), clock);
        this.http = connector.to(settings.cloudEndpoint(), 6);
    }

    public void types(Consumer<Reply> then) {
        if (!over(then)) {
            http.get("/machine_types", PATIENCE_MICROS, then);
        }
    }

    public void rent(CloudCall.RequestMachines rent, Consumer<Reply> then) {
        if (!over(then)) {
            http.post("/machines", CloudCodec.rent(rent), PATIENCE_MICROS, then);
        }
    }

    public void delete(List<String> machines, Consumer<Reply> then) {
        if (!over(then)) {
            http.post("/machines/delete", CloudCodec.delete(machines), PATIENCE_MICROS, then);
        }
    }

    public void list(String after, Consumer<Reply> then) {
        if (!over(then)) {
            http.get("/machines?most=" + PAGE + (after == null ? "" : "&from=" + after), PATIENCE_MICROS, then);
        }
    }
}
