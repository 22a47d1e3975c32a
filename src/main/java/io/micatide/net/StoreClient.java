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
    private final StoreConnectivity reach = new StoreConnectivity();

    public StoreClient(Settings settings, Http.Connector connector, LongSupplier clock) {
        // One controller alone may need most of the rate; 429 and a second try settle the rare sum above it.
        super(settings.storeRequestsPerSecond() * 0.6, settings.storeRequestsPerSecond() * 0.3, clock);
        this.http = connector.to(settings.storeEndpoint(), 12);
        this.watches = connector.to(settings.storeEndpoint(), 2);
        this.clock = clock;
    }

    /** What is known of this controller's and its siblings' way to the state service. */
    public StoreConnectivity reach() {
        return reach;
    }

    private Consumer<Reply> noting(Consumer<Reply> then) {
        return reply -> {
            if (reply.served()) {
                reach.storeAnswered(clock.getAsLong());
            }
            then.accept(reply);
        };
    }

    public void transaction(Transaction transaction, Consumer<Reply> then) {
        if (!over(then)) {
            http.post("/txn", StoreCodec.transaction(transaction), Http.PATIENCE_MICROS, noting(then));
        }
    }

    public void read(String key, Consumer<Reply> then) {
        if (!over(then)) {
            http.get("/store/" + key, Http.PATIENCE_MICROS, noting(then));
        }
    }

    public void list(String prefix, String after, Consumer<Reply> then) {
        if (!over(then)) {
            http.get(
                    "/store?starts=" + prefix + (after == null ? "" : "&from=" + after) + "&most=500",
                    3 * Http.PATIENCE_MICROS,
                    noting(then));
        }
    }

    /** One value after a key, or none. */
    public void after(String prefix, String key, Consumer<Reply> then) {
        if (!over(then)) {
            http.get("/store?starts=" + prefix + "&from=" + key + "&most=1", Http.PATIENCE_MICROS, noting(then));
        }
    }

    /** What changed since a revision, as of now: older than no answer that any node has given. */
    public void changes(String prefix, long since, Consumer<Reply> then) {
        if (!over(then)) {
            http.get("/changes?starts=" + prefix + "&from=" + since, Http.PATIENCE_MICROS, noting(then));
        }
    }

    public void watch(String prefix, long since, long waitMicros, Consumer<Reply> then) {
        if (!over(then)) {
            watches.get(
                    "/changes?starts=" + prefix + "&from=" + since + "&waitMs=" + waitMicros / Micros.MILLISECOND,
                    waitMicros + 2 * Micros.SECOND,
                    then);
        }
    }

    /** Leases are not paced: losing the lead costs more than the requests. */
    public void grant(long ttlMicros, Consumer<Reply> then) {
        http.post("/grants", StoreCodec.leaseRequest(ttlMicros), Http.PATIENCE_MICROS, noting(then));
    }

    public void touch(long lease, Consumer<Reply> then) {
        http.post("/grants/" + lease + "/touch", new byte[0], Http.PATIENCE_MICROS, noting(then));
    }

    public void endLease(long lease, Consumer<Reply> then) {
        http.delete("/grants/" + lease, Http.PATIENCE_MICROS, noting(then));
    }
}
