package io.micatide.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.controller.ActorExecutor;
import io.micatide.model.Micros;
import io.micatide.net.RateLimiter;
import io.micatide.net.Request;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The state service: a consistent key-value store with leases, conditional transactions, watches and rate limits, as the protocol
 * describes it. Confined to its executor.
 */
public final class SimulatedStore {
    /** What the service allows; rates a second. */
    public record Limits(
            double requestsPerSecond, double writesPerSecond, int maxValueBytes, int maxTransactionWrites) {}

    /** A stored value; {@code leaseId} 0 without a lease. */
    public record Value(byte[] json, long version, long leaseId) {}

    private static final class Lease {
        final long ttlMicros;
        long endsMicros;

        Lease(long ttlMicros, long endsMicros) {
            this.ttlMicros = ttlMicros;
            this.endsMicros = endsMicros;
        }
    }

    private record Watch(Request request, String prefix, long from) {}

    private static final int MAX_ITEMS = 1_000;
    private static final int MAX_ITEM_BYTES = 512 * 1024;
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    private static final int MAX_CONDITIONS_PER_WRITE = 4;
    private static final int MAX_KEY_BYTES = 200;

    private final ActorExecutor executor;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ChangeLog changeLog = new ChangeLog();
    private final List<Watch> watches = new ArrayList<>();
    private Limits setLimits;
    private RateLimiter requestLimiter;
    private RateLimiter writeLimiter;
    private long revision = 1;
    private long lastLease;
    private long requestCount;
    private long changeCount;
    private boolean outage;
    private LongConsumer changeListener = revision -> {};
    private Consumer<JsonNode> transactionListener = body -> {};

    public SimulatedStore(ActorExecutor executor, Limits limits) {
        this.executor = executor;
        setLimits(limits);
    }

    /** The limits from now on. */
    public final void setLimits(Limits now) {
        setLimits = now;
        requestLimiter = new RateLimiter(now.requestsPerSecond(), now.requestsPerSecond(), executor.now());
        writeLimiter = new RateLimiter(now.writesPerSecond(), now.writesPerSecond(), executor.now());
    }

    /** An outage begins or ends; all leases have their full time again after it. */
    public void setOutage(boolean now) {
        if (outage && !now) {
            leases.forEach((id, lease) -> renew(id, lease));
        }
        outage = now;
    }

    public SortedMap<String, Value> values() {
        return values;
    }

    /** How many requests were served or refused so far. */
    public long requestCount() {
        return requestCount;
    }

    /** How many puts and deletes were made so far. */
    public long changeCount() {
        return changeCount;
    }

    public long revision() {
        return revision;
    }

    /** Is told each revision as soon as what changed with it is stored. */
    public void onEachChange(LongConsumer each) {
        changeListener = each;
    }

    /** Is told each transaction as it comes in, before anything is decided about it. */
    public void onEachTransaction(Consumer<JsonNode> each) {
        transactionListener = each;
    }

    /** Stores a value beside the protocol, for what a rehearsal begins with. */
    public void preset(String key, byte[] json) {
        values.put(key, new Value(json, ++revision, 0));
        changeLog.compactTo(revision);
    }

    /** Answers at once, or later where a watch waits. */
    public void handle(Request request) {
        requestCount++;
        if (outage) {
            request.answer(503, text("{\"error\":\"away\"}"));
            return;
        }
        if (!requestLimiter.tryAcquire(executor.now())) {
            request.answer(429, text("{\"error\":\"rate\"}"));
            return;
        }
        try {
            route(request);
        } catch (MalformedException | IllegalArgumentException e) {
            request.answer(400, Json.error(null, String.valueOf(e.getMessage())));
        }
    }

