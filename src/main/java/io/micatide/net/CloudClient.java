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
    public static final int PAGE_SIZE = 500;
    private static final long TIMEOUT_MICROS = 5 * Micros.SECOND;

    private final Http http;

    public CloudClient(Settings settings, Http.Connector connector, LongSupplier clock) {
        super(settings.cloudRequestsPerSecond() * 0.8, Math.max(1, settings.cloudRequestsPerSecond()), clock);
        this.http = connector.clientFor(settings.cloud(), 6);
    }

    public void types(Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get("/machine_types", TIMEOUT_MICROS, callback);
        }
    }

    public void rent(CloudCall.Rent rent, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.post("/machines", CloudCodec.rent(rent), TIMEOUT_MICROS, callback);
        }
    }

    public void delete(List<String> machines, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.post("/machines/delete", CloudCodec.delete(machines), TIMEOUT_MICROS, callback);
        }
    }

    public void list(String after, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get("/machines?most=" + PAGE_SIZE + (after == null ? "" : "&from=" + after), TIMEOUT_MICROS, callback);
        }
    }
}
