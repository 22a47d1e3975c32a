package io.micatide.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import io.micatide.controller.ActorExecutor;
import io.micatide.model.Micros;
import io.micatide.net.RateLimiter;
import io.micatide.net.Request;
import io.micatide.protocol.Json;
import io.micatide.protocol.MalformedException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** The state service: a consistent store with leases, conditions, watches and its limits. Used from its loop only. */
public final class SimulatedStore {
    /** What the service allows; rates a second. */
    public record Limits(double requests, double changes, int valueBytes, int transactionChanges) {}

    /** A stored value; {@code hold} 0 without a lease. */
    public record Value(byte[] json, long stamp, long hold) {}

    /** A change; {@code json} null of a deletion. */
    private record Event(String key, byte[] json, long stamp) {}

    private static final class Lease {
        final long ttlMicros;
        long endsMicros;

        Lease(long ttlMicros, long endsMicros) {
            this.ttlMicros = ttlMicros;
            this.endsMicros = endsMicros;
        }
    }

    private record Watch(Request request, String prefix, long from) {}

    private static final int KEPT_EVENTS = 10_000;
    private static final int MOST_ITEMS = 1_000;
    private static final int MOST_ITEM_BYTES = 512 * 1024;
    private static final int MOST_TRANSACTION_BYTES = 64 * 1024;
    private static final int CONDITIONS_A_CHANGE = 4;
    private static final int MOST_KEY = 200;

    private final ActorExecutor loop;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private final List<Watch> watches = new ArrayList<>();
    private Limits limits;
    private RateLimiter requests;
    private RateLimiter changes;
    private long revision = 1;
    private long forgottenTo = 1;
    private long lastLease;
    private long requestCount;
    private long changeCount;
    private boolean away;
    private LongConsumer witness = revision -> {};
    private Consumer<JsonNode> transactions = body -> {};

    public SimulatedStore(ActorExecutor loop, Limits limits) {
        this.loop = loop;
        limits(limits);
    }

    /** The limits from now on. */
    public final void limits(Limits now) {
        limits = now;
        requests = new RateLimiter(now.requests(), now.requests(), loop.now());
        changes = new RateLimiter(now.changes(), now.changes(), loop.now());
    }