    private void route(Request request) throws MalformedException {
        String path = request.path();
        int mark = path.indexOf('?');
        Map<String, String> query = mark < 0 ? Map.of() : query(path.substring(mark + 1));
        String place = mark < 0 ? path : path.substring(0, mark);
        if (place.equals("/store")) {
            list(request, query);
        } else if (place.startsWith("/store/")) {
            read(request, place.substring("/store/".length()));
        } else if (place.equals("/txn")) {
            transaction(request, Json.tree(request.body()));
        } else if (place.equals("/changes")) {
            changes(request, query);
        } else if (place.equals("/grants")) {
            grant(request, Json.tree(request.body()).path("ttlMs").asLong());
        } else if (place.startsWith("/grants/")) {
            lease(request, place.substring("/grants/".length()));
        } else {
            request.answer(404, text("{}"));
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> result = new HashMap<>();
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            result.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return result;
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void ok(Request request, String body) {
        request.answer(200, text(body));
    }

    // ---- reading

    private void read(Request request, String key) {
        Value value = values.get(key);
        if (value == null) {
            request.answer(404, text("{\"ledger\":" + revision + "}"));
        } else {
            ok(request, "{" + item(key, value) + (value.leaseId() > 0 ? ",\"hold\":" + value.leaseId() : "") + "}");
        }
    }

    private static String item(String key, Value value) {
        return "\"k\":\"" + key + "\",\"data\":" + new String(value.json(), StandardCharsets.UTF_8) + ",\"stamp\":"
                + value.version();
    }

    private void list(Request request, Map<String, String> query) {
        String prefix = query.getOrDefault("starts", "");
        String from = query.get("from");
        int most = Math.min(MAX_ITEMS, Integer.parseInt(query.getOrDefault("most", "1000")));
        StringBuilder out = new StringBuilder("{\"items\":[");
        SortedMap<String, Value> rest =
                from == null || from.compareTo(prefix) < 0 ? values.tailMap(prefix) : values.tailMap(from, false);
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Value> each : rest.entrySet()) {
            if (!each.getKey().startsWith(prefix)) {
                break;
            }
            if (count == most || out.length() + each.getValue().json().length > MAX_ITEM_BYTES) {
                more = true;
                break;
            }
            out.append(count++ == 0 ? "{" : ",{")
                    .append(item(each.getKey(), each.getValue()))
                    .append('}');
        }
        ok(
                request,
                out.append("],\"truncated\":")
                        .append(more)
                        .append(",\"ledger\":")
                        .append(revision)
                        .append('}')
                        .toString());
    }

    private void changes(Request request, Map<String, String> query) {
        String prefix = query.getOrDefault("starts", "");
        long from = Long.parseLong(query.get("from"));
        long wait = Long.parseLong(query.getOrDefault("waitMs", "0"));
        if (!changeLog.reachesBackTo(from)) {
            request.answer(410, text("{\"ledger\":" + revision + "}"));
            return;
        }
        if (wait == 0 || !changeLog.since(prefix, from).isEmpty()) {
            tell(request, prefix, from);
            return;
        }
        Watch watch = new Watch(request, prefix, from);
        watches.add(watch);
        executor.executeLater(
                () -> {
                    if (watches.remove(watch)) {
                        tell(request, prefix, from);
                    }
                },
                wait * Micros.MILLISECOND);
    }

    private void tell(Request request, String prefix, long from) {
        ok(request, changeLog.sinceAsJson(prefix, from, revision));
    }

    // ---- writing

    private void transaction(Request request, JsonNode body) throws MalformedException {
        JsonNode writes = body.path("writes");
        JsonNode conditions = body.path("if");
        transactionListener.accept(body);
        if (writes.size() > setLimits.maxTransactionWrites()
                || conditions.size() > MAX_CONDITIONS_PER_WRITE * setLimits.maxTransactionWrites()
                || request.body().length > MAX_TRANSACTION_BYTES) {
            throw new MalformedException("writes", "is larger than the limits");
        }
        for (JsonNode write : writes) {
            check(write);
        }
        for (int i = 0; i < writes.size(); i++) {
            if (!writeLimiter.tryAcquire(executor.now())) {
                request.answer(429, text("{\"error\":\"rate\"}"));
                return;
            }
        }
        List<String> failed = failedConditions(conditions);
        if (!failed.isEmpty()) {
            request.answer(409, text("{\"failed\":[" + String.join(",", failed) + "],\"ledger\":" + revision + "}"));
            return;
        }
        if (!writes.isEmpty()) {
            revision++;
            writes.forEach(this::apply);
            changeListener.accept(revision);
            notifyWatches();
        }
        ok(request, "{\"ledger\":" + revision + "}");
    }

    private List<String> failedConditions(JsonNode conditions) {
        List<String> failed = new ArrayList<>();
        for (JsonNode condition : conditions) {
            Value value = values.get(condition.path("k").asText());
            if ((value == null ? 0 : value.version()) != condition.path("stamp").asLong()) {
                failed.add('"' + condition.path("k").asText() + '"');
            }
        }
        return failed;
    }

    private void check(JsonNode write) throws MalformedException {
        String key = write.path(write.has("put") ? "put" : "delete").asText();
        if (key.isEmpty() || key.length() > MAX_KEY_BYTES) {
            throw new MalformedException("writes", "has a key of a wrong length");
        }
        if (write.has("put") && write.path("data").toString().length() > setLimits.maxValueBytes()) {
            throw new MalformedException(key, "is larger than a value may be");
        }
        if (write.has("hold") && !leases.containsKey(write.path("hold").asLong())) {
            throw new MalformedException("hold", "no such lease");
        }
    }

    private void apply(JsonNode write) {
        if (write.has("put")) {
            String key = write.path("put").asText();
            byte[] json = text(write.path("data").toString());
            values.put(key, new Value(json, revision, write.path("hold").asLong()));
            changeLog.add(new ChangeLog.Change(key, json, revision));
        } else if (values.remove(write.path("delete").asText()) != null) {
            changeLog.add(new ChangeLog.Change(write.path("delete").asText(), null, revision));
        }
        changeCount++;
    }

    private void notifyWatches() {
        for (Watch watch : List.copyOf(watches)) {
            boolean any = !changeLog
                    .since(watch.prefix(), Math.max(watch.from(), revision - 1))
                    .isEmpty();
            if (any && watches.remove(watch)) {
                tell(watch.request(), watch.prefix(), watch.from());
            }
        }
    }

    // ---- leases

    private void grant(Request request, long ttlMs) throws MalformedException {
        if (ttlMs < 100 || ttlMs > 600_000) {
            throw new MalformedException("ttlMs", "must be from 100 to 600000");
        }
        Lease lease = new Lease(ttlMs * Micros.MILLISECOND, 0);
        leases.put(++lastLease, lease);
        renew(lastLease, lease);
        ok(request, "{\"hold\":" + lastLease + "}");
    }

    private void lease(Request request, String rest) {
        long id = Long.parseLong(rest.replace("/touch", ""));
        Lease lease = leases.get(id);
        if (lease == null) {
            request.answer(404, text("{}"));
            return;
        }
        if (rest.endsWith("/touch")) {
            renew(id, lease);
        } else {
            end(id);
        }
        ok(request, "{}");
    }

    private void renew(long id, Lease lease) {
        lease.endsMicros = executor.now() + lease.ttlMicros;
        executor.executeLater(() -> expire(id, lease), lease.ttlMicros);
    }

    private void expire(long id, Lease lease) {
        if (leases.get(id) == lease && executor.now() >= lease.endsMicros && !outage) {
            end(id);
        }
    }

    private void end(long id) {
        leases.remove(id);
        List<String> held = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.leaseId() == id) {
                held.add(key);
            }
        });
        if (!held.isEmpty()) {
            revision++;
            held.forEach(key -> {
                values.remove(key);
                changeLog.add(new ChangeLog.Change(key, null, revision));
            });
            changeListener.accept(revision);
            notifyWatches();
        }
    }
}
