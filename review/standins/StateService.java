package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service: keys with versions, transactions, leases and changes, with the limits of the settings. */
final class StateService {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_CHANGES = 10_000;
    private static final int MAX_ITEMS = 1_000;
    private static final int MAX_PAGE_BYTES = 512 * 1024;
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

    private record Value(JsonNode data, long stamp, long hold) {}

    private record Change(String key, JsonNode data, long stamp) {}

    private final TreeMap<String, Value> values = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final double writesPerSecond;
    private final double requestsPerSecond;
    private final int valueBytes;
    private final int transactionOps;
    private long ledger;
    private long lastLease;
    private long forgotten;
    private double writeTokens;
    private double requestTokens;
    private long refilled = System.nanoTime();

    /** How a front answers; each controller has a front of its own. */
    enum Mode { SERVES, REFUSES, SILENT }

    /** The address of one controller's way to the service. */
    final class Front {
        volatile Mode mode = Mode.SERVES;
        /** Share of the transactions that get no answer: carried out at once, or 2 to 12 s later. */
        volatile double lostAnswers;
        volatile double lateWrites;
        private final java.util.Random random = new java.util.Random();
        final int port;

        Front() throws IOException {
            port = HttpEndpoint.serve(this::handle);
        }

        private HttpEndpoint.Answer handle(HttpEndpoint.Message request) throws Exception {
            if (mode == Mode.SILENT) {
                while (mode == Mode.SILENT) {
                    Thread.sleep(50);
                }
                return null;
            }
            boolean isWatch = request.path().contains("waitMs=");
            if (mode == Mode.REFUSES) {
                while (isWatch && mode == Mode.REFUSES) {
                    Thread.sleep(50);
                }
                return mode == Mode.REFUSES ? HttpEndpoint.Answer.json(503, "{\"error\":\"trouble\"}") : null;
            }
            Thread.sleep(2);
            if (request.path().equals("/txn") && random.nextDouble() < lateWrites) {
                HttpEndpoint.daemon(() -> {
                    Thread.sleep(2000 + random.nextInt(10_000));
                    serve(request);
                });
                Thread.sleep(20_000);
                return null;
            }
            HttpEndpoint.Answer answer = serve(request);
            if (request.path().equals("/txn") && random.nextDouble() < lostAnswers) {
                Thread.sleep(20_000);
                return null;
            }
            return answer;
        }
    }

    StateService(double requestsPerSecond, double writesPerSecond, int valueKb, int transactionOps) {
        this.requestsPerSecond = requestsPerSecond;
        this.writesPerSecond = writesPerSecond;
        this.valueBytes = valueKb * 1024;
        this.transactionOps = transactionOps;
        this.requestTokens = requestsPerSecond;
        this.writeTokens = writesPerSecond;
        HttpEndpoint.daemon(() -> {
            while (true) {
                Thread.sleep(20);
                expireLeases();
            }
        });
    }

    /** Returns the present revision. */
    synchronized long revision() {
        return ledger;
    }

    synchronized JsonNode read(String key) {
        Value value = values.get(key);
        return value == null ? null : value.data();
    }

    /** Ends an outage of all fronts: all leases have their full time again. */
    synchronized void renewAllLeases() {
        leases.values().forEach(lease -> lease[1] = System.nanoTime());
    }

    /** While true, an outage: no lease ends. */
    volatile boolean frozen;

    private synchronized void expireLeases() {
        if (frozen) {
            return;
        }
        long now = System.nanoTime();
        for (Long id : List.copyOf(leases.keySet())) {
            long[] lease = leases.get(id);
            if (now - lease[1] > lease[0] * 1_000_000L) {
                endLease(id);
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.hold() == id) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            ledger++;
            keys.forEach(this::delete);
            notifyAll();
        }
    }

    private void delete(String key) {
        if (values.remove(key) != null) {
            recordChange(new Change(key, null, ledger));
        }
    }

    private void recordChange(Change change) {
        changes.addLast(change);
        if (changes.size() > MAX_CHANGES) {
            forgotten = changes.removeFirst().stamp();
        }
    }

    private boolean isAboveRate(int writes) {
        long now = System.nanoTime();
        double seconds = (now - refilled) / 1e9;
        refilled = now;
        requestTokens = Math.min(requestsPerSecond, requestTokens + seconds * requestsPerSecond);
        writeTokens = Math.min(writesPerSecond, writeTokens + seconds * writesPerSecond);
        if (requestTokens < 1 || writeTokens < writes) {
            return true;
        }
        requestTokens--;
        writeTokens -= writes;
        return false;
    }

