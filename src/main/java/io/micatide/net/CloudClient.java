package io.micatide.net;

import io.micatide.model.CloudCall;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.protocol.CloudCodec;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Client of the cloud provider's API for listing, renting and deleting machines. Requests are limited to a rate below that of the API; one
 * above it is answered with status 429 without being sent.
 */
public final class CloudClient extends RateLimitedClient {
    /** Largest number of machines in one answer to {@link #list}. */
    public static final int PAGE_SIZE = 500;

    private static final long TIMEOUT_MICROS = 5 * Micros.SECOND;

    private final Http http;

    /**
     * Creates a client of the cloud endpoint in the settings.
     *
     * @param settings endpoint and request rate of the cloud
     * @param connector opens the HTTP client
     * @param clock the present time in microseconds
     */
    public CloudClient(Settings settings, Http.Connector connector, LongSupplier clock) {
        super(settings.cloudRequestsPerSecond() * 0.8, Math.max(1, settings.cloudRequestsPerSecond()), clock);
        this.http = connector.clientFor(settings.cloudEndpoint(), 6);
    }

    /** Requests the machine types on offer. */
    public void types(Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get("/machine_types", TIMEOUT_MICROS, callback);
        }
    }

    /** Requests new machines. */
    public void rent(CloudCall.RequestMachines rent, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.post("/machines", CloudCodec.rent(rent), TIMEOUT_MICROS, callback);
        }
    }

    /** Requests the deletion of the given machines. */
    public void delete(List<String> machines, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.post("/machines/delete", CloudCodec.delete(machines), TIMEOUT_MICROS, callback);
        }
    }

    /**
     * Requests one page of the rented machines.
     *
     * @param after the last machine of the previous page, null for the first page
     * @param callback receives the reply
     */
    public void list(String after, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get("/machines?most=" + PAGE_SIZE + (after == null ? "" : "&from=" + after), TIMEOUT_MICROS, callback);
        }
    }
}
