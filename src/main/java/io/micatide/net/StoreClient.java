package io.micatide.net;

import io.micatide.election.StoreConnectivity;
import io.micatide.model.Micros;
import io.micatide.model.Settings;
import io.micatide.protocol.StoreCodec;
import io.micatide.store.Transaction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Client of the store. Requests are limited so that the controllers of a deployment together usually stay below the store's rate; one above
 * the limit is answered with status 429 without being sent. Records whether the store answers, in {@link #connectivity}.
 */
public final class StoreClient extends RateLimitedClient {
    private final Http http;
    /** Separate connections for long polls, which would otherwise keep other requests waiting. */
    private final Http watches;

    private final LongSupplier clock;
    private final StoreConnectivity connectivity = new StoreConnectivity();

    /**
     * Creates a client of the store endpoint in the settings.
     *
     * @param settings endpoint and request rate of the store
     * @param connector opens the HTTP clients
     * @param clock the present time in microseconds
     */
    public StoreClient(Settings settings, Http.Connector connector, LongSupplier clock) {
        // A single controller may need most of the rate. Rarely, several together exceed it: the store then answers 429
        // and the request is retried.
        super(settings.storeRequestsPerSecond() * 0.6, settings.storeRequestsPerSecond() * 0.3, clock);
        this.http = connector.clientFor(settings.storeEndpoint(), 12);
        this.watches = connector.clientFor(settings.storeEndpoint(), 2);
        this.clock = clock;
    }

    /** Returns the connectivity of this controller and its peers to the store, as far as this controller knows it. */
    public StoreConnectivity connectivity() {
        return connectivity;
    }

    /** Wraps a callback so that an answer of the store other than 503 is first recorded as a sign of connectivity. */
    private Consumer<Reply> recordingConnectivity(Consumer<Reply> callback) {
        return reply -> {
            if (reply.isServiceAvailable()) {
                connectivity.storeAnswered(clock.getAsLong());
            }
            callback.accept(reply);
        };
    }

    /** Executes a transaction. */
    public void transaction(Transaction transaction, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.post(
                    "/txn",
                    StoreCodec.transaction(transaction),
                    Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    /** Reads the record of one key. */
    public void read(String key, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get("/store/" + key, Http.DEFAULT_TIMEOUT_MICROS, recordingConnectivity(callback));
        }
    }

    /**
     * Reads a page of up to 500 records in the order of their keys.
     *
     * @param prefix of the keys
     * @param after the last key of the previous page, null for the first page
     * @param callback receives the reply
     */
    public void list(String prefix, String after, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get(
                    "/store?starts=" + prefix + (after == null ? "" : "&from=" + after) + "&most=500",
                    3 * Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    /** Reads the first record after the given key among those with the prefix, if there is one. */
    public void readFirstAfter(String prefix, String key, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get(
                    "/store?starts=" + prefix + "&from=" + key + "&most=1",
                    Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    /** Reads the changes since a revision. The answer is at least as recent as any answer given before by any node of the store. */
    public void changes(String prefix, long since, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            http.get(
                    "/changes?starts=" + prefix + "&from=" + since,
                    Http.DEFAULT_TIMEOUT_MICROS,
                    recordingConnectivity(callback));
        }
    }

    /**
     * Waits for changes since a revision (long poll). The reply does not count for {@link #connectivity}.
     *
     * @param prefix of the keys
     * @param since the revision
     * @param waitMicros time after which the store answers without a change
     * @param callback receives the reply
     */
    public void watch(String prefix, long since, long waitMicros, Consumer<Reply> callback) {
        if (!rejectAboveRate(callback)) {
            watches.get(
                    "/changes?starts=" + prefix + "&from=" + since + "&waitMs=" + waitMicros / Micros.MILLISECOND,
                    waitMicros + 2 * Micros.SECOND,
                    callback);
        }
    }

    /**
     * Requests a new lease with the given time to live. Requests for leases are exempt from the rate limit, since a lost leadership costs
     * more than they do.
     */
    public void grantLease(long ttlMicros, Consumer<Reply> callback) {
        http.post(
                "/grants",
                StoreCodec.leaseRequest(ttlMicros),
                Http.DEFAULT_TIMEOUT_MICROS,
                recordingConnectivity(callback));
    }

    /** Renews a lease; not rate-limited. */
    public void renewLease(long lease, Consumer<Reply> callback) {
        http.post(
                "/grants/" + lease + "/touch",
                new byte[0],
                Http.DEFAULT_TIMEOUT_MICROS,
                recordingConnectivity(callback));
    }

    /** Revokes a lease; not rate-limited. */
    public void endLease(long lease, Consumer<Reply> callback) {
        http.delete("/grants/" + lease, Http.DEFAULT_TIMEOUT_MICROS, recordingConnectivity(callback));
    }
}