    private synchronized HttpEndpoint.Answer serve(HttpEndpoint.Message request) throws Exception {
        String path = request.path();
        int question = path.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (question >= 0) {
            for (String pair : path.substring(question + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            path = path.substring(0, question);
        }
        JsonNode body = request.body().length == 0 ? null : JSON.readTree(request.body());
        int writes = path.equals("/txn") ? body.path("writes").size() : 0;
        if (isAboveRate(writes)) {
            return HttpEndpoint.Answer.json(429, "{\"error\":\"above the rate\"}");
        }
        if (path.equals("/txn")) {
            return transaction(body, request.body().length);
        }
        if (path.equals("/changes")) {
            return changes(query);
        }
        if (path.equals("/store")) {
            return list(query);
        }
        if (path.startsWith("/store/")) {
            Value value = values.get(path.substring("/store/".length()));
            if (value == null) {
                return HttpEndpoint.Answer.json(404, "{\"ledger\":" + ledger + "}");
            }
            return answer(200, item(path.substring("/store/".length()), value));
        }
        if (path.equals("/grants")) {
            leases.put(++lastLease, new long[] {body.path("ttlMs").asLong(), System.nanoTime()});
            return HttpEndpoint.Answer.json(200, "{\"hold\":" + lastLease + "}");
        }
        if (path.startsWith("/grants/")) {
            long id = Long.parseLong(path.split("/")[2]);
            if (!leases.containsKey(id)) {
                return HttpEndpoint.Answer.json(404, "{}");
            }
            if (request.method().equals("DELETE")) {
                endLease(id);
            } else {
                leases.get(id)[1] = System.nanoTime();
            }
            return HttpEndpoint.Answer.json(200, "{}");
        }
        return HttpEndpoint.Answer.json(400, "{}");
    }

    private static HttpEndpoint.Answer answer(int status, JsonNode json) {
        return HttpEndpoint.Answer.json(status, json.toString());
    }

    private static ObjectNode item(String key, Value value) {
        ObjectNode item = JSON.createObjectNode();
        item.put("k", key);
        item.set("data", value.data());
        item.put("stamp", value.stamp());
        if (value.hold() != 0) {
            item.put("hold", value.hold());
        }
        return item;
    }

    private HttpEndpoint.Answer transaction(JsonNode body, int bytes) {
        JsonNode writes = body.path("writes");
        if (bytes > MAX_TRANSACTION_BYTES || writes.size() > transactionOps || body.path("if").size() > 4 * transactionOps) {
            return HttpEndpoint.Answer.json(400, "{\"error\":\"transaction is too large\"}");
        }
        for (JsonNode write : writes) {
            if (write.path("hold").asLong() != 0 && !leases.containsKey(write.path("hold").asLong())) {
                return HttpEndpoint.Answer.json(400, "{\"error\":\"no such lease\"}");
            }
            if (write.has("data")
                    && write.get("data").toString().getBytes(StandardCharsets.UTF_8).length > valueBytes) {
                return HttpEndpoint.Answer.json(400, "{\"error\":\"value is too large\"}");
            }
        }
        ArrayNode failed = JSON.createArrayNode();
        for (JsonNode condition : body.path("if")) {
            Value value = values.get(condition.path("k").asText());
            if ((value == null ? 0 : value.stamp()) != condition.path("stamp").asLong()) {
                failed.add(condition.path("k").asText());
            }
        }
        ObjectNode result = JSON.createObjectNode();
        if (!failed.isEmpty()) {
            result.set("failed", failed);
            result.put("ledger", ledger);
            return answer(409, result);
        }
        if (!writes.isEmpty()) {
            ledger++;
            for (JsonNode write : writes) {
                if (write.has("put")) {
                    String key = write.get("put").asText();
                    values.put(key, new Value(write.get("data"), ledger, write.path("hold").asLong()));
                    recordChange(new Change(key, write.get("data"), ledger));
                } else {
                    delete(write.get("delete").asText());
                }
            }
            notifyAll();
        }
        result.put("ledger", ledger);
        return answer(200, result);
    }

    private HttpEndpoint.Answer changes(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("starts");
        long from = Long.parseLong(query.getOrDefault("from", "0"));
        long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
        while (true) {
            if (from < forgotten) {
                return HttpEndpoint.Answer.json(410, "{\"ledger\":" + ledger + "}");
            }
            ObjectNode result = JSON.createObjectNode();
            result.put("ledger", ledger);
            ArrayNode events = result.putArray("events");
            for (Change change : changes) {
                if (change.stamp() > from && change.key().startsWith(prefix)) {
                    ObjectNode event = events.addObject();
                    event.put(change.data() == null ? "delete" : "put", change.key());
                    if (change.data() != null) {
                        event.set("data", change.data());
                    }
                    event.put("stamp", change.stamp());
                }
            }
            long left = (deadline - System.nanoTime()) / 1_000_000L;
            if (!events.isEmpty() || left <= 0) {
                return answer(200, result);
            }
            wait(left);
        }
    }

    private HttpEndpoint.Answer list(Map<String, String> query) {
        String prefix = query.get("starts");
        String from = query.getOrDefault("from", "");
        int most = Math.min(MAX_ITEMS, Integer.parseInt(query.getOrDefault("most", "1000")));
        ObjectNode result = JSON.createObjectNode();
        ArrayNode items = result.putArray("items");
        int bytes = 0;
        boolean truncated = false;
        for (Map.Entry<String, Value> entry : values.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(from) <= 0) {
                continue;
            }
            ObjectNode item = item(entry.getKey(), entry.getValue());
            bytes += item.toString().length() + 1;
            if (items.size() == most || (bytes > MAX_PAGE_BYTES - 100 && !items.isEmpty())) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        result.put("truncated", truncated);
        result.put("ledger", ledger);
        return answer(200, result);
    }
}
