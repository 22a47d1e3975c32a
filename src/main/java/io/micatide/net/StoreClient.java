package io.micatide.net;

import io.micatide.election.StoreConnectivity;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.Transaction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The state service's calls, paced so that the controllers together stay under its rate. */
public final class StoreClient extends RateLimitedClient {
    private final Http http;
    private final Http watches;
    private final LongSupplier clock;
    private final StoreConnectivity connectivity = new StoreConnectivity();

    public StoreClient(Settings settings, Http.Connector connector, LongSupplier clock) {
        // One controller alone may need most of the rate; 429 and a second try settle the rare sum above it.
        super(settings.storeRequestsPerSecond() * 0.6, settings.storeRequestsPerSecond() * 0.3, clock);
        this.http = connector.clientFor(settings.store(), 12);
        this.watches = connector.clientFor(settings.store(), 2);
        this.clock = clock;
    }

    /** What is known of this controller's and its siblings' way to the state service. */
    public StoreConnectivity connectivity() {
        return connectivity;
    }

    private Consumer<Reply> recordingConnectivity(Consumer<Reply> callback) {
        return reply -> {
            if (reply.isServiceAvailable()) {
                connectivity.storeAnswered(clock.getAsLong());
            }
            callback.accept(reply);
        };
    }

    public void transaction(Transaction transaction, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.post(
                    "/txn",
                    StoreCodec.transaction(transaction),
                    Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    public void read(String key, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get("/store/" + key, Http.DEFAULT_TIMEOUT_MICROS, recordingConnectivity(callback));
        }
    }

    public void list(String prefix, String after, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get(
                    "/store?starts=" + prefix + (after == null ? "" : "&from=" + after) + "&most=500",
                    3 * Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    /** One value after a key, or none. */
    public void readFirstAfter(String prefix, String key, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get(
                    "/store?starts=" + prefix + "&from=" + key + "&most=1",
                    Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    /** What changed since a revision, as of now: older than no answer that any node has given. */
    public void changes(String prefix, long since, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get(
                    "/changes?starts=" + prefix + "&from=" + since,
                    Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    public void watch(String prefix, long since, long waitMicros, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            watches.get(
                    "/changes?starts=" + prefix + "&from=" + since + "&waitMs=" + waitMicros / Micros.MILLISECOND,
                    waitMicros + 2 * Micros.SECOND,
                    callback);
        }
    }

    /** Leases are not paced: losing the lead costs more than the requests. */
    public void grantLease(long ttlMicros, Consumer<Reply> callback) {
        http.post(
                "/grants",
                StoreCodec.leaseRequest(ttlMicros),
                Http.DEFAULT_TIMEOUT_MICROS,
                recordingConnectivity(callback));
    }

    public void renewLease(long lease, Consumer<Reply> callback) {
        http.post(
                "/grants/" + lease + "/touch",
                new byte[0],
                Http.DEFAULT_TIMEOUT_MICROS,
                recordingConnectivity(callback));
    }

    public void endLease(long lease, Consumer<Reply> callback) {
        http.delete("/grants/" + lease, Http.DEFAULT_TIMEOUT_MICROS, recordingConnectivity(callback));
    }
}