    /** An outage begins or ends; all leases have their full time again after it. */
    public void away(boolean now) {
        if (away && !now) {
            leases.forEach((id, lease) -> renew(id, lease));
        }
        away = now;
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
    public void afterEachChange(LongConsumer each) {
        witness = each;
    }

    /** Is told each transaction as it comes in, before anything is decided about it. */
    public void beforeEachTransaction(Consumer<JsonNode> each) {
        transactions = each;
    }

    /** Stores a value beside the protocol, for what a rehearsal begins with. */
    public void preset(String key, byte[] json) {
        values.put(key, new Value(json, ++revision, 0));
        forgottenTo = revision;
    }

    /** Answers at once, or later where a watch waits. */
    public void handle(Request request) {
        requestCount++;
        if (away) {
            request.answer(503, text("{\"error\":\"away\"}"));
            return;
        }
        if (!requests.take(loop.now())) {
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
            ok(request, "{" + item(key, value) + (value.hold() > 0 ? ",\"hold\":" + value.hold() : "") + "}");
        }
    }

    private static String item(String key, Value value) {
        return "\"k\":\"" + key + "\",\"data\":" + new String(value.json(), StandardCharsets.UTF_8) + ",\"stamp\":"
                + value.stamp();
    }

    private void list(Request request, Map<String, String> query) {
        String prefix = query.getOrDefault("starts", "");
        String from = query.get("from");
        int most = Math.min(MOST_ITEMS, Integer.parseInt(query.getOrDefault("most", "1000")));
        StringBuilder out = new StringBuilder("{\"items\":[");
        SortedMap<String, Value> rest =
                from == null || from.compareTo(prefix) < 0 ? values.tailMap(prefix) : values.tailMap(from, false);
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Value> each : rest.entrySet()) {
            if (!each.getKey().startsWith(prefix)) {
                break;
            }
            if (count == most || out.length() + each.getValue().json().length > MOST_ITEM_BYTES) {
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
        if (from < forgottenTo) {
            request.answer(410, text("{\"ledger\":" + revision + "}"));
            return;
        }
        if (wait == 0 || !since(prefix, from).isEmpty()) {
            tell(request, prefix, from);
            return;
        }
        Watch watch = new Watch(request, prefix, from);
        watches.add(watch);
        loop.executeLater(
                () -> {
                    if (watches.remove(watch)) {
                        tell(request, prefix, from);
                    }
                },
                wait * Micros.MILLISECOND);
    }

    /** The newest first. */
    private List<Event> since(String prefix, long from) {
        List<Event> result = new ArrayList<>();
        for (Iterator<Event> newest = events.descendingIterator(); newest.hasNext(); ) {
            Event event = newest.next();
            if (event.stamp() <= from) {
                break;
            }
            if (event.key().startsWith(prefix)) {
                result.add(event);
            }
        }
        return result;
    }

    private void tell(Request request, String prefix, long from) {
        StringBuilder out = new StringBuilder("{\"ledger\":").append(revision).append(",\"events\":[");
        String comma = "";
        for (Event event : since(prefix, from)) {
            out.append(comma)
                    .append("{\"")
                    .append(event.json() == null ? "delete" : "put")
                    .append("\":\"")
                    .append(event.key())
                    .append('"');
            if (event.json() != null) {
                out.append(",\"data\":").append(new String(event.json(), StandardCharsets.UTF_8));
            }
            out.append(",\"stamp\":").append(event.stamp()).append('}');
            comma = ",";
        }
        ok(request, out.append("]}").toString());
    }

    // ---- writing

    private void transaction(Request request, JsonNode body) throws MalformedException {
        JsonNode writes = body.path("writes");
        JsonNode conditions = body.path("if");
        transactions.accept(body);
        if (writes.size() > limits.transactionChanges()
                || conditions.size() > CONDITIONS_A_CHANGE * limits.transactionChanges()
                || request.body().length > MOST_TRANSACTION_BYTES) {
            throw new MalformedException("writes", "is larger than the limits");
        }
        for (JsonNode write : writes) {
            check(write);
        }
        for (int i = 0; i < writes.size(); i++) {
            if (!changes.take(loop.now())) {
                request.answer(429, text("{\"error\":\"rate\"}"));
                return;
            }
        }
        List<String> failed = new ArrayList<>();
        for (JsonNode condition : conditions) {
            Value value = values.get(condition.path("k").asText());
            if ((value == null ? 0 : value.stamp()) != condition.path("stamp").asLong()) {
                failed.add('"' + condition.path("k").asText() + '"');
            }
        }
        if (!failed.isEmpty()) {
            request.answer(409, text("{\"failed\":[" + String.join(",", failed) + "],\"ledger\":" + revision + "}"));
            return;
        }
        if (!writes.isEmpty()) {
            revision++;
            writes.forEach(this::apply);
            witness.accept(revision);
            notifyWatches();
        }
        ok(request, "{\"ledger\":" + revision + "}");
    }

    private void check(JsonNode write) throws MalformedException {
        String key = write.path(write.has("put") ? "put" : "delete").asText();
        if (key.isEmpty() || key.length() > MOST_KEY) {
            throw new MalformedException("writes", "has a key of a wrong length");
        }
        if (write.has("put") && write.path("data").toString().length() > limits.valueBytes()) {
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
            note(new Event(key, json, revision));
        } else if (values.remove(write.path("delete").asText()) != null) {
            note(new Event(write.path("delete").asText(), null, revision));
        }
        changeCount++;
    }

    private void note(Event event) {
        events.addLast(event);
        while (events.size() > KEPT_EVENTS) {
            forgottenTo = events.pollFirst().stamp();
        }
    }

    private void notifyWatches() {
        for (Watch watch : List.copyOf(watches)) {
            boolean any =
                    !since(watch.prefix(), Math.max(watch.from(), revision - 1)).isEmpty();
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
        lease.endsMicros = loop.now() + lease.ttlMicros;
        loop.executeLater(() -> expire(id, lease), lease.ttlMicros);
    }

    private void expire(long id, Lease lease) {
        if (leases.get(id) == lease && loop.now() >= lease.endsMicros && !away) {
            end(id);
        }
    }

    private void end(long id) {
        leases.remove(id);
        List<String> held = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.hold() == id) {
                held.add(key);
            }
        });
        if (!held.isEmpty()) {
            revision++;
            held.forEach(key -> {
                values.remove(key);
                note(new Event(key, null, revision));
            });
            witness.accept(revision);
            notifyWatches();
        }
    }
}
